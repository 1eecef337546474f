#include "gateway/relay.h"

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
/// The caller's own time left ends a little before it gives up.
constexpr Duration AnswerMargin = milliseconds(20);
/// Between two attempts when every usable target has refused.
constexpr Duration PauseAfterRefusal = milliseconds(30);
/// The longest time between two looks for a target.
constexpr Duration LookEvery = milliseconds(250);
/// How long the demand of a request is kept beyond the time at which it was told to come back.
constexpr Duration ReturnAllowance = milliseconds(500);
/// The longest silence of a stream that may be resumed at another target.
constexpr Duration ShortestSilence = milliseconds(800);
/// Sends of one request, whatever becomes of them.
constexpr std::uint32_t MostSends = 8;
/// Time before the forced end of a stop at which the last answers are given.
constexpr Duration StopMargin = milliseconds(600);
/// Time that a stream may take; a stopping daemon starts none that might not end in time.
constexpr Duration StreamTime = milliseconds(4500);
/// Time that any other request may take.
constexpr Duration PlainTime = milliseconds(1500);
/// How long a request that runs may go on at least after its key was withdrawn.
constexpr Duration WithdrawnKeyTime = std::chrono::seconds(4);
constexpr unsigned StatusServerError = 500;

Error notRun(ErrorCode code, std::string message, Duration retryAfter)
{
    return Error { code, std::move(message), Execution::NotRun, retryAfter };
}

Error mayHaveRun(ErrorCode code, std::string message)
{
    return Error { code, std::move(message), Execution::OutcomeUnknown, std::nullopt };
}

std::string toText(const std::optional<RateFacts> &facts)
{
    if (!facts)
        return {};
    return fmt::format("wanted {}, level {}, daemons heard {} of {}", facts->wanted, facts->level,
                       facts->heard, facts->daemons);
}

} // namespace

Result<void> Relay::identify(RequestContext &it) const
{
    it.index = m_state.index;
    if (!it.index)
        return notRun(ErrorCode::Unavailable, "no configuration is known yet", milliseconds(300));
    it.route = it.index->findRoute(it.caller.host, it.caller.path);
    if (!it.route)
        return makeError(ErrorCode::NotFound, "no route for this host and path");
    it.priority = it.route->priority;
    if (it.index->hasOrganisations() && !it.route->isOpen) {
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
        it.deadline = std::min(it.deadline, it.receivedAt + *it.caller.timeLeft - AnswerMargin);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> Relay::reserveRate(RequestContext &it)
{
    if (it.organisation.isEmpty())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto *organisation = it.index->findOrganisation(it.organisation);
    if (!organisation || !organisation->limit)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto now = BootClock::now();
    const auto tokens =
            organisation->countsTokens ? it.caller.tokens.value_or(organisation->plainTokens) : 1;
    auto &rate = m_state.rateOf(*organisation, now);
    const auto heard = m_state.fleet.heardCount(now);
    rate.setFleet(m_state.fleet.size(), heard, now);
    if (const auto wait = rate.admit(tokens, now)) {
        it.rateFacts = RateFacts { tokens, rate.level(now), m_state.fleet.size(), heard };
        return notRun(ErrorCode::RateLimited, "the organisation's rate is used up", *wait);
    }
    it.reserved = tokens;
    if (rate.isScarce(now))
        m_state.statusDue.notify();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Relay::giveRateBack(const RequestContext &it)
{
    if (it.reserved == 0 || it.runs > 0)
        return;
    const auto rate = m_state.rates.find(it.organisation);
    if (rate != m_state.rates.end())
        rate->second.giveBack(it.reserved);
}

bool Relay::isTooLateToStart(const RequestContext &it, TimePoint now) const
{
    if (!m_state.stopRequestedAt)
        return false;
    const auto end = *m_state.stopRequestedAt + m_state.settings.stopTime - StopMargin;
    const bool isStream = it.route->kind == RequestKind::Streaming;
    return end - now < (isStream ? StreamTime : PlainTime);
}

TargetNeed Relay::needOf(const RequestContext &it) const
{
    TargetNeed need;
    need.service = it.service->name;
    if (it.service->engine)
        need.key = it.caller.replica;
    need.excluded = it.met;
    return need;
}

std::optional<Result<TargetId>> Relay::lookForTarget(RequestContext &it,
                                                     std::optional<WaitId> &wait, TimePoint now)
{
    if (it.cancel->isCancelled())
        return notRun(ErrorCode::KeyWithdrawn, "the caller has gone", milliseconds(0));
    if (isTooLateToStart(it, now))
        return notRun(ErrorCode::Unavailable, "the daemon is stopping", Duration::zero());
    const auto need = needOf(it);
    const auto &targets = m_state.registry.targets();
    if (auto chosen = m_state.selector.choose(need, targets, m_state.residents(now), now))
        return std::move(*chosen);
    if (now >= it.deadline)
        return notRun(ErrorCode::Unavailable, "no target can serve the request", milliseconds(500));
    if (need.key && !wait) {
        wait = m_state.demand.startWait(it.service->name, *need.key, urgencyOf(it.priority), now);
        m_state.announceDemand();
    }
    const auto retryAfter = decideWait(waitFacts(it, now), now).refuseWithRetryAfter;
    if (!retryAfter)
        return std::nullopt;
    // The caller was told when to return; its demand stands until then.
    if (wait)
        m_state.demand.keepUntil(*std::exchange(wait, std::nullopt),
                                 now + *retryAfter + ReturnAllowance);
    return notRun(ErrorCode::Overloaded,
                  need.key ? "the model is not loaded in time" : "no target takes the request",
                  *retryAfter);
}

asio::awaitable<Result<TargetId>> Relay::awaitTarget(RequestContext &it)
{
    std::optional<WaitId> wait;
    for (;;) {
        const auto now = BootClock::now();
        if (auto found = lookForTarget(it, wait, now)) {
            if (wait)
                m_state.demand.endWait(*wait);
            co_return std::move(*found);
        }
        const auto pause = it.met.empty() ? LookEvery : PauseAfterRefusal;
        it.met.clear();
        co_await m_state.changed.wait(std::min<Duration>(pause, it.deadline - now));
    }
}

WaitFacts Relay::waitFacts(const RequestContext &it, TimePoint now) const
{
    WaitFacts facts;
    facts.receivedAt = it.receivedAt;
    facts.deadline = it.deadline;
    facts.latencyGoal = it.route->latencyGoal;
    if (!it.service->engine || !it.caller.replica) {
        // Nothing is being loaded for it; a target that comes back in time is all it can hope for.
        facts.patience = it.route->latencyGoal;
        return facts;
    }
    facts.patience = streamPatience(it.route->latencyGoal, it.route->pauseGoal);
    facts.readyAt = m_state.readyAt(it.service->name, it.caller.replica->model, now);
    return facts;
}

Duration Relay::answerTimeout(const RequestContext &it, TimePoint now) const
{
    const auto left = std::max<Duration>(it.deadline - now, milliseconds(1));
    if (!it.route->mayRepeat() || it.runs + 1 >= it.route->mostTargets)
        return left;
    const auto patience = std::max<Duration>(2 * it.route->latencyGoal, milliseconds(250));
    return std::min(left, patience);
}

asio::awaitable<Relay::AttemptResult> Relay::attempt(RequestContext &it, TargetId id,
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
    details.lastEvent = it.events.lastId().value_or(it.caller.lastEvent);
    HttpCall call;
    call.endpoint = target->address;
    call.request = platform::encodeForward(*it.http, details);
    call.timeout = answerTimeout(it, now);
    call.connectTimeout = ConnectTimeout;
    call.cancel = it.cancel;
    const auto key = it.service->engine ? it.caller.replica : std::nullopt;
    m_state.selector.noteStarted(id, key);
    it.lastTarget = id;
    ++it.sends;
    auto stream = co_await openStream(std::move(call));
    AttemptResult result;
    if (stream) {
        auto relayed = relayAnswer(it, id, std::move(stream.value()), responder);
        result = co_await std::move(relayed);
    } else {
        const bool isNotSent = stream.error().execution == Execution::NotRun;
        if (!it.cancel->isCancelled())
            m_state.selector.noteSignal(
                    id, isNotSent ? TargetSignal::Unreachable : TargetSignal::Broken,
                    BootClock::now());
        it.runs += isNotSent ? 0 : 1;
        result = { isNotSent ? AttemptOutcome::NotSent : AttemptOutcome::Failed, stream.error() };
    }
    m_state.selector.noteEnded(id, key);
    co_return result;
}

asio::awaitable<Relay::AttemptResult> Relay::relayAnswer(RequestContext &it, const TargetId &target,
                                                         HttpStream stream,
                                                         HttpResponder &responder)
{
    const auto now = BootClock::now();
    const auto head = platform::decodeAnswer(stream.head(), it.caller.attempt);
    if (head.isNotRun) {
        if (head.isMisdirected && it.caller.replica)
            m_state.selector.noteAbsent(target, *it.caller.replica, now);
        else
            m_state.selector.noteSignal(target, TargetSignal::Full, now);
        co_return AttemptResult { AttemptOutcome::NotRun,
                                  notRun(ErrorCode::Overloaded, "the target refused the request",
                                         milliseconds(200)) };
    }
    ++it.runs;
    const bool isForeign = !head.isOwn || head.isEncoded || (head.isSuccess() && !head.isSigned);
    if (isForeign) {
        m_state.selector.noteSignal(target, TargetSignal::Broken, now);
        co_return AttemptResult { AttemptOutcome::Failed,
                                  mayHaveRun(ErrorCode::Unavailable,
                                             "the answer is not the target's own") };
    }
    const bool isStream = it.route->kind == RequestKind::Streaming && head.isSuccess();
    if (!isStream) {
        auto whole = relayWhole(it, target, std::move(stream), responder);
        co_return co_await std::move(whole);
    }
    if (!it.hasBegun) {
        it.hasBegun = true;
        const bool isSent = co_await responder.begin(platform::encodeAnswer(stream.head()));
        if (!isSent)
            co_return AttemptResult { AttemptOutcome::Lost, {} };
    }
    auto events = relayEvents(it, std::move(stream), responder);
    auto result = co_await std::move(events);
    if (result.outcome == AttemptOutcome::Answered)
        m_state.selector.noteSignal(target, TargetSignal::Answered, BootClock::now());
    else if (result.outcome == AttemptOutcome::Failed && !it.cancel->isCancelled())
        m_state.selector.noteSignal(target, TargetSignal::Broken, BootClock::now());
    co_return result;
}

asio::awaitable<Relay::AttemptResult> Relay::relayWhole(RequestContext &it, const TargetId &target,
                                                        HttpStream stream, HttpResponder &responder)
{
    auto answer = platform::encodeAnswer(stream.head());
    for (;;) {
        const auto left = std::max<Duration>(it.deadline - BootClock::now(), milliseconds(1));
        auto piece = co_await stream.read(left);
        if (!piece) {
            if (!it.cancel->isCancelled())
                m_state.selector.noteSignal(target, TargetSignal::Broken, BootClock::now());
            co_return AttemptResult { AttemptOutcome::Failed, piece.error() };
        }
        if (!piece.value())
            break;
        answer.body += *piece.value();
    }
    const bool isError = answer.status >= StatusServerError;
    m_state.selector.noteSignal(target, isError ? TargetSignal::Failed : TargetSignal::Answered,
                                BootClock::now());
    // A whole error is worth another target only if the request may run again.
    if (isError && !it.hasBegun && mayTryAgain(it, AttemptOutcome::Failed)) {
        auto again = mayHaveRun(ErrorCode::Unavailable, "the target failed");
        co_return AttemptResult { AttemptOutcome::Failed, std::move(again) };
    }
    if (it.hasBegun)
        co_return AttemptResult { AttemptOutcome::Lost,
                                  mayHaveRun(ErrorCode::Truncated, "the stream did not go on") };
    it.hasBegun = true;
    const bool isSent = co_await responder.send(std::move(answer));
    co_return AttemptResult { isSent ? AttemptOutcome::Answered : AttemptOutcome::Lost, {} };
}

asio::awaitable<Relay::AttemptResult> Relay::relayEvents(RequestContext &it, HttpStream stream,
                                                         HttpResponder &responder)
{
    it.events.dropRest();
    for (;;) {
        const auto now = BootClock::now();
        auto timeout = std::max<Duration>(it.deadline - now, milliseconds(1));
        if (it.route->isResumable && it.runs < it.route->mostTargets)
            timeout = std::min(timeout, std::max(ShortestSilence, 4 * it.route->pauseGoal));
        auto piece = co_await stream.read(timeout);
        if (!piece)
            co_return AttemptResult { AttemptOutcome::Failed, piece.error() };
        if (!piece.value())
            break;
        auto events = it.events.add(*piece.value());
        if (events.empty())
            continue;
        const bool isSent = co_await responder.write(std::move(events));
        if (!isSent)
            co_return AttemptResult { AttemptOutcome::Lost, {} };
        notePiece(it);
    }
    if (it.events.hasRest())
        co_return AttemptResult { AttemptOutcome::Failed,
                                  mayHaveRun(ErrorCode::Truncated,
                                             "the stream ended inside an event") };
    const bool isEnded = co_await responder.end();
    co_return AttemptResult { isEnded ? AttemptOutcome::Answered : AttemptOutcome::Lost, {} };
}

bool Relay::mayTryAgain(RequestContext &it, AttemptOutcome outcome)
{
    const auto now = BootClock::now();
    if (it.cancel->isCancelled() || now >= it.deadline || it.sends >= MostSends)
        return false;
    // What reached no target costs the others nothing.
    if (outcome == AttemptOutcome::NotSent)
        return true;
    if (outcome == AttemptOutcome::Failed) {
        const bool isAllowed = it.route->mayRepeat() && it.runs < it.route->mostTargets;
        if (!isAllowed)
            return false;
    }
    return m_state.retryBudgetOf(it.service->name).takeRetry();
}

asio::awaitable<Result<void>> Relay::serve(RequestContext &it, HttpResponder &responder)
{
    m_state.retryBudgetOf(it.service->name).noteFirstAttempt();
    if (it.service->engine && it.caller.replica)
        m_state.demand.noteArrival(it.service->name, *it.caller.replica, it.receivedAt);
    for (;;) {
        const auto askedAt = BootClock::now();
        auto target = co_await awaitTarget(it);
        it.waited += BootClock::now() - askedAt;
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
        if (result.outcome == AttemptOutcome::Lost)
            co_return result.error;
        it.met.insert(id);
        if (!mayTryAgain(it, result.outcome)) {
            if (it.runs > 0)
                result.error.execution = Execution::OutcomeUnknown;
            co_return result.error;
        }
    }
}

asio::awaitable<void> Relay::handle(const HttpRequest &request, HttpResponder &responder)
{
    RequestContext it;
    it.http = &request;
    it.receivedAt = BootClock::now();
    it.cancel = std::make_shared<CancelSource>();
    auto result = Result<void>(BOOST_OUTCOME_V2_NAMESPACE::success());
    auto decoded = platform::decodeRequest(request);
    if (decoded) {
        it.caller = std::move(decoded.value());
        result = identify(it);
    } else {
        result = decoded.error();
    }
    if (result)
        result = reserveRate(it);
    if (result) {
        const auto id = m_nextActive++;
        m_active.emplace(id, &it);
        if (m_state.stopRequestedAt)
            it.deadline = std::min(
                    it.deadline, *m_state.stopRequestedAt + m_state.settings.stopTime - StopMargin);
        responder.cancelWhenGone(it.cancel);
        const auto watch = it.cancel->add([this] { m_state.changed.notify(); });
        auto served = serve(it, responder);
        result = co_await std::move(served);
        it.cancel->remove(watch);
        m_active.erase(id);
        giveRateBack(it);
    }
    record(it, result);
    if (result || it.hasBegun)
        co_return;
    if (it.isKeyWithdrawn && it.runs == 0)
        result = makeError(ErrorCode::Unauthenticated, "the key was withdrawn");
    const bool isSent =
            co_await responder.send(platform::encodeError(result.error(), it.caller.attempt));
    if (!isSent)
        log::info("refusal not delivered", { { "request", it.caller.attempt.value() } });
}

void Relay::noteConfig()
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
                    { "sends", std::to_string(it->sends) } });
        // What has reached a target was allowed when it began; it is cut only if it takes long.
        const auto usual = it->receivedAt + (it->deadline - it->receivedAt) * 3 / 4;
        if (it->sends > 0)
            it->deadline = std::min(it->deadline, std::max(now + WithdrawnKeyTime, usual));
        else
            it->cancel->cancel();
    }
}

void Relay::notePiece(RequestContext &it)
{
    const auto now = BootClock::now();
    const MetricLabels labels { it.organisation, ClassId(it.route->name), {} };
    if (it.lastPieceAt)
        m_state.metrics.observe("bluebell_event_gap_seconds", labels, now - *it.lastPieceAt);
    else
        m_state.metrics.observe("bluebell_first_event_seconds", labels, now - it.receivedAt);
    it.lastPieceAt = now;
}

void Relay::record(const RequestContext &it, const Result<void> &result)
{
    const auto outcome =
            result ? std::string("answered") : std::string(toString(result.error().code));
    const auto taken = BootClock::now() - it.receivedAt;
    const MetricLabels labels { it.organisation, ClassId(it.route ? it.route->name : std::string()),
                                outcome };
    m_state.metrics.count("bluebell_requests_total", labels);
    m_state.metrics.observe("bluebell_request_seconds", labels, taken);
    m_state.metrics.observe("bluebell_target_wait_seconds", labels, it.waited);
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
                { "rate", toText(it.rateFacts) },
                { "execution",
                  result ? std::string() : std::string(toString(result.error().execution)) },
                { "retry_after_ms",
                  !result && result.error().retryAfter
                          ? std::to_string(toMilliseconds(*result.error().retryAfter).count())
                          : std::string() },
                { "ms", std::to_string(toMilliseconds(taken).count()) } });
}

} // namespace bluebell::gateway
