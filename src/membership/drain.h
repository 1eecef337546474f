#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

/// \file
/// The planned stop of a daemon.

namespace bluebell {

enum class DrainPhase : std::uint8_t {
    /// Normal service.
    Serving,
    /// Named to callers no more; still accepts, because answers given out may be held.
    Unlisted,
    /// Accepts no connections; finishes what it has.
    Finishing,
    /// Nothing is left; the process may exit with success.
    Done,
    /// The deadline passed or a second signal came; the process exits with failure.
    Forced,
};

/// Decides when a stopping daemon moves on.
class DrainController
{
public:
    struct Settings
    {
        /// How long callers may hold an address, with allowance for the news to spread.
        Duration holdTime = std::chrono::seconds(10);
        /// From the request to stop until the process ends whatever is left.
        Duration deadline = std::chrono::minutes(10);
    };

    explicit DrainController(Settings settings) : m_settings(settings) { }

    /// Notes a request to stop; a second one forces the end.
    void requestStop(TimePoint now) noexcept;

    /// \param requestsLeft requests that wait or run
    /// \returns the phase that holds at `now`
    DrainPhase advance(std::size_t requestsLeft, TimePoint now) noexcept;

    [[nodiscard]] DrainPhase phase() const noexcept { return m_phase; }

private:
    Settings m_settings;
    DrainPhase m_phase = DrainPhase::Serving;
    std::optional<TimePoint> m_requestedAt;
};

} // namespace bluebell
