#include "queue/waitdecision.h"

#include <algorithm>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Retry-After when there is no estimate.
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
/// Time from the model being ready to the caller's first byte.
constexpr Duration TimeToFirstByte = milliseconds(150);
/// Added to Retry-After, so that the model is ready when the caller retries.
constexpr Duration RetryMargin = milliseconds(100);
/// Stream callers are expected to wait at least this long for the first byte.
constexpr Duration MinFirstByteTimeout = std::chrono::seconds(2);
/// Factors on the goals of a route that give the first-byte timeout of its streams.
constexpr int TimeoutPerLatencyGoal = 4;
constexpr int TimeoutPerEventGapGoal = 8;

} // namespace

WaitDecision decideWait(const WaitFacts &facts, TimePoint now)
{
    const auto end = std::min(facts.deadline, facts.receivedAt + facts.firstByteTimeout);
    if (facts.readyAt) {
        const auto ready = std::max(*facts.readyAt, now);
        if (ready + TimeToFirstByte > end)
            return { ready - now + RetryMargin, now };
        return { std::nullopt, end };
    }
    if (now + TimeToFirstByte > end)
        return { DefaultRetryAfter, now };
    return { std::nullopt, end - TimeToFirstByte };
}

Duration streamFirstByteTimeout(Duration latencyGoal, Duration eventGapGoal)
{
    return std::max({ MinFirstByteTimeout, TimeoutPerLatencyGoal * latencyGoal,
                      TimeoutPerEventGapGoal * eventGapGoal });
}

} // namespace bluebell
