#include "gateway/attemptevidence.h"

namespace bluebell::gateway {
namespace {

TargetRun runOf(const Attempt &attempt)
{
    return { attempt.target, attempt.startTimeMs };
}

ResponseStage stageOf(const AttemptProgress &progress)
{
    if (progress.firstChunkAt)
        return ResponseStage::Begun;
    return progress.headAt ? ResponseStage::Starting : ResponseStage::Awaited;
}

void noteSurvival(GatewayState &state, const RequestContext &it, AttemptProgress &progress,
                  TimePoint now)
{
    progress.hasSurvived = true;
    const auto beganAt = progress.firstChunkAt.value_or(progress.headAt.value_or(now));
    state.quarantine.noteSurvival(it.caller.sharedParts, beganAt, now);
}

} // namespace

void noteResponseHead(GatewayState &state, Attempt &attempt, const ResponseHead &head,
                      TimePoint now)
{
    attempt.progress.headAt = now;
    attempt.progress.isSuccess = head.isSuccess();
    // Another process may have taken over the address.
    if (!head.isMisdirected)
        state.quarantine.noteSignOfLife(runOf(attempt), attempt.progress.sentAt, now);
}

void noteEvents(GatewayState &state, RequestContext &it, TimePoint now)
{
    auto &progress = it.latest.progress;
    progress.lastChunkAt = now;
    if (!progress.firstChunkAt)
        progress.firstChunkAt = now;
    if (!progress.hasSurvived && now - *progress.firstChunkAt >= Quarantine::SurvivalTime)
        noteSurvival(state, it, progress, now);
}

void noteAttemptEnd(GatewayState &state, const RequestContext &it, Attempt &attempt,
                    const AttemptResult &result, TimePoint now)
{
    auto &progress = attempt.progress;
    if (progress.hasSurvived || it.caller.sharedParts.empty())
        return;
    if (result.outcome == AttemptOutcome::Answered && progress.isSuccess)
        noteSurvival(state, it, progress, now);
    const bool hasCrashed = result.outcome == AttemptOutcome::Failed
            && result.error.isConnectionLost && !it.cancel->isCancelled();
    if (!hasCrashed)
        return;
    const CrashedAttempt crashed { runOf(attempt), stageOf(progress), progress.sentAt };
    state.quarantine.noteCrash(crashed, it.caller.sharedParts, now);
    state.notifyQuarantine();
}

} // namespace bluebell::gateway
