#include "rate/usefulreturn.h"

#include <algorithm>

namespace bluebell {
namespace {

/// Shortest time over which the returns of callers are spread that cannot have a position in time.
constexpr Duration MinSpread = std::chrono::milliseconds(250);
constexpr std::uint64_t Steps = 1000;

} // namespace

Duration usefulReturn(Duration position, Duration latencyGoal, std::uint64_t random)
{
    const auto useful = std::max<Duration>(latencyGoal / 2, MinSpread);
    if (position <= useful)
        return position;
    const auto step = static_cast<std::int64_t>(random % Steps);
    return useful / 2 + useful / 2 * step / static_cast<std::int64_t>(Steps);
}

} // namespace bluebell
