#include "gateway/attempts.h"

#include "gateway/attemptevidence.h"
#include "gateway/requestlimits.h"
#include "gateway/requestlog.h"
#include "io/background.h"
#include "platform/requests.h"
#include "routing/silencedecision.h"

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

constexpr Duration ConnectTimeout = milliseconds(200);
/// Maximum time between two checks of a takeover whose request has lost its current target.
constexpr Duration TakeoverCheckInterval = milliseconds(50);

} // namespace

HttpCall Attempts::begin(RequestContext &it, const TargetEntry &target, Attempt &attempt)
{
    const auto now = BootClock::now();
    ForwardDetails details;
    details.target = target.id;
    details.timeLeft = it.deadline - now;
    details.organisation = it.organisation;
    details.priority = it.priority;
    details.lastEventId = it.events.lastId().value_or(it.caller.lastEventId);
    HttpCall call;
    call.endpoint = target.address;
    call.request = platform::encodeForward(*it.http, details);
    call.sharedBody = it.body;
    call.bodyLimit = it.route->kind == RequestKind::Streaming ? MaxStreamBytes : MaxResponseBytes;
    call.timeout = std::max<Duration>(it.deadline - now, milliseconds(1));
    call.connectTimeout = ConnectTimeout;
    attempt.target = target.id;
    attempt.startTimeMs = target.startTimeMs;
    attempt.key = it.service->engine ? it.caller.replica : std::nullopt;
    attempt.progress.sentAt = now;
    attempt.isCounted = true;
    m_state.selector.noteStarted(attempt.target, attempt.key);
    m_state.selector.noteSent(target, now);
    ++it.sends;
    return call;
}

void Attempts::stopCounting(Attempt &attempt)
{
    if (std::exchange(attempt.isCounted, false))
        m_state.selector.noteEnded(attempt.target, attempt.key,
                                   BootClock::now() - attempt.progress.sentAt);
}

AttemptResult Attempts::noteNoResponse(RequestContext &it, Attempt &attempt, Error error)
{
    const bool isNotSent = error.execution == Execution::NotRun;
    if (!it.cancel->isCancelled())
        m_state.selector.noteOutcome(attempt.target,
                                     isNotSent ? TargetOutcome::Unreachable : TargetOutcome::Broken,
                                     BootClock::now());
    if (!isNotSent)
        noteRun(it, attempt);
    return { isNotSent ? AttemptOutcome::NotSent : AttemptOutcome::Failed, std::move(error) };
}

void Attempts::finish(RequestContext &it, const AttemptResult &result)
{
    stopCounting(it.latest);
    noteAttemptEnd(m_state, it, it.latest, result, BootClock::now());
    if (result.outcome == AttemptOutcome::Failed && !it.cancel->isCancelled())
        recordFailedAttempt(it, it.latest, result.error, m_state.metrics);
}

asio::awaitable<AttemptResult> Attempts::run(RequestContext &it, TargetId target,
                                             HttpResponder &responder)
{
    auto first = runAtOneTarget(it, std::move(target), responder);
    auto result = co_await std::move(first);
    // Also after a refusal: a target that was asked meanwhile may be executing the request.
    while (result.outcome == AttemptOutcome::Failed || result.outcome == AttemptOutcome::NotRun) {
        const bool isTakenOver = co_await awaitTakeover(it);
        if (!isTakenOver)
            break;
        auto next = runTakeover(it, responder);
        result = co_await std::move(next);
    }
    dropTakeover(it);
    co_return result;
}

asio::awaitable<AttemptResult> Attempts::runAtOneTarget(RequestContext &it, TargetId id,
                                                        HttpResponder &responder)
{
    const auto *target = m_state.registry.find(id);
    if (!target)
        co_return AttemptResult { AttemptOutcome::NotSent,
                                  notRun(ErrorCode::Unavailable, "the target has left", {}) };
    it.latest = {};
    auto call = begin(it, *target, it.latest);
    call.cancel = it.cancel;
    call.silence = silencePolicy(it, responseSilenceLimit(it.route->latencyGoal));
    auto stream = co_await openStream(std::move(call));
    std::optional<AttemptResult> result;
    if (stream)
        result = m_relay.checkHead(it, it.latest, stream.value());
    else
        result = noteNoResponse(it, it.latest, stream.error());
    if (!result) {
        // A response that refuses the request would have left it to the other target.
        dropTakeover(it);
        auto relayed = relay(it, std::move(stream.value()), responder);
        result = co_await std::move(relayed);
    }
    finish(it, *result);
    co_return std::move(*result);
}

asio::awaitable<AttemptResult> Attempts::relay(RequestContext &it, HttpStream stream,
                                               HttpResponder &responder)
{
    auto silence = silencePolicy(it, streamSilenceLimit(callersPatience(*it.route)));
    if (silence)
        silence->noteEndOfSilence = [this, &it] {
            dropTakeover(it);
        };
    auto relayed = m_relay.relay(it, std::move(stream), responder, silence);
    co_return co_await std::move(relayed);
}

std::optional<SilencePolicy> Attempts::silencePolicy(RequestContext &it, Duration limit)
{
    if (!it.route->isRetryable())
        return std::nullopt;
    return SilencePolicy { limit, [this, &it] {
                              return tryTakeOver(it);
                          } };
}

bool Attempts::tryTakeOver(RequestContext &it)
{
    if (it.takeover && it.takeover->state != TakeoverState::Failed)
        return it.takeover->state == TakeoverState::Accepted;
    const auto now = BootClock::now();
    auto &budget = m_state.retryBudgetOf(it.service->name);
    SilenceFacts facts;
    facts.isWanted = !it.cancel->isCancelled() && now < it.deadline && it.sends < MaxSends
            && !isTooLateToStart(m_state, it, now);
    // The current target may have executed the request too.
    facts.isRetryable =
            mayRunAgain(m_state, it) && !m_state.quarantine.find(it.caller.sharedParts, now);
    facts.runs = it.runs + (it.latest.hasRun ? 0 : 1);
    facts.maxTargets = it.route->maxTargets;
    facts.hasRetry = budget.hasRetry();
    if (!canLeaveSilentTarget(facts))
        return false;
    const auto other = takeoverTarget(it, now);
    const auto *target = other ? m_state.registry.find(*other) : nullptr;
    const bool isStarted = target && budget.takeRetry() && m_admission.renewOrganisation(it);
    if (isStarted)
        startTakeover(it, *target);
    return false;
}

std::optional<TargetId> Attempts::takeoverTarget(const RequestContext &it, TimePoint now)
{
    auto requirements = targetRequirements(it);
    requirements.excluded.insert(it.latest.target);
    if (it.takeover)
        requirements.excluded.merge(std::set<TargetId>(it.takeover->failedTargets));
    auto other = m_state.selector.choose(requirements, m_state.registry.targets(),
                                         m_state.residents(now), now);
    if (other && m_state.selector.isInBackoff(*other, now))
        other.reset();
    return other;
}

void Attempts::startTakeover(RequestContext &it, const TargetEntry &target)
{
    auto takeover = std::make_shared<Takeover>();
    if (it.takeover)
        takeover->failedTargets = std::move(it.takeover->failedTargets);
    auto call = begin(it, target, takeover->attempt);
    call.cancel = takeover->cancel;
    it.cancel->add([cancel = takeover->cancel] { cancel->cancel(); });
    it.takeover = takeover;
    spawnOnce(m_executor, "take a request over",
              open(it.shared_from_this(), std::move(takeover), std::move(call)));
}

asio::awaitable<void> Attempts::open(std::shared_ptr<RequestContext> request,
                                     std::shared_ptr<Takeover> takeover, HttpCall call)
{
    auto &it = *request;
    auto &attempt = takeover->attempt;
    auto stream = co_await openStream(std::move(call));
    if (takeover->cancel->isCancelled()) {
        // The current target has gone on, or the request has ended.
        if (stream || stream.error().execution != Execution::NotRun)
            noteRun(it, attempt);
        stopCounting(attempt);
        co_return;
    }
    AttemptResult result;
    if (!stream)
        result = noteNoResponse(it, attempt, stream.error());
    else if (auto rejected = m_relay.checkHead(it, attempt, stream.value()))
        result = std::move(*rejected);
    else if (isSuccess(stream.value()))
        takeover->stream = std::move(stream.value());
    else
        m_state.selector.noteOutcome(attempt.target, TargetOutcome::Failed, BootClock::now());
    const bool isAccepted = takeover->stream.has_value();
    takeover->state = isAccepted ? TakeoverState::Accepted : TakeoverState::Failed;
    if (!isAccepted) {
        stopCounting(attempt);
        noteAttemptEnd(m_state, it, attempt, result, BootClock::now());
        takeover->failedTargets.insert(attempt.target);
    }
    m_state.stateChanged.notify();
}

asio::awaitable<bool> Attempts::awaitTakeover(RequestContext &it)
{
    while (it.takeover && it.takeover->state == TakeoverState::Opening && !it.cancel->isCancelled()
           && BootClock::now() < it.deadline)
        co_await m_state.stateChanged.wait(TakeoverCheckInterval);
    co_return it.takeover &&it.takeover->state == TakeoverState::Accepted;
}

asio::awaitable<AttemptResult> Attempts::runTakeover(RequestContext &it, HttpResponder &responder)
{
    const auto takeover = std::exchange(it.takeover, nullptr);
    it.latest = takeover->attempt;
    auto relayed = relay(it, std::move(*takeover->stream), responder);
    auto result = co_await std::move(relayed);
    finish(it, result);
    it.triedTargets.insert(it.latest.target);
    co_return result;
}

void Attempts::dropTakeover(RequestContext &it)
{
    const auto takeover = std::exchange(it.takeover, nullptr);
    if (!takeover)
        return;
    // The request may have reached the target, which has not answered yet.
    if (takeover->state == TakeoverState::Opening)
        noteRun(it, takeover->attempt);
    takeover->cancel->cancel();
    stopCounting(takeover->attempt);
}

void Attempts::abandon(RequestContext &it)
{
    stopCounting(it.latest);
    dropTakeover(it);
}

} // namespace bluebell::gateway
