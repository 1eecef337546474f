#include "gateway/requestlimits.h"

#include "core/digest.h"
#include "queue/waitdecision.h"

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

/// Time that a stream may take. A stopping daemon starts no stream when less than this is left.
constexpr Duration MinTimeForStream = milliseconds(4500);
/// The same for all other requests.
constexpr Duration MinTimeForRequest = milliseconds(1500);

} // namespace

Duration callersPatience(const Route &route)
{
    return streamFirstByteTimeout(route.latencyGoal, route.eventGapGoal);
}

bool isTooLateToStart(const GatewayState &state, const RequestContext &it, TimePoint now)
{
    if (!state.stopRequestedAt)
        return false;
    const auto end = *state.stopRequestedAt + state.settings.stopTimeout - StopMargin;
    // No other daemon can complete a response that has begun.
    if (it.hasStartedResponse)
        return now >= end;
    const bool isStream = it.route->kind == RequestKind::Streaming;
    return end - now < (isStream ? MinTimeForStream : MinTimeForRequest);
}

TargetRequirements targetRequirements(const RequestContext &it)
{
    TargetRequirements requirements;
    requirements.service = it.service->name;
    if (it.service->engine)
        requirements.key = it.caller.replica;
    requirements.excluded = it.triedTargets;
    requirements.spread = stableHash(it.caller.attempt.value());
    return requirements;
}

bool mayRunAgain(const GatewayState &state, const RequestContext &it)
{
    return !state.quarantine.forbidsRetry(it.caller.sharedParts) && it.route->isRetryable()
            && it.events.canResume() && it.runs < it.route->maxTargets;
}

} // namespace bluebell::gateway
