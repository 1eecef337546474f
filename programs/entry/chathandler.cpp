#include "entry/chathandler.h"

#include "core/log.h"
#include "io/notifier.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;
using nlohmann::json;

namespace bluebell::entry {
namespace {

/// Delivered tokens between two progress reports to the rate limiter.
constexpr Tokens TokensPerProgressReport = 16;
/// Interval at which an open stream checks again whether its key is still valid while the
/// configuration is not confirmed as the newest.
constexpr Duration ConfigRetryInterval = std::chrono::milliseconds(50);
/// Time after a request's arrival during which attempts may start and an open stream may wait for
/// the configuration to be confirmed. A response that has begun before the request's deadline may
/// thus outlast it.
constexpr Duration MaxResponseTime = std::chrono::minutes(5);
/// Minimum time for a target to accept an attempt.
constexpr Duration MinStartTime = std::chrono::seconds(5);
/// Time without a token after which a target is given up even if there is no other one. Bytes that
/// make no token of this attempt don't count.
constexpr Duration MaxSilence = std::chrono::seconds(30);

/// \returns `body` as a server-sent event
std::string sseEvent(const json &body)
{
    return "data: " + body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

/// \returns the fields that all chunks of one streamed completion share
json commonChunkFields(const RequestContext &context)
{
    return { { "id", context.id.value() },
             { "object", "chat.completion.chunk" },
             { "model", toString(context.chat->replica) } };
}

std::string tokenEvent(const RequestContext &context, const std::string &text)
{
    auto body = commonChunkFields(context);
    body["choices"] = json::array();
    body["choices"].push_back(
            { { "index", 0 }, { "delta", { { "content", text } } }, { "finish_reason", nullptr } });
    return sseEvent(body);
}

/// \returns the last chunk, which carries the finish reason, and the end marker of the stream
std::string endEvents(const RequestContext &context)
{
    auto body = commonChunkFields(context);
    body["choices"] = json::array();
    body["choices"].push_back(
            { { "index", 0 }, { "delta", json::object() }, { "finish_reason", "length" } });
    return sseEvent(body) + "data: [DONE]\n\n";
}

std::string errorEvent(const Error &error, const RequestContext &context)
{
    return "data: " + errorResponse(error, context.id.value()).body + "\n\n";
}

HttpResponse completionResponse(const RequestContext &context, const std::string &text,
                                Tokens tokens)
{
    json body = { { "id", context.id.value() },
                  { "object", "chat.completion" },
                  { "model", toString(context.chat->replica) } };
    body["choices"] = json::array();
    body["choices"].push_back({ { "index", 0 },
                                { "message", { { "role", "assistant" }, { "content", text } } },
                                { "finish_reason", "length" } });
    body["usage"] = { { "prompt_tokens", context.chat->promptTokens },
                      { "completion_tokens", tokens },
                      { "total_tokens", context.chat->promptTokens + tokens } };
    HttpResponse response;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

HttpResponse streamHead()
{
    HttpResponse head;
    head.contentType = "text/event-stream";
    head.headers.push_back({ "Cache-Control", "no-store" });
    return head;
}

/// \returns the time that a target has to accept an attempt
Duration startTimeout(const RequestContext &context)
{
    return std::max<Duration>(context.deadline - BootClock::now(), MinStartTime);
}

} // namespace

asio::awaitable<void> ChatHandler::serve(RequestContext &context, HttpResponder &responder)
{
    m_budget.noteFirstAttempt();
    ActiveResponse it { context,
                        responder,
                        StreamAssembler(context.id, StreamAssembler::Settings {},
                                        context.arrival + MaxResponseTime),
                        {},
                        {},
                        false,
                        false,
                        std::nullopt };
    auto outcome = co_await relay(it);
    // Whatever has ended the request: an earlier attempt may have run.
    if (!outcome && it.mayHaveRun && outcome.error().execution == Execution::NotRun)
        outcome = withUnknownOutcome(std::move(outcome.error()));
    if (it.reserved)
        m_dispatcher.release(*it.reserved, context, AttemptResult::Succeeded, 0);
    const auto delivered = static_cast<Tokens>(it.assembler.offset());
    const bool hasRun = outcome || outcome.error().execution != Execution::NotRun || delivered > 0;
    m_rateLimiter.settle(context, hasRun ? context.chat->promptTokens + delivered : 0);
    m_metrics.count("bluebell_tokens_total", { context.organisation, context.classRule.id, {} },
                    static_cast<std::uint64_t>(delivered));
    co_await finish(it, outcome);
}

asio::awaitable<Result<void>> ChatHandler::relay(ActiveResponse &it)
{
    auto resume = it.assembler.start(BootClock::now());
    for (;;) {
        auto reserved = std::exchange(it.reserved, std::nullopt);
        Result<Assignment> assignment = makeError(ErrorCode::Unavailable, "no target is assigned");
        if (reserved)
            assignment = std::move(*reserved);
        else
            assignment = co_await m_dispatcher.acquire(it.context);
        if (!assignment) {
            auto error = assignment.error();
            if (it.assembler.offset() > 0)
                error.execution = Execution::Ran;
            co_return error;
        }
        const auto before = it.assembler.offset();
        const auto outcome = co_await attempt(it, assignment.value(), resume);
        const auto served = static_cast<Tokens>(it.assembler.offset() - before);
        m_dispatcher.release(assignment.value(), it.context, outcome.result, served);
        if (it.isDisconnected)
            co_return Error { ErrorCode::Unavailable, "the caller has gone", Execution::Ran, {} };
        if (std::holds_alternative<Complete>(outcome.action))
            co_return BOOST_OUTCOME_V2_NAMESPACE::success();
        if (const auto *abort = std::get_if<Abort>(&outcome.action))
            co_return abort->error;
        if (const auto *next = std::get_if<Resume>(&outcome.action); next != nullptr) {
            if (next->attempt != resume.attempt && !it.reserved && !m_budget.takeRetry())
                co_return makeError(ErrorCode::Overloaded, "too many retries are under way");
            resume = *next;
        }
    }
}

SilencePolicy ChatHandler::silencePolicy(ActiveResponse &it, const TargetId &target)
{
    return { StreamAssembler::Settings {}.progressTimeout, [this, &it, target] {
                const auto now = BootClock::now();
                // After the deadline, no target is assigned any more.
                if (!it.assembler.mayRetry(now) || now >= it.context.deadline
                    || !m_budget.hasRetry())
                    return false;
                // Taken at once: other requests at the same silent target ask next.
                it.reserved = m_dispatcher.tryAcquire(it.context, target);
                return it.reserved && m_budget.takeRetry();
            } };
}

asio::awaitable<ChatHandler::AttemptOutcome>
ChatHandler::attempt(ActiveResponse &it, const Assignment &assignment, Resume resume)
{
    const auto &context = it.context;
    GenerateCall call { context.id,
                        resume.attempt,
                        context.chat->replica,
                        context.chat->prompt,
                        context.chat->maxTokens,
                        resume.offset,
                        context.classRule.weight };
    const auto policy = silencePolicy(it, assignment.target);
    auto starting =
            startGeneration(assignment.address, std::move(call), startTimeout(context), policy);
    auto stream = co_await std::move(starting);
    it.mayHaveRun = it.mayHaveRun || stream || stream.error().execution != Execution::NotRun;
    if (!stream) {
        const auto &error = stream.error();
        const bool isRefused =
                error.execution == Execution::NotRun && error.code == ErrorCode::Unavailable;
        if (isRefused && BootClock::now() < context.deadline)
            co_return AttemptOutcome { AttemptResult::Refused, resume };
        co_return AttemptOutcome { AttemptResult::Failed,
                                   it.assembler.onAttemptFailed(resume.attempt, error,
                                                                BootClock::now()) };
    }
    auto lastProgressAt = BootClock::now();
    for (;;) {
        const auto waitStartedAt = BootClock::now();
        if (auto serving = co_await waitUntilServing(it); !serving) {
            co_await cancelGeneration(assignment.address, context.id);
            co_return AttemptOutcome { AttemptResult::Succeeded, Abort { serving.error() } };
        }
        // The target is not to blame for this time.
        lastProgressAt += BootClock::now() - waitStartedAt;
        auto reading = stream.value().next(lastProgressAt + MaxSilence, policy);
        auto event = co_await std::move(reading);
        const auto now = BootClock::now();
        if (!event) {
            auto action = it.assembler.onAttemptFailed(resume.attempt, event.error(), now);
            co_return AttemptOutcome { AttemptResult::Failed, std::move(action) };
        }
        auto *token = std::get_if<StreamToken>(&event.value());
        auto action = token != nullptr
                ? it.assembler.onToken(std::move(*token), now)
                : it.assembler.onEnd(std::get<StreamEnd>(event.value()), now);
        if (const auto *text = std::get_if<Deliver>(&action)) {
            co_await deliver(it, *text);
            if (it.isDisconnected) {
                co_await cancelGeneration(assignment.address, context.id);
                co_return AttemptOutcome { AttemptResult::Succeeded, Ignore {} };
            }
            lastProgressAt = BootClock::now();
            continue;
        }
        if (std::holds_alternative<Complete>(action))
            co_return AttemptOutcome { AttemptResult::Succeeded, std::move(action) };
        if (!std::holds_alternative<Ignore>(action))
            co_return AttemptOutcome { AttemptResult::Failed, std::move(action) };
    }
}

asio::awaitable<Result<void>> ChatHandler::waitUntilServing(const ActiveResponse &it)
{
    for (;;) {
        const auto now = BootClock::now();
        const auto valid = m_config.replica().authenticate(it.context.key, now);
        if (valid)
            co_return BOOST_OUTCOME_V2_NAMESPACE::success();
        auto error = valid.error();
        error.execution = Execution::Ran;
        const bool mayRecover =
                error.code == ErrorCode::Unavailable && now < it.context.arrival + MaxResponseTime;
        if (!mayRecover)
            co_return error;
        co_await sleepFor(ConfigRetryInterval);
    }
}

asio::awaitable<void> ChatHandler::deliver(ActiveResponse &it, const Deliver &token)
{
    const auto now = BootClock::now();
    const MetricLabels labels { it.context.organisation, it.context.classRule.id, {} };
    if (it.assembler.offset() == 1)
        m_metrics.observe("bluebell_first_token_seconds", labels, now - it.context.arrival);
    else
        m_metrics.observe("bluebell_token_gap_seconds", labels, now - it.lastTokenAt);
    it.lastTokenAt = now;
    const auto delivered = static_cast<Tokens>(it.assembler.offset());
    if (delivered % TokensPerProgressReport == 1)
        m_rateLimiter.noteProgress(it.context, it.context.chat->promptTokens + delivered);
    it.text += token.text;
    if (!it.context.chat->isStreaming)
        co_return;
    if (!it.responder.hasBegun()) {
        const bool hasBegun = co_await it.responder.begin(streamHead());
        it.isDisconnected = !hasBegun;
        if (!hasBegun)
            co_return;
    }
    it.isDisconnected = !co_await it.responder.write(tokenEvent(it.context, token.text));
}

asio::awaitable<void> ChatHandler::finish(ActiveResponse &it, Result<void> outcome)
{
    const auto &context = it.context;
    m_metrics.count("bluebell_requests_total",
                    { context.organisation, context.classRule.id,
                      outcome ? "ok" : std::string(toString(outcome.error().code)) });
    if (it.isDisconnected)
        co_return;
    if (!outcome)
        log::info("request failed",
                  { { "request", context.id.value() },
                    { "organisation", context.organisation.value() },
                    { "code", std::string(toString(outcome.error().code)) },
                    { "cause", outcome.error().message } });
    if (it.responder.hasBegun()) {
        const auto last = outcome ? endEvents(context) : errorEvent(outcome.error(), context);
        const bool isWritten = co_await it.responder.write(last);
        if (isWritten && outcome)
            (void)co_await it.responder.end();
        co_return;
    }
    auto response = outcome
            ? completionResponse(context, it.text, static_cast<Tokens>(it.assembler.offset()))
            : errorResponse(outcome.error(), context.id.value());
    (void)co_await it.responder.send(std::move(response));
}

} // namespace bluebell::entry
