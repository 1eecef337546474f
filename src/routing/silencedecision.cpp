#include "routing/silencedecision.h"

#include <algorithm>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

constexpr Duration MinResponseSilence = milliseconds(250);
constexpr int SilencePerLatencyGoal = 2;
/// Sound targets may be silent for about a second.
constexpr Duration MinStreamSilence = std::chrono::seconds(2);
/// Left of the caller's patience for the next event to arrive from another target.
constexpr Duration TimeToResume = milliseconds(500);

} // namespace

bool canLeaveSilentTarget(const SilenceFacts &facts) noexcept
{
    return facts.isWanted && facts.isRetryable && facts.runs < facts.maxTargets && facts.hasRetry;
}

Duration responseSilenceLimit(Duration latencyGoal)
{
    return std::max<Duration>(SilencePerLatencyGoal * latencyGoal, MinResponseSilence);
}

Duration streamSilenceLimit(Duration callersTimeout)
{
    return std::min<Duration>(std::max<Duration>(MinStreamSilence, callersTimeout / 2),
                              callersTimeout - TimeToResume);
}

} // namespace bluebell
