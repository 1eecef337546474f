#pragma once

#include <chrono>

/// \file
/// Clock and duration types.

namespace bluebell {

/// Monotonic clock that includes the time during which the process or the VM is suspended.
///
/// Leases are checked against this clock, so that they also expire during a suspension.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /// \returns the current time of CLOCK_BOOTTIME
    [[nodiscard]] static time_point now() noexcept;
};

using Duration = BootClock::duration;
using TimePoint = BootClock::time_point;

/// \returns `d` in whole milliseconds, rounded down
[[nodiscard]] constexpr std::chrono::milliseconds toMilliseconds(Duration d) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

/// \returns `d` in seconds, including fractions
[[nodiscard]] constexpr double toSeconds(Duration d) noexcept
{
    return std::chrono::duration<double>(d).count();
}

} // namespace bluebell
