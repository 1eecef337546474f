#include "membership/statustiming.h"

#include <algorithm>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Fleets up to this size use the shortest intervals.
constexpr std::size_t SmallFleet = 16;
constexpr Duration MinInterval = milliseconds(200);
constexpr Duration MinBatchDelay = milliseconds(4);
/// Intervals without a status after which a daemon isn't alive any more.
constexpr double LivenessIntervals = 4.5;
/// Intervals after which the last status of a daemon is discarded.
constexpr int LifetimeIntervals = 7;

} // namespace

StatusTiming statusTimingFor(std::size_t daemons) noexcept
{
    const auto size = static_cast<std::int64_t>(std::max(daemons, SmallFleet));
    const auto scaled = [size](Duration minimum) {
        return minimum * size / static_cast<std::int64_t>(SmallFleet);
    };
    StatusTiming timing;
    timing.interval = scaled(MinInterval);
    timing.leaderInterval = MinInterval;
    timing.batchDelay = scaled(MinBatchDelay);
    timing.livenessTimeout =
            std::chrono::duration_cast<Duration>(timing.interval * LivenessIntervals);
    timing.statusLifetime = timing.interval * LifetimeIntervals;
    return timing;
}

} // namespace bluebell
