#include "gateway/requestproxy.h"

#include "core/digest.h"
#include "core/log.h"
#include "platform/requests.h"

#include <fmt/core.h>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

constexpr Duration ConnectTimeout = milliseconds(200);
/// Subtracted from the caller's time left, so that the response arrives before its timeout.
constexpr Duration DeadlineMargin = milliseconds(20);
/// Pause before targets are tried again when all usable ones have refused.
constexpr Duration RefusalRetryDelay = milliseconds(30);
/// Maximum time between two attempts to select a target.
constexpr Duration MaxSelectionInterval = milliseconds(250);
/// How long the demand of a rejected request is kept after its Retry-After time.
constexpr Duration RetryAllowance = milliseconds(500);
/// Lower bound on the read timeout of a stream that can be resumed at another target.
constexpr Duration MinResumableReadTimeout = milliseconds(800);
/// Maximum size of a response that is kept in memory until it is complete, and of a stream, which
/// is not. A target that sends more is in trouble.
constexpr std::uint64_t MaxResponseBytes = 4U << 20U;
constexpr std::uint64_t MaxStreamBytes = 64U << 20U;
/// Maximum number of attempts for one request, including those that fail to connect.
constexpr std::uint32_t MaxSends = 8;
/// Requests end this long before the kill of a stopping process.
constexpr Duration StopMargin = milliseconds(600);
/// Time that a stream may take. A stopping daemon starts no stream when less than this is left.
constexpr Duration MinTimeForStream = milliseconds(4500);
/// The same for all other requests.
constexpr Duration MinTimeForRequest = milliseconds(1500);
/// Minimum time that a running request gets after its key was withdrawn.
constexpr Duration WithdrawnKeyGracePeriod = std::chrono::seconds(4);
constexpr unsigned StatusServerError = 500;

Error notRun(ErrorCode code, std::string message, Duration retryAfter)
{
    return Error { code, std::move(message), Execution::NotRun, retryAfter };
}

Error mayHaveRun(ErrorCode code, std::string message)
{
    return Error { code, std::move(message), Execution::OutcomeUnknown, std::nullopt };
}

std::string_view toString(Delivery delivery)
{
    switch (delivery) {
    case Delivery::Complete:
        return "complete";
    case Delivery::Truncated:
        return "truncated";
    case Delivery::None:
        break;
    }
    return "none";
}

std::string toText(const std::optional<RateLimitDetails> &details)
{
    if (!details)
        return {};
    return fmt::format("wanted {}, level {}, daemons heard {} of {}", details->requested,
                       details->level, details->liveDaemons, details->daemons);
}

} // namespace

Result<void> RequestProxy::resolveRequest(RequestContext &it) const
{
    it.index = m_state.index;
    if (!it.index)
        return notRun(ErrorCode::Unavailable, "no configuration is known yet", milliseconds(300));
    it.route = it.index->findRoute(it.caller.host, it.caller.path);
    if (!it.route)
        return makeError(ErrorCode::NotFound, "no route for this host and path");
    it.priority = it.route->priority;
    if (it.index->hasOrganisations() && !it.route->allowsAnonymous) {
        const auto *organisation = it.index->findOrganisation(it.caller.key);
        if (it.caller.key.empty() || !organisation)
            return makeError(ErrorCode::Unauthenticated, "the key is not known");
        it.organisation = organisation->name;
        it.priority = organisation->priority.value_or(it.priority);
    }
    const auto *name = chooseService(*it.route, stableHash(it.caller.attempt.value()));
    it.service = name ? it.index->findService(*name) : nullptr;
    if (!it.service)
        return notRun(ErrorCode::Unavailable, "the route has no service", std::chrono::seconds(1));
    if (it.service->engine && it.caller.replica
        && !it.service->engine->models.contains(it.caller.replica->model))
        return makeError(ErrorCode::NotFound, "the service does not serve this model");
    it.deadline = it.receivedAt + it.route->timeout;
    if (it.caller.timeLeft)
        it.deadline = std::min(it.deadline, it.receivedAt + *it.caller.timeLeft - DeadlineMargin);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> RequestProxy::reserveRate(RequestContext &it)
{
    if (it.organisation.isEmpty())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto *organisation = it.index->findOrganisation(it.organisation);
    if (!organisation || !organisation->limit)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto now = BootClock::now();
    const auto tokens =
            organisation->countsTokens ? it.caller.tokens.value_or(organisation->defaultTokens) : 1;
    auto &rate = m_state.rateOf(*organisation, now);
    const auto liveDaemons = m_state.fleet.liveCount(now);
    rate.setDaemonCounts(m_state.fleet.size(), liveDaemons, now);
    if (const auto wait = rate.admit(tokens, now)) {
        it.rateDetails =
                RateLimitDetails { tokens, rate.level(now), m_state.fleet.size(), liveDaemons };
        return notRun(ErrorCode::RateLimited, "the organisation's rate is used up", *wait);
    }
    it.reserved = tokens;
    if (rate.isLow(now)) {
        m_state.statusDue.notify();
        m_state.reportDue.notify();
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void RequestProxy::refundRate(const RequestContext &it)
{
    if (it.reserved == 0 || it.runs > 0)
        return;
    const auto rate = m_state.rates.find(it.organisation);
    if (rate != m_state.rates.end())
        rate->second.refund(it.reserved);
}

bool RequestProxy::isTooLateToStart(const RequestContext &it, TimePoint now) const
{
    if (!m_state.stopRequestedAt)
        return false;
    const auto end = *m_state.stopRequestedAt + m_state.settings.stopTimeout - StopMargin;
    const bool isStream = it.route->kind == RequestKind::Streaming;
    return end - now < (isStream ? MinTimeForStream : MinTimeForRequest);
}

TargetRequirements RequestProxy::targetRequirements(const RequestContext &it) const
{
    TargetRequirements requirements;
    requirements.service = it.service->name;
    if (it.service->engine)
        requirements.key = it.caller.replica;
    requirements.excluded = it.triedTargets;
    return requirements;
}

std::optional<Result<TargetId>>
RequestProxy::selectTarget(RequestContext &it, std::optional<WaitId> &wait, TimePoint now)
{
    if (it.cancel->isCancelled())
        return notRun(ErrorCode::KeyWithdrawn, "the caller has gone", milliseconds(0));
    if (isTooLateToStart(it, now))
        return notRun(ErrorCode::Unavailable, "the daemon is stopping", Duration::zero());
    const auto requirements = targetRequirements(it);
    const auto &targets = m_state.registry.targets();
    if (auto chosen = m_state.selector.choose(requirements, targets, m_state.residents(now), now))
        return std::move(*chosen);
    if (now >= it.deadline)
        return notRun(ErrorCode::Unavailable, "no target can serve the request", milliseconds(500));
    if (requirements.key && !wait) {
        wait = m_state.demand.startWait(it.service->name, *requirements.key, urgencyOf(it.priority),
                                        now);
        m_state.notifyDemand();
    }
    const auto retryAfter = decideWait(waitFacts(it, now), now).refuseWithRetryAfter;
    if (!retryAfter)
        return std::nullopt;
    // The caller is expected to retry after this time, so its demand is kept until then.
    if (wait)
        m_state.demand.keepUntil(*std::exchange(wait, std::nullopt),
                                 now + *retryAfter + RetryAllowance);
    return notRun(ErrorCode::Overloaded,
                  requirements.key ? "the model is not loaded in time"
                                   : "no target takes the request",
                  *retryAfter);
}

asio::awaitable<Result<TargetId>> RequestProxy::awaitTarget(RequestContext &it)
{
    std::optional<WaitId> wait;
    for (;;) {
        const auto now = BootClock::now();
        if (auto found = selectTarget(it, wait, now)) {
            if (wait)
                m_state.demand.endWait(*wait);
            co_return std::move(*found);
        }
        const auto pause = it.triedTargets.empty() ? MaxSelectionInterval : RefusalRetryDelay;
        it.triedTargets.clear();
        co_await m_state.stateChanged.wait(std::min<Duration>(pause, it.deadline - now));
    }
}

WaitFacts RequestProxy::waitFacts(const RequestContext &it, TimePoint now) const
{
    WaitFacts facts;
    facts.receivedAt = it.receivedAt;
    facts.deadline = it.deadline;
    facts.latencyGoal = it.route->latencyGoal;
    if (!it.service->engine || !it.caller.replica) {
        // No model is loaded for this request: it can only wait for a target to become available.
        facts.firstByteTimeout = it.route->latencyGoal;
        return facts;
    }
    facts.firstByteTimeout = streamFirstByteTimeout(it.route->latencyGoal, it.route->eventGapGoal);
    facts.readyAt = m_state.readyAt(it.service->name, it.caller.replica->model, now);
    return facts;
}

Duration RequestProxy::attemptTimeout(const RequestContext &it, TimePoint now) const
{
    const auto left = std::max<Duration>(it.deadline - now, milliseconds(1));
    if (!it.route->isRetryable() || it.runs + 1 >= it.route->maxTargets)
        return left;
    const auto attemptLimit = std::max<Duration>(2 * it.route->latencyGoal, milliseconds(250));
    return std::min(left, attemptLimit);
}

asio::awaitable<RequestProxy::AttemptResult> RequestProxy::attempt(RequestContext &it, TargetId id,
                                                                   HttpResponder &responder)
{
    const auto *target = m_state.registry.find(id);
    if (!target)
        co_return AttemptResult { AttemptOutcome::NotSent,
                                  notRun(ErrorCode::Unavailable, "the target has left", {}) };
    const auto now = BootClock::now();
    ForwardDetails details;
    details.target = id;
    details.timeLeft = it.deadline - now;
    details.organisation = it.organisation;
    details.priority = it.priority;
    details.lastEventId = it.events.lastId().value_or(it.caller.lastEventId);
    HttpCall call;
    call.endpoint = target->address;
    call.request = platform::encodeForward(*it.http, details);
    call.bodyLimit = it.route->kind == RequestKind::Streaming ? MaxStreamBytes : MaxResponseBytes;
    call.timeout = attemptTimeout(it, now);
    call.connectTimeout = ConnectTimeout;
    call.cancel = it.cancel;
    const auto key = it.service->engine ? it.caller.replica : std::nullopt;
    m_state.selector.noteStarted(id, key);
    it.lastTarget = id;
    ++it.sends;
    auto stream = co_await openStream(std::move(call));
    AttemptResult result;
    if (stream) {
        auto relayed = relayResponse(it, id, std::move(stream.value()), responder);
        result = co_await std::move(relayed);
    } else {
        const bool isNotSent = stream.error().execution == Execution::NotRun;
        if (!it.cancel->isCancelled())
            m_state.selector.noteOutcome(
                    id, isNotSent ? TargetOutcome::Unreachable : TargetOutcome::Broken,
                    BootClock::now());
        it.runs += isNotSent ? 0 : 1;
        result = { isNotSent ? AttemptOutcome::NotSent : AttemptOutcome::Failed, stream.error() };
    }
    m_state.selector.noteEnded(id, key);
    co_return result;
}

asio::awaitable<RequestProxy::AttemptResult> RequestProxy::relayResponse(RequestContext &it,
                                                                         const TargetId &target,
                                                                         HttpStream stream,
                                                                         HttpResponder &responder)
{
    const auto now = BootClock::now();
    const auto head = platform::decodeResponse(stream.head(), it.caller.attempt);
    if (head.isNotRun) {
        if (head.isMisdirected && it.caller.replica)
            m_state.selector.noteNotResident(target, *it.caller.replica, now);
        else
            m_state.selector.noteOutcome(target, TargetOutcome::Full, now);
        co_return AttemptResult { AttemptOutcome::NotRun,
                                  notRun(ErrorCode::Overloaded, "the target refused the request",
                                         milliseconds(200)) };
    }
    ++it.runs;
    const bool isUntrusted =
            !head.matchesAttempt || head.isEncoded || (head.isSuccess() && !head.isSigned);
    if (isUntrusted) {
        m_state.selector.noteOutcome(target, TargetOutcome::Broken, now);
        co_return AttemptResult { AttemptOutcome::Failed,
                                  mayHaveRun(ErrorCode::Unavailable,
                                             "the answer is not the target's own") };
    }
    const bool isStream = it.route->kind == RequestKind::Streaming && head.isSuccess();
    if (!isStream) {
        auto relayed = relayBody(it, target, std::move(stream), responder);
        co_return co_await std::move(relayed);
    }
    if (!it.hasStartedResponse) {
        it.hasStartedResponse = true;
        const bool isSent = co_await responder.begin(platform::encodeResponse(stream.head()));
        if (!isSent)
            co_return AttemptResult { AttemptOutcome::Undeliverable, {} };
    }
    auto events = relayEvents(it, std::move(stream), responder);
    auto result = co_await std::move(events);
    if (result.outcome == AttemptOutcome::Answered)
        m_state.selector.noteOutcome(target, TargetOutcome::Answered, BootClock::now());
    else if (result.outcome == AttemptOutcome::Failed && !it.cancel->isCancelled())
        m_state.selector.noteOutcome(target, TargetOutcome::Broken, BootClock::now());
    co_return result;
}

asio::awaitable<RequestProxy::AttemptResult> RequestProxy::relayBody(RequestContext &it,
                                                                     const TargetId &target,
                                                                     HttpStream stream,
                                                                     HttpResponder &responder)
{
    auto response = platform::encodeResponse(stream.head());
    for (;;) {
        const auto left = std::max<Duration>(it.deadline - BootClock::now(), milliseconds(1));
        auto chunk = co_await stream.read(left);
        if (!chunk) {
            if (!it.cancel->isCancelled())
                m_state.selector.noteOutcome(target, TargetOutcome::Broken, BootClock::now());
            co_return AttemptResult { AttemptOutcome::Failed, chunk.error() };
        }
        if (!chunk.value())
            break;
        response.body += *chunk.value();
    }
    const bool isError = response.status >= StatusServerError;
    m_state.selector.noteOutcome(target, isError ? TargetOutcome::Failed : TargetOutcome::Answered,
                                 BootClock::now());
    // A complete error response is replaced by another attempt only if the request is retryable.
    if (isError && !it.hasStartedResponse && mayRetry(it, AttemptOutcome::Failed)) {
        auto retryableError = mayHaveRun(ErrorCode::Unavailable, "the target failed");
        co_return AttemptResult { AttemptOutcome::Failed, std::move(retryableError) };
    }
    if (it.hasStartedResponse)
        co_return AttemptResult { AttemptOutcome::Undeliverable,
                                  mayHaveRun(ErrorCode::Truncated, "the stream did not go on") };
    it.hasStartedResponse = true;
    const bool isSent = co_await responder.send(std::move(response));
    co_return AttemptResult { isSent ? AttemptOutcome::Answered : AttemptOutcome::Undeliverable,
                              {} };
}

asio::awaitable<RequestProxy::AttemptResult>
RequestProxy::relayEvents(RequestContext &it, HttpStream stream, HttpResponder &responder)
{
    it.events.discardPartialEvent();
    for (;;) {
        const auto now = BootClock::now();
        auto timeout = std::max<Duration>(it.deadline - now, milliseconds(1));
        if (it.route->isResumable && it.runs < it.route->maxTargets)
            timeout = std::min(timeout,
                               std::max(MinResumableReadTimeout, 4 * it.route->eventGapGoal));
        auto chunk = co_await stream.read(timeout);
        if (!chunk)
            co_return AttemptResult { AttemptOutcome::Failed, chunk.error() };
        if (!chunk.value())
            break;
        auto events = it.events.add(*chunk.value());
        if (it.events.isTooLarge())
            co_return AttemptResult { AttemptOutcome::Failed,
                                      mayHaveRun(ErrorCode::Truncated,
                                                 "an event of the stream has no end") };
        if (events.empty())
            continue;
        const bool isSent = co_await responder.write(std::move(events));
        if (!isSent)
            co_return AttemptResult { AttemptOutcome::Undeliverable, {} };
        noteChunk(it);
    }
    if (it.events.hasPartialEvent())
        co_return AttemptResult { AttemptOutcome::Failed,
                                  mayHaveRun(ErrorCode::Truncated,
                                             "the stream ended inside an event") };
    const bool isEnded = co_await responder.end();
    co_return AttemptResult { isEnded ? AttemptOutcome::Answered : AttemptOutcome::Undeliverable,
                              {} };
}

bool RequestProxy::mayRetry(RequestContext &it, AttemptOutcome outcome)
{
    const auto now = BootClock::now();
    if (it.cancel->isCancelled() || now >= it.deadline || it.sends >= MaxSends)
        return false;
    // An attempt that was not sent adds no load to the targets, so it needs no retry budget.
    if (outcome == AttemptOutcome::NotSent)
        return true;
    if (outcome == AttemptOutcome::Failed) {
        const bool isAllowed = it.route->isRetryable() && it.runs < it.route->maxTargets;
        if (!isAllowed)
            return false;
    }
    return m_state.retryBudgetOf(it.service->name).takeRetry();
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
        if (!target) {
            auto error = target.error();
            if (it.runs > 0)
                error.execution = Execution::OutcomeUnknown;
            co_return error;
        }
        const auto id = target.value();
        auto result = co_await attempt(it, id, responder);
        if (result.outcome == AttemptOutcome::Answered)
            co_return BOOST_OUTCOME_V2_NAMESPACE::success();
        if (result.outcome == AttemptOutcome::Undeliverable)
            co_return result.error;
        it.triedTargets.insert(id);
        if (!mayRetry(it, result.outcome)) {
            if (it.runs > 0)
                result.error.execution = Execution::OutcomeUnknown;
            co_return result.error;
        }
    }
}

asio::awaitable<void> RequestProxy::handle(const HttpRequest &request, HttpResponder &responder)
{
    RequestContext it;
    it.http = &request;
    it.receivedAt = BootClock::now();
    it.cancel = std::make_shared<CancelSource>();
    auto result = Result<void>(BOOST_OUTCOME_V2_NAMESPACE::success());
    auto decoded = platform::decodeRequest(request);
    if (decoded) {
        it.caller = std::move(decoded.value());
        result = resolveRequest(it);
    } else {
        result = decoded.error();
    }
    if (result)
        result = reserveRate(it);
    if (result) {
        const auto id = m_nextActiveId++;
        m_active.emplace(id, &it);
        if (m_state.stopRequestedAt)
            it.deadline =
                    std::min(it.deadline,
                             *m_state.stopRequestedAt + m_state.settings.stopTimeout - StopMargin);
        responder.cancelOnDisconnect(it.cancel);
        const auto watch = it.cancel->add([this] { m_state.stateChanged.notify(); });
        auto served = serve(it, responder);
        result = co_await std::move(served);
        it.cancel->remove(watch);
        m_active.erase(id);
        refundRate(it);
    }
    auto delivery = result ? Delivery::Complete : Delivery::Truncated;
    if (!result && !it.hasStartedResponse)
        delivery = co_await respondWithError(it, result.error(), responder);
    recordOutcome(it, result, delivery);
}

asio::awaitable<Delivery> RequestProxy::respondWithError(const RequestContext &it, Error error,
                                                         HttpResponder &responder)
{
    if (it.isKeyWithdrawn && it.runs == 0)
        error = makeError(ErrorCode::Unauthenticated, "the key was withdrawn");
    const bool isSent = co_await responder.send(platform::encodeError(error, it.caller.attempt));
    co_return isSent ? Delivery::Complete : Delivery::None;
}

void RequestProxy::applyConfig()
{
    const auto now = BootClock::now();
    for (auto &[id, it] : m_active) {
        if (it->organisation.isEmpty() || it->isKeyWithdrawn)
            continue;
        const auto *organisation = m_state.index->findOrganisation(it->caller.key);
        if (organisation && organisation->name == it->organisation)
            continue;
        it->isKeyWithdrawn = true;
        log::info("key withdrawn under a request",
                  { { "request", it->caller.attempt.value() },
                    { "organisation", it->organisation.value() },
                    { "config", std::to_string(m_state.index->version()) },
                    { "age_ms", std::to_string(toMilliseconds(now - it->receivedAt).count()) },
                    { "left_ms", std::to_string(toMilliseconds(it->deadline - now).count()) },
                    { "sends", std::to_string(it->sends) } });
        // The key was valid when the request was sent to a target; it is cut only if it runs long.
        const auto threeQuartersPoint = it->receivedAt + (it->deadline - it->receivedAt) * 3 / 4;
        if (it->sends > 0)
            it->deadline = std::min(it->deadline,
                                    std::max(now + WithdrawnKeyGracePeriod, threeQuartersPoint));
        else
            it->cancel->cancel();
    }
}

void RequestProxy::noteChunk(RequestContext &it)
{
    const auto now = BootClock::now();
    const MetricLabels labels { it.organisation, ClassId(it.route->name), {} };
    if (it.lastChunkAt)
        m_state.metrics.observe("bluebell_event_gap_seconds", labels, now - *it.lastChunkAt);
    else
        m_state.metrics.observe("bluebell_first_event_seconds", labels, now - it.receivedAt);
    it.lastChunkAt = now;
}

void RequestProxy::recordOutcome(const RequestContext &it, const Result<void> &result,
                                 Delivery delivery)
{
    const auto outcome =
            result ? std::string("answered") : std::string(toString(result.error().code));
    const auto duration = BootClock::now() - it.receivedAt;
    const MetricLabels labels { it.organisation, ClassId(it.route ? it.route->name : std::string()),
                                outcome };
    m_state.metrics.count("bluebell_requests_total", labels);
    m_state.metrics.observe("bluebell_request_seconds", labels, duration);
    m_state.metrics.observe("bluebell_target_wait_seconds", labels, it.waited);
    if (delivery != Delivery::Complete)
        m_state.metrics.count("bluebell_incomplete_responses_total",
                              { it.organisation, labels.classId, std::string(toString(delivery)) });
    log::info("request",
              { { "request", it.caller.attempt.value() },
                { "organisation", it.organisation.value() },
                { "route", it.route ? it.route->name : std::string() },
                { "replica", it.caller.replica ? toString(*it.caller.replica) : std::string() },
                { "target", it.lastTarget.value() },
                { "sends", std::to_string(it.sends) },
                { "runs", std::to_string(it.runs) },
                { "waited_ms", std::to_string(toMilliseconds(it.waited).count()) },
                { "config", std::to_string(it.index ? it.index->version() : 0) },
                { "outcome", outcome },
                { "cause", result ? std::string() : result.error().message },
                { "delivery", std::string(toString(delivery)) },
                { "rate", toText(it.rateDetails) },
                { "execution",
                  result ? std::string() : std::string(toString(result.error().execution)) },
                { "retry_after_ms",
                  !result && result.error().retryAfter
                          ? std::to_string(toMilliseconds(*result.error().retryAfter).count())
                          : std::string() },
                { "ms", std::to_string(toMilliseconds(duration).count()) } });
}

} // namespace bluebell::gateway
