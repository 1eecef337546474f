#include "entry/servicehandler.h"

#include "core/digest.h"
#include "core/log.h"
#include "records/rows.h"
#include "target/targetclient.h"

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::entry {
namespace {

/// Maximum time of one call to a target.
constexpr Duration CallTimeout = std::chrono::seconds(10);
/// Maximum time to commit or release a claim.
constexpr Duration ClaimTimeout = std::chrono::seconds(3);
/// Maximum time to record the response.
constexpr Duration RecordTimeout = std::chrono::seconds(3);
/// Maximum time from a claim to its last write, with 4 s of allowance.
constexpr Duration MaxClaimTime =
        ClaimTimeout + CallTimeout + RecordTimeout + std::chrono::seconds(4);
/// Maximum size of all responses that are being received.
constexpr std::size_t MaxResponseMemory = 64U << 20U;
constexpr std::size_t IdBytes = 12;
constexpr std::size_t MaxIdempotencyKeyBytes = 200;

RecordedResponse toRecordedResponse(HttpResponse response)
{
    return { response.status, std::move(response.contentType), std::move(response.body) };
}

/// \returns the request as it is forwarded to a service, without the caller's key
HttpRequest forwardedRequest(const HttpRequest &request, const RequestContext &context)
{
    HttpRequest it { request.method, request.path, {}, request.body };
    for (const auto *name : { "Content-Type", "Idempotency-Key", "Accept" })
        if (const auto value = request.header(name); !value.empty())
            it.headers.push_back({ name, std::string(value) });
    it.headers.push_back({ "X-Request-Id", context.id.value() });
    return it;
}

/// \returns whether the call may be repeated, by its route or its method
bool isIdempotent(const RequestContext &context, const HttpRequest &request)
{
    return context.route->idempotent || request.method == "GET" || request.method == "HEAD";
}

std::string digestOf(const HttpRequest &request)
{
    return sha256Hex(request.method + '\n' + request.path + '\n' + request.body);
}

} // namespace

ServiceHandler::ServiceHandler(const ConfigView &config, RecordTable records,
                               RateLimiter &rateLimiter, Metrics &metrics)
    : m_config(config), m_records(std::move(records)), m_rateLimiter(rateLimiter),
      m_metrics(metrics), m_claims(MaxClaimTime), m_budget(RetryBudget::Settings {}),
      m_memory(std::make_shared<MemoryBudget>(MaxResponseMemory))
{
}

asio::awaitable<void> ServiceHandler::serve(RequestContext &context, const HttpRequest &request,
                                            HttpResponder &responder)
{
    const IdempotencyKey key { std::string(request.header("Idempotency-Key")) };
    const bool isRetryable = isIdempotent(context, request);
    const bool hasValidKey = !key.isEmpty() && key.value().size() <= MaxIdempotencyKeyBytes;
    Result<RecordedResponse> result = makeError(
            ErrorCode::InvalidArgument,
            "a call that may not be repeated needs an Idempotency-Key of at most 200 bytes");
    if (isRetryable)
        result = co_await callIdempotent(context, forwardedRequest(request, context));
    else if (hasValidKey)
        result = co_await callOnce(context, forwardedRequest(request, context), key);
    const bool hasRun = result || result.error().execution != Execution::NotRun;
    m_rateLimiter.settle(context, hasRun ? context.tokens : 0);
    m_metrics.count("bluebell_service_calls_total",
                    { context.organisation, context.classRule.id,
                      result ? "ok" : std::string(toString(result.error().code)) });
    if (!result) {
        (void)co_await responder.send(errorResponse(result.error(), context.id.value()));
        co_return;
    }
    HttpResponse response;
    response.status = result.value().status;
    response.contentType = result.value().contentType;
    response.body = std::move(result.value().body);
    (void)co_await responder.send(std::move(response));
}

std::vector<Endpoint> ServiceHandler::targetsOf(const RequestContext &context) const
{
    const auto rules = m_config.replica().rules();
    std::vector<Endpoint> targets;
    for (const auto &id : context.route->targets)
        if (const auto it = rules->targets.find(id); it != rules->targets.end())
            targets.push_back(it->second.address);
    return targets;
}

asio::awaitable<Result<RecordedResponse>>
ServiceHandler::callIdempotent(const RequestContext &context, HttpRequest request)
{
    constexpr std::size_t MaxAttempts = 3;
    m_budget.noteFirstAttempt();
    Error error = makeError(ErrorCode::Unavailable, "the route has no target");
    bool mayHaveRun = false;
    for (std::size_t n = 0; n < MaxAttempts; ++n) {
        const auto targets = targetsOf(context);
        const auto timeLeft = context.deadline - BootClock::now();
        if (targets.empty() || timeLeft <= Duration::zero() || (n > 0 && !m_budget.takeRetry()))
            break;
        auto response = co_await callService(targets[m_nextTarget++ % targets.size()], request,
                                             std::min<Duration>(timeLeft, CallTimeout), m_memory);
        if (response)
            co_return toRecordedResponse(std::move(response.value()));
        error = response.error();
        mayHaveRun = mayHaveRun || error.execution != Execution::NotRun;
    }
    if (mayHaveRun)
        error = withUnknownOutcome(std::move(error));
    co_return error;
}

asio::awaitable<Result<RecordedResponse>>
ServiceHandler::callOnce(const RequestContext &context, HttpRequest request, IdempotencyKey key)
{
    const auto rowKey = rows::idempotencyRecordKey(context.organisation, key);
    NonIdempotentCall flow(digestOf(request), ChangeId(randomHex(IdBytes)), context.deadline);
    auto action = flow.start();
    for (;;) {
        if (std::holds_alternative<InsertClaim>(action))
            action = co_await insertClaim(flow, rowKey);
        else if (std::holds_alternative<Dispatch>(action))
            action = co_await dispatch(flow, context, request);
        else if (std::holds_alternative<ReleaseClaim>(action))
            action = co_await releaseClaim(flow, rowKey);
        else if (auto *write = std::get_if<WriteRecord>(&action))
            action = co_await writeRecord(flow, rowKey, std::move(write->record));
        else
            co_return std::get<Reply>(action).response;
    }
}

asio::awaitable<CallAction> ServiceHandler::insertClaim(NonIdempotentCall &flow, std::string rowKey)
{
    const IdempotencyRecord record { IdempotencyState::Claimed, flow.requestDigest(), flow.claim(),
                                     std::nullopt };
    Transaction transaction { flow.claim(),
                              { { rowKey, 0 } },
                              { { rowKey, rows::encode(record, flow.claim()) } } };
    const auto outcome =
            co_await m_records.commit(std::move(transaction), BootClock::now() + ClaimTimeout);
    if (!outcome)
        co_return flow.claimFailed(outcome.error());
    if (std::holds_alternative<Committed>(outcome.value()))
        co_return flow.claimInserted(BootClock::now());
    const auto row = co_await m_records.get(rowKey);
    if (!row || !row.value())
        co_return flow.claimFailed(row ? makeError(ErrorCode::Unavailable, "the claim is in flux")
                                       : row.error());
    const auto found = rows::decodeIdempotencyRecord(row.value()->value);
    if (!found)
        co_return flow.claimFailed(found.error());
    co_return flow.claimExists(found.value(),
                               m_claims.holderMayBeRunning(found.value().claim, BootClock::now()));
}

asio::awaitable<CallAction> ServiceHandler::dispatch(NonIdempotentCall &flow,
                                                     const RequestContext &context,
                                                     HttpRequest request)
{
    const auto targets = targetsOf(context);
    if (targets.empty())
        co_return flow.dispatched(
                NotStarted { makeError(ErrorCode::Unavailable, "the route has no target") });
    auto response = co_await callService(targets[m_nextTarget++ % targets.size()],
                                         std::move(request), CallTimeout, m_memory);
    if (response)
        co_return flow.dispatched(Completed { toRecordedResponse(std::move(response.value())) });
    if (response.error().execution == Execution::NotRun)
        co_return flow.dispatched(NotStarted { response.error() });
    co_return flow.dispatched(Unresolved { response.error() });
}

asio::awaitable<CallAction> ServiceHandler::releaseClaim(NonIdempotentCall &flow,
                                                         std::string rowKey)
{
    const auto deadline = BootClock::now() + ClaimTimeout;
    const auto row = co_await m_records.get(rowKey);
    if (!row)
        co_return flow.released(false);
    const bool isOwnClaim =
            row.value() && row.value()->value.find(flow.claim().value()) != std::string::npos;
    if (!isOwnClaim)
        co_return flow.released(true);
    Transaction transaction { ChangeId(randomHex(IdBytes)),
                              { { rowKey, row.value()->version } },
                              { { rowKey, std::nullopt } } };
    const auto outcome = co_await m_records.commit(std::move(transaction), deadline);
    co_return flow.released(outcome && std::holds_alternative<Committed>(outcome.value()));
}

asio::awaitable<CallAction> ServiceHandler::writeRecord(NonIdempotentCall &flow, std::string rowKey,
                                                        IdempotencyRecord record)
{
    const auto deadline = BootClock::now() + RecordTimeout;
    const ChangeId change(randomHex(IdBytes));
    const auto row = co_await m_records.get(rowKey);
    if (row && row.value()) {
        Transaction transaction { change,
                                  { { rowKey, row.value()->version } },
                                  { { rowKey, rows::encode(record, change) } } };
        const auto outcome = co_await m_records.commit(std::move(transaction), deadline);
        if (!outcome)
            log::warning("answer of a call not recorded; repeats hear that its outcome is unknown",
                         { { "cause", outcome.error().message } });
    }
    co_return flow.recorded();
}

} // namespace bluebell::entry
