#include "membership/statuspace.h"

#include <algorithm>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Fleets up to this size use the shortest times.
constexpr std::size_t SmallFleet = 16;
constexpr Duration ShortestPeriod = milliseconds(200);
constexpr Duration ShortestGather = milliseconds(4);
/// Periods without a status after which a daemon is silent.
constexpr double PeriodsHeard = 4.5;
/// Periods after which what it told is forgotten.
constexpr int PeriodsValid = 7;

} // namespace

StatusPace statusPaceOf(std::size_t daemons) noexcept
{
    const auto size = static_cast<std::int64_t>(std::max(daemons, SmallFleet));
    const auto stretched = [size](Duration shortest) {
        return shortest * size / static_cast<std::int64_t>(SmallFleet);
    };
    StatusPace pace;
    pace.every = stretched(ShortestPeriod);
    pace.holderEvery = ShortestPeriod;
    pace.gather = stretched(ShortestGather);
    pace.heardFor = std::chrono::duration_cast<Duration>(pace.every * PeriodsHeard);
    pace.validFor = pace.every * PeriodsValid;
    return pace;
}

} // namespace bluebell
