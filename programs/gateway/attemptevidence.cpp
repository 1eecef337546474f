#include "gateway/attemptevidence.h"

namespace bluebell::gateway {
namespace {

TargetRun runOf(const RequestContext &it)
{
    return { it.lastTarget, it.lastTargetStartTimeMs };
}

ResponseStage stageOf(const AttemptProgress &progress)
{
    if (progress.firstChunkAt)
        return ResponseStage::Begun;
    return progress.headAt ? ResponseStage::Starting : ResponseStage::Awaited;
}

void noteSurvival(GatewayState &state, RequestContext &it, TimePoint now)
{
    it.progress.hasSurvived = true;
    const auto beganAt = it.progress.firstChunkAt.value_or(it.progress.headAt.value_or(now));
    state.quarantine.noteSurvival(it.caller.sharedParts, beganAt, now);
}

} // namespace

void noteResponseHead(GatewayState &state, RequestContext &it, const ResponseHead &head,
                      TimePoint now)
{
    it.progress.headAt = now;
    it.progress.isSuccess = head.isSuccess();
    // Another process may have taken over the address.
    if (!head.isMisdirected)
        state.quarantine.noteSignOfLife(runOf(it), it.progress.sentAt, now);
}

void noteEvents(GatewayState &state, RequestContext &it, TimePoint now)
{
    auto &progress = it.progress;
    progress.lastChunkAt = now;
    if (!progress.firstChunkAt)
        progress.firstChunkAt = now;
    if (!progress.hasSurvived && now - *progress.firstChunkAt >= Quarantine::SurvivalTime)
        noteSurvival(state, it, now);
}

void noteAttemptEnd(GatewayState &state, RequestContext &it, const AttemptResult &result,
                    TimePoint now)
{
    if (it.progress.hasSurvived || it.caller.sharedParts.empty())
        return;
    if (result.outcome == AttemptOutcome::Answered && it.progress.isSuccess)
        noteSurvival(state, it, now);
    const bool hasCrashed = result.outcome == AttemptOutcome::Failed
            && result.error.isConnectionLost && !it.cancel->isCancelled();
    if (!hasCrashed)
        return;
    const CrashedAttempt attempt { runOf(it), stageOf(it.progress), it.progress.sentAt };
    state.quarantine.noteCrash(attempt, it.caller.sharedParts, now);
    state.notifyQuarantine();
}

} // namespace bluebell::gateway
