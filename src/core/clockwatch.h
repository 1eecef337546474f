#pragma once

#include "core/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

/// \file
/// Notices when a daemon or its VM stood still, and when the time of day jumped.

namespace bluebell {

/// The clocks at one moment.
struct ClockReading
{
    /// Runs through a stop of the VM.
    TimePoint boot;
    /// Stands still while the VM is stopped.
    std::chrono::steady_clock::time_point steady;
    std::chrono::system_clock::time_point timeOfDay;

    [[nodiscard]] static ClockReading now() noexcept;
};

enum class ClockEventKind : std::uint8_t {
    /// The VM was stopped and woke again.
    StoodStill,
    /// The VM ran, but the daemon got no turn.
    HeldUp,
    /// The time of day was set.
    TimeOfDayJumped,
};

struct ClockEvent
{
    ClockEventKind kind = ClockEventKind::StoodStill;
    /// How long, or how far forward; negative when the time of day went back.
    Duration by {};
};

/// Compares readings that are taken at regular intervals.
class ClockWatch
{
public:
    /// \param interval time between two readings
    explicit ClockWatch(Duration interval) : m_interval(interval) { }

    /// \returns what happened since the reading before
    [[nodiscard]] std::vector<ClockEvent> note(const ClockReading &reading);

private:
    Duration m_interval;
    std::optional<ClockReading> m_last;
};

} // namespace bluebell
