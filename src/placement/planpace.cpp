#include "placement/planpace.h"

#include <algorithm>

namespace bluebell {
namespace {

/// Pause as a multiple of the time that the plan took.
constexpr int PausePerPlan = 3;
/// Bounds the delay of the next plan, however long a plan takes.
constexpr Duration MaxPause = std::chrono::milliseconds(100);

} // namespace

Duration pauseAfterPlan(Duration took) noexcept
{
    return std::clamp<Duration>(PausePerPlan * took, Duration::zero(), MaxPause);
}

} // namespace bluebell
