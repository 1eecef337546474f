#pragma once

#include "core/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

/// \file
/// Detects suspensions of the VM, scheduling delays of the daemon and steps of the system clock.

namespace bluebell {

/// Readings of three clocks, taken together.
struct ClockReading
{
    /// Includes the time during which the VM was suspended.
    TimePoint boot;
    /// Excludes the time during which the VM was suspended.
    std::chrono::steady_clock::time_point steady;
    /// UTC time of day; steps when it is set.
    std::chrono::system_clock::time_point timeOfDay;

    [[nodiscard]] static ClockReading now() noexcept;
};

enum class ClockEventKind : std::uint8_t {
    /// The VM was suspended and resumed.
    VmSuspended,
    /// The VM ran, but the daemon was not scheduled in time.
    DaemonStalled,
    /// The time of day was set forward or back.
    TimeOfDayJumped,
};

/// An irregularity between two readings.
struct ClockEvent
{
    ClockEventKind kind = ClockEventKind::VmSuspended;
    /// Length of the suspension or delay, or the step of the time of day; negative when it was set
    /// back.
    Duration amount {};
};

/// Compares clock readings that are taken at regular intervals.
class ClockWatch
{
public:
    /// \param interval expected time between two readings
    explicit ClockWatch(Duration interval) : m_interval(interval) { }

    /// Records a reading.
    ///
    /// \returns the events since the previous reading; none for the first reading
    [[nodiscard]] std::vector<ClockEvent> note(const ClockReading &reading);

private:
    Duration m_interval;
    std::optional<ClockReading> m_last;
};

} // namespace bluebell
