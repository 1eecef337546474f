#include "placement/planpace.h"

#include <algorithm>

namespace bluebell {
namespace {

constexpr int PauseInPlans = 3;
/// Nobody waits longer than this for a plan, however long one takes.
constexpr Duration LongestPause = std::chrono::milliseconds(100);

} // namespace

Duration pauseAfterPlan(Duration took) noexcept
{
    return std::clamp<Duration>(PauseInPlans * took, Duration::zero(), LongestPause);
}

} // namespace bluebell
