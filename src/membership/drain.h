#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

/// \file
/// Graceful shutdown of a daemon.

namespace bluebell {

/// Phases of a graceful shutdown, in order.
enum class DrainPhase : std::uint8_t {
    /// Normal service.
    Serving,
    /// No longer advertised to callers, but still accepting: callers may hold cached addresses.
    Unlisted,
    /// Accepts no connections; finishes the requests it has.
    Finishing,
    /// No request is left; the process may exit with success.
    Done,
    /// The deadline passed or a second stop request came; the process exits with failure.
    Forced,
};

/// Decides when a daemon that is shutting down enters the next phase.
class DrainController
{
public:
    struct Settings
    {
        /// How long callers may cache an address, plus time for the change to propagate.
        Duration holdTime = std::chrono::seconds(10);
        /// Time from the request to stop until remaining requests are aborted.
        Duration deadline = std::chrono::minutes(10);
    };

    explicit DrainController(Settings settings) : m_settings(settings) { }

    /// Notes a request to stop. A second one forces the end.
    void requestStop(TimePoint now) noexcept;

    /// Enters the phase that is due at `now`.
    ///
    /// \param requestsLeft requests that wait or run
    /// \returns the phase at `now`
    DrainPhase advance(std::size_t requestsLeft, TimePoint now) noexcept;

    [[nodiscard]] DrainPhase phase() const noexcept { return m_phase; }

private:
    Settings m_settings;
    DrainPhase m_phase = DrainPhase::Serving;
    std::optional<TimePoint> m_requestedAt;
};

} // namespace bluebell
