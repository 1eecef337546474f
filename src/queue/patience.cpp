#include "queue/patience.h"

#include <algorithm>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Retry-After when nothing is known.
constexpr Duration UnknownRetry = std::chrono::seconds(1);
/// From the time when a model can serve to the first byte at the caller.
constexpr Duration ServeTime = milliseconds(150);
/// Added to Retry-After, so that the model is there when the caller returns.
constexpr Duration RetryAllowance = milliseconds(100);
/// Callers of streams bear at least this silence.
constexpr Duration LeastPatience = std::chrono::seconds(2);
constexpr int PatienceInGoals = 4;
constexpr int PatienceInPauses = 8;

} // namespace

WaitVerdict decideWait(const WaitFacts &facts, TimePoint now)
{
    const auto end = std::min(facts.deadline, facts.receivedAt + facts.patience);
    if (facts.readyAt) {
        const auto ready = std::max(*facts.readyAt, now);
        if (ready + ServeTime > end)
            return { ready - now + RetryAllowance, now };
        return { std::nullopt, end };
    }
    if (now + ServeTime > end)
        return { UnknownRetry, now };
    return { std::nullopt, end - ServeTime };
}

Duration streamPatience(Duration latencyGoal, Duration pauseGoal)
{
    return std::max({ LeastPatience, PatienceInGoals * latencyGoal, PatienceInPauses * pauseGoal });
}

} // namespace bluebell
