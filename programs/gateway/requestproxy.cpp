#include "gateway/requestproxy.h"

#include "core/log.h"
#include "gateway/requestlimits.h"
#include "gateway/requestlog.h"
#include "platform/requests.h"

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

/// Pause before targets are tried again when all usable ones have refused.
constexpr Duration RefusalRetryDelay = milliseconds(30);
/// Maximum time between two checks of the retry budget for a stream that waits for it.
constexpr Duration RetryCheckInterval = milliseconds(50);
/// Maximum time between two attempts to select a target.
constexpr Duration MaxSelectionInterval = milliseconds(250);
/// Time in which the leader decides where to load a model.
constexpr Duration PlacementTime = milliseconds(500);
/// Retry-After of a request whose service has only evacuated targets: operators end an evacuation
/// by hand, so no time is known.
constexpr Duration EvacuationRetryAfter = std::chrono::seconds(2);
/// Retry-After of a request that has waited for the trial of a prompt part in quarantine.
constexpr Duration TrialRetryAfter = std::chrono::seconds(1);
/// How long the demand of a rejected request is kept after its Retry-After time.
constexpr Duration RetryAllowance = milliseconds(500);
/// Minimum time that a running request gets after its key was withdrawn.
constexpr Duration WithdrawnKeyGracePeriod = std::chrono::seconds(4);

} // namespace

std::optional<Result<TargetId>> RequestProxy::selectTarget(RequestContext &it, TimePoint now)
{
    if (it.cancel->isCancelled())
        return it.isKeyWithdrawn
                ? notRun(ErrorCode::KeyWithdrawn, "the key was withdrawn", Duration::zero())
                : notRun(ErrorCode::Unavailable, "the caller has disconnected", Duration::zero());
    if (isTooLateToStart(m_state, it, now))
        return notRun(ErrorCode::Unavailable, "the daemon is stopping", Duration::zero());
    if (auto allowed = m_admission.checkQuarantine(it); !allowed)
        return allowed.error();
    if (auto renewed = renewOrganisation(it); !renewed)
        return renewed.error();
    const auto requirements = targetRequirements(it);
    const auto &targets = m_state.registry.targets();
    if (auto chosen = m_state.selector.choose(requirements, targets, m_state.residents(now), now)) {
        if (m_admission.startTrial(it, now))
            return std::move(*chosen);
        if (now < it.deadline)
            return std::nullopt;
        return notRun(ErrorCode::Unavailable, "a part of the prompt is being tried",
                      TrialRetryAfter);
    }
    if (m_state.selector.isEvacuated(it.service->name, targets)) {
        m_state.metrics.count("bluebell_evacuated_refusals_total", {});
        return notRun(ErrorCode::Unavailable, "all data centres of the service are evacuated",
                      EvacuationRetryAfter);
    }
    noteHoldOff(it, now);
    if (now >= it.deadline)
        return notRun(ErrorCode::Unavailable, "no target can serve the request", milliseconds(500));
    if (requirements.key && !it.wait) {
        it.wait = m_state.demand.startWait(it.service->name, *requirements.key,
                                           urgencyOf(it.priority), now);
        m_state.notifyDemand();
    }
    const auto retryAfter = decideWait(waitFacts(it, now), now).refuseWithRetryAfter;
    if (!retryAfter)
        return std::nullopt;
    if (it.holdOffEnd && it.isHeldOffByCold) {
        m_state.metrics.count("bluebell_cold_refusals_total", {});
        return notRun(ErrorCode::Overloaded, "the targets have just started", *retryAfter);
    }
    if (it.holdOffEnd)
        return notRun(ErrorCode::Overloaded, "the targets have asked for a hold-off", *retryAfter);
    // The caller is expected to retry after this time, so its demand is kept until then.
    if (it.wait)
        m_state.demand.keepUntil(*std::exchange(it.wait, std::nullopt),
                                 now + *retryAfter + RetryAllowance);
    return notRun(ErrorCode::Overloaded,
                  requirements.key ? "the model is not loaded in time"
                                   : "no target takes the request",
                  *retryAfter);
}

Result<void> RequestProxy::renewOrganisation(RequestContext &it)
{
    const auto before = it.priority;
    auto renewed = m_admission.renewOrganisation(it);
    if (it.wait && it.priority != before)
        m_state.demand.endWait(*std::exchange(it.wait, std::nullopt));
    return renewed;
}

asio::awaitable<Result<TargetId>> RequestProxy::awaitTarget(RequestContext &it)
{
    for (;;) {
        const auto now = BootClock::now();
        if (auto found = selectTarget(it, now)) {
            if (it.wait)
                m_state.demand.endWait(*std::exchange(it.wait, std::nullopt));
            co_return std::move(*found);
        }
        auto next = now + (it.triedTargets.empty() ? MaxSelectionInterval : RefusalRetryDelay);
        if (it.holdOffEnd)
            next = std::min(next, *it.holdOffEnd);
        it.triedTargets.clear();
        co_await m_state.stateChanged.wait(std::min(next, it.deadline) - now);
    }
}

WaitFacts RequestProxy::waitFacts(const RequestContext &it, TimePoint now) const
{
    WaitFacts facts;
    facts.receivedAt = it.lastChunkAt.value_or(it.receivedAt);
    facts.deadline = it.deadline;
    facts.latencyGoal = it.route->latencyGoal;
    if (!it.service->engine || !it.caller.replica) {
        // No model is loaded for this request: it can only wait for a target to become available.
        facts.firstByteTimeout =
                it.hasStartedResponse ? callersPatience(*it.route) : it.route->latencyGoal;
        facts.readyAt = it.holdOffEnd;
        return facts;
    }
    facts.firstByteTimeout = callersPatience(*it.route);
    facts.readyAt = m_state.readyAt(it.service->name, it.caller.replica->model, now);
    if (!it.holdOffEnd || (!facts.readyAt && mayBeLoadedElsewhere(it, now)))
        return facts;
    facts.readyAt = std::min(facts.readyAt.value_or(*it.holdOffEnd), *it.holdOffEnd);
    return facts;
}

void RequestProxy::noteHoldOff(RequestContext &it, TimePoint now) const
{
    it.holdOffEnd.reset();
    const auto soonest = m_state.selector.soonestHoldOff(
            targetRequirements(it), m_state.registry.targets(), m_state.residents(now), now);
    if (!soonest)
        return;
    const auto &[target, holdOff, isCold] = *soonest;
    it.holdOffEnd = holdOff.until;
    it.isHeldOffByCold = isCold;
    if (isCold)
        return;
    it.notice = TargetNotice { NoticeKind::HoldOff, target, holdOff.startTimeMs, holdOff.since };
}

bool RequestProxy::mayBeLoadedElsewhere(const RequestContext &it, TimePoint now) const
{
    if (now - it.receivedAt >= PlacementTime)
        return false;
    TargetRequirements anyEngine;
    anyEngine.service = it.service->name;
    return m_state.selector.choose(anyEngine, m_state.registry.targets(), {}, now).has_value();
}

bool RequestProxy::isRetryAllowed(const RequestContext &it, AttemptOutcome outcome,
                                  TimePoint now) const
{
    if (it.cancel->isCancelled() || now >= it.deadline || it.sends >= MaxSends)
        return false;
    if (outcome != AttemptOutcome::Failed)
        return true;
    return mayRunAgain(m_state, it);
}

bool RequestProxy::takeRetry(RequestContext &it, AttemptOutcome outcome)
{
    // An attempt that was not sent adds no load to the targets, so it needs no retry budget.
    if (outcome == AttemptOutcome::NotSent)
        return true;
    return m_state.retryBudgetOf(it.service->name).takeRetry();
}

asio::awaitable<bool> RequestProxy::awaitRetry(RequestContext &it, AttemptOutcome outcome)
{
    for (;;) {
        const auto now = BootClock::now();
        if (!isRetryAllowed(it, outcome, now))
            co_return false;
        if (takeRetry(it, outcome))
            co_return true;
        // Without a retry, a stream that has begun would be cut.
        const auto patienceEnd =
                it.lastChunkAt.value_or(it.receivedAt) + callersPatience(*it.route);
        if (!it.hasStartedResponse || now >= patienceEnd || isTooLateToStart(m_state, it, now))
            co_return false;
        co_await m_state.stateChanged.wait(RetryCheckInterval);
    }
}

asio::awaitable<Result<void>> RequestProxy::serve(RequestContext &it, HttpResponder &responder)
{
    m_state.retryBudgetOf(it.service->name).noteFirstAttempt();
    if (it.service->engine && it.caller.replica)
        m_state.demand.noteArrival(it.service->name, *it.caller.replica, it.receivedAt);
    for (;;) {
        const auto waitStartedAt = BootClock::now();
        auto target = co_await awaitTarget(it);
        it.waited += BootClock::now() - waitStartedAt;
        if (!target)
            co_return target.error();
        const auto id = target.value();
        auto attempted = m_attempts.run(it, id, responder);
        auto result = co_await std::move(attempted);
        if (result.outcome == AttemptOutcome::Answered)
            co_return BOOST_OUTCOME_V2_NAMESPACE::success();
        if (result.outcome == AttemptOutcome::Undeliverable)
            co_return result.error;
        it.triedTargets.insert(id);
        const bool isRetried = co_await awaitRetry(it, result.outcome);
        if (isRetried)
            continue;
        if (result.response) {
            it.hasStartedResponse = true;
            const bool isSent = co_await responder.send(std::move(*result.response));
            if (isSent)
                co_return BOOST_OUTCOME_V2_NAMESPACE::success();
        }
        const auto now = BootClock::now();
        noteHoldOff(it, now);
        if (it.holdOffEnd && result.error.retryAfter)
            result.error.retryAfter = std::max(*result.error.retryAfter, *it.holdOffEnd - now);
        co_return result.error;
    }
}

asio::awaitable<Result<void>> RequestProxy::process(const std::shared_ptr<RequestContext> &request,
                                                    HttpResponder &responder)
{
    auto &it = *request;
    auto decoded = platform::decodeRequest(*it.http);
    if (!decoded)
        co_return decoded.error();
    it.caller = std::move(decoded.value());
    auto result = m_admission.resolve(it);
    m_state.quarantine.noteArrival(it.caller.sharedParts);
    if (result)
        result = m_admission.checkQuarantine(it);
    if (result)
        result = m_admission.reserveRate(it);
    if (!result)
        co_return result;
    const auto active = m_active.add(request);
    if (m_state.stopRequestedAt)
        it.deadline = std::min(
                it.deadline, *m_state.stopRequestedAt + m_state.settings.stopTimeout - StopMargin);
    responder.cancelOnDisconnect(it.cancel);
    const auto watch = it.cancel->add([this] { m_state.stateChanged.notify(); });
    auto served = serve(it, responder);
    result = co_await std::move(served);
    // Whatever has ended the request: one of its attempts may have run.
    if (!result && it.runs > 0)
        result = withUnknownOutcome(std::move(result.error()));
    it.cancel->remove(watch);
    m_admission.refundRate(it);
    co_return result;
}

Error RequestProxy::abandon(RequestContext &it, std::string_view cause)
{
    log::error("request failed by an exception",
               { { "request", it.caller.attempt.value() }, { "cause", std::string(cause) } });
    m_attempts.abandon(it);
    if (it.wait)
        m_state.demand.endWait(*std::exchange(it.wait, std::nullopt));
    m_state.metrics.count("bluebell_request_exceptions_total",
                          { it.organisation, ClassId(it.route ? it.route->name : ""), {} });
    // An attempt that had begun may have reached its target.
    if (it.sends > 0)
        return mayHaveRun(ErrorCode::Unavailable, "the request failed in the gateway");
    m_admission.refundRate(it);
    return notRun(ErrorCode::Unavailable, "the request failed in the gateway", milliseconds(300));
}

asio::awaitable<void> RequestProxy::handle(const HttpRequest &request, HttpResponder &responder)
{
    const auto context = std::make_shared<RequestContext>();
    auto &it = *context;
    it.http = &request;
    it.body = responder.sharedBody();
    it.receivedAt = BootClock::now();
    it.cancel = std::make_shared<CancelSource>();
    auto result = Result<void>(BOOST_OUTCOME_V2_NAMESPACE::success());
    try {
        auto processed = process(context, responder);
        result = co_await std::move(processed);
    } catch (const std::exception &e) {
        result = abandon(it, e.what());
        it.hasStartedResponse = responder.hasBegun();
    }
    auto delivery = result ? Delivery::Complete : Delivery::Truncated;
    if (!result && !it.hasStartedResponse)
        delivery = co_await respondWithError(it, result.error(), responder);
    recordOutcome(it, result, delivery, m_state.metrics);
}

asio::awaitable<Delivery> RequestProxy::respondWithError(const RequestContext &it, Error error,
                                                         HttpResponder &responder)
{
    if (it.isKeyWithdrawn && it.runs == 0)
        error = makeError(ErrorCode::Unauthenticated, "the key was withdrawn");
    const bool isSent = co_await responder.send(platform::encodeError(error, it.caller.attempt));
    co_return isSent ? Delivery::Complete : Delivery::None;
}

void RequestProxy::endAll()
{
    m_active.forEach([](RequestContext &it) { it.cancel->cancel(); });
}

void RequestProxy::applyConfig()
{
    const auto now = BootClock::now();
    m_active.forEach([&](RequestContext &it) {
        if (it.isKeyWithdrawn || m_admission.isKeyHeld(it))
            return;
        it.isKeyWithdrawn = true;
        log::info("key withdrawn under a request",
                  { { "request", it.caller.attempt.value() },
                    { "organisation", it.organisation.value() },
                    { "config", std::to_string(m_state.index->version()) },
                    { "age_ms", std::to_string(toMilliseconds(now - it.receivedAt).count()) },
                    { "left_ms", std::to_string(toMilliseconds(it.deadline - now).count()) },
                    { "sends", std::to_string(it.sends) } });
        // The key was valid when the request was sent to a target; it is cut only if it runs long.
        const auto callersTime = it.caller.timeLeft.value_or(it.route->timeout);
        const auto threeQuartersPoint = it.receivedAt + callersTime * 3 / 4;
        if (it.sends > 0)
            it.deadline = std::min(it.deadline,
                                   std::max(now + WithdrawnKeyGracePeriod, threeQuartersPoint));
        else
            it.cancel->cancel();
    });
}

} // namespace bluebell::gateway
