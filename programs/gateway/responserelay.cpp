#include "gateway/responserelay.h"

#include "gateway/attemptevidence.h"
#include "gateway/requestlog.h"
#include "gateway/targetnotices.h"
#include "platform/requests.h"
#include "site/responseverdict.h"

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

constexpr unsigned StatusServerError = 500;

constexpr unsigned StatusClassSize = 100;
constexpr unsigned SuccessClass = 2;

/// \returns the content type without parameters
std::string mediaTypeOf(const HttpStream &stream)
{
    const auto type = stream.header("Content-Type");
    return type.substr(0, type.find(';'));
}

/// \returns the result of an attempt whose response has not been completed
///
/// \param isConnectionLost whether the target may have ended
AttemptResult truncated(std::string message, bool isConnectionLost)
{
    auto error = mayHaveRun(ErrorCode::Truncated, std::move(message));
    error.isConnectionLost = isConnectionLost;
    return { AttemptOutcome::Failed, std::move(error) };
}

} // namespace

bool isSuccess(const HttpStream &stream)
{
    return stream.status() / StatusClassSize == SuccessClass;
}

std::optional<AttemptResult> ResponseRelay::checkHead(RequestContext &it, Attempt &attempt,
                                                      const HttpStream &stream)
{
    const auto now = BootClock::now();
    const auto head = platform::decodeResponse(stream.head(), it.caller.attempt);
    noteResponseHead(m_state, attempt, head, now);
    applyNotices(m_state, it, attempt, head.notices, now);
    const auto verdict = judgeResponse(head, *it.route);
    if (verdict == ResponseVerdict::NotRun)
        return refused(it, attempt, head);
    noteRun(it, attempt);
    if (verdict == ResponseVerdict::Untrusted) {
        m_state.selector.noteOutcome(attempt.target, TargetOutcome::Broken, now);
        return AttemptResult { AttemptOutcome::Failed,
                               mayHaveRun(ErrorCode::Unavailable,
                                          "the answer is not the target's own") };
    }
    if (verdict == ResponseVerdict::Withhold)
        return withheld(it, attempt, head);
    if (it.hasStartedResponse && (!head.isSuccess() || mediaTypeOf(stream) != it.mediaType)) {
        m_state.selector.noteOutcome(attempt.target, TargetOutcome::Failed, now);
        return truncated("the stream did not go on", false);
    }
    return std::nullopt;
}

AttemptResult ResponseRelay::refused(RequestContext &it, const Attempt &attempt,
                                     const ResponseHead &head)
{
    const auto now = BootClock::now();
    if (head.isMisdirected && it.caller.replica) {
        ++it.refusalsNotResident;
        m_state.selector.noteNotResident(attempt.target, *it.caller.replica, now);
    } else {
        ++it.refusalsFull;
        m_state.selector.noteOutcome(attempt.target, TargetOutcome::Full, now);
    }
    return { AttemptOutcome::NotRun,
             notRun(ErrorCode::Overloaded, "the target refused the request", milliseconds(200)) };
}

AttemptResult ResponseRelay::withheld(RequestContext &it, const Attempt &attempt,
                                      const ResponseHead &head)
{
    const bool hasFailed = head.status >= StatusServerError;
    m_state.selector.noteOutcome(attempt.target,
                                 hasFailed ? TargetOutcome::Failed : TargetOutcome::Answered,
                                 BootClock::now());
    auto error = mayHaveRun(ErrorCode::OutcomeUnknown,
                            "the target's response does not tell whether the request was executed");
    recordWithheldResponse(it, attempt, head, error, m_state.metrics);
    return { AttemptOutcome::Failed, std::move(error) };
}

asio::awaitable<AttemptResult> ResponseRelay::relay(RequestContext &it, HttpStream stream,
                                                    HttpResponder &responder,
                                                    const std::optional<SilencePolicy> &silence)
{
    const bool isStream = it.route->kind == RequestKind::Streaming && isSuccess(stream);
    if (!isStream) {
        auto relayed = relayBody(it, std::move(stream), responder);
        co_return co_await std::move(relayed);
    }
    if (!it.hasStartedResponse) {
        it.hasStartedResponse = true;
        it.mediaType = mediaTypeOf(stream);
        const bool isSent = co_await responder.begin(platform::encodeResponse(stream.head()));
        if (!isSent)
            co_return AttemptResult { AttemptOutcome::Undeliverable, {} };
    }
    auto events = relayEvents(it, std::move(stream), responder, silence);
    auto result = co_await std::move(events);
    const auto &target = it.latest.target;
    if (result.outcome == AttemptOutcome::Answered)
        m_state.selector.noteOutcome(target, TargetOutcome::Answered, BootClock::now());
    else if (result.outcome == AttemptOutcome::Failed && !it.cancel->isCancelled())
        m_state.selector.noteOutcome(target, TargetOutcome::Broken, BootClock::now());
    co_return result;
}

AttemptResult ResponseRelay::noMemory()
{
    m_state.metrics.count("bluebell_responses_without_memory_total", {});
    return truncated("no memory is left for the response", false);
}

asio::awaitable<AttemptResult> ResponseRelay::relayBody(RequestContext &it, HttpStream stream,
                                                        HttpResponder &responder)
{
    const auto &target = it.latest.target;
    auto response = platform::encodeResponse(stream.head());
    // Only the length tells a response to HEAD from one without a body.
    if (const auto length = stream.header("Content-Length");
        it.http->method == "HEAD" && !length.empty())
        response.headers.push_back({ "Content-Length", length });
    MemoryShare share(m_state.responseMemory);
    for (;;) {
        auto chunk = co_await stream.read(it.deadline);
        if (!chunk) {
            if (!it.cancel->isCancelled())
                m_state.selector.noteOutcome(target, TargetOutcome::Broken, BootClock::now());
            co_return AttemptResult { AttemptOutcome::Failed, chunk.error() };
        }
        if (!chunk.value())
            break;
        if (!share.grow(chunk.value()->size())) {
            m_state.selector.noteOutcome(target, TargetOutcome::Broken, BootClock::now());
            co_return noMemory();
        }
        response.body += *chunk.value();
    }
    const bool isError = response.status >= StatusServerError;
    m_state.selector.noteOutcome(target, isError ? TargetOutcome::Failed : TargetOutcome::Answered,
                                 BootClock::now());
    if (isError) {
        auto error = mayHaveRun(ErrorCode::Unavailable, "the target failed");
        co_return AttemptResult { AttemptOutcome::Failed, std::move(error), std::move(response) };
    }
    it.hasStartedResponse = true;
    const bool isSent = co_await responder.send(std::move(response));
    co_return AttemptResult { isSent ? AttemptOutcome::Answered : AttemptOutcome::Undeliverable,
                              {} };
}

asio::awaitable<AttemptResult>
ResponseRelay::relayEvents(RequestContext &it, HttpStream stream, HttpResponder &responder,
                           const std::optional<SilencePolicy> &silence)
{
    it.events.discardPartialEvent();
    MemoryShare share(m_state.responseMemory);
    for (;;) {
        auto chunk = co_await stream.read(it.deadline, silence);
        if (!chunk)
            co_return AttemptResult { AttemptOutcome::Failed, chunk.error() };
        if (!chunk.value())
            break;
        auto events = it.events.add(*chunk.value());
        if (it.events.isTooLarge())
            co_return truncated("an event of the stream has no end", false);
        if (!share.resize(it.events.partialSize()))
            co_return noMemory();
        if (it.events.isOutOfOrder())
            co_return truncated("the target did not continue the stream", false);
        if (events.empty())
            continue;
        noteEvents(m_state, it, BootClock::now());
        const bool isSent = co_await responder.write(std::move(events));
        if (!isSent)
            co_return AttemptResult { AttemptOutcome::Undeliverable, {} };
        noteChunk(it, m_state.metrics);
    }
    if (it.events.hasPartialEvent())
        co_return truncated("the stream ended inside an event", stream.isCloseDelimited());
    const bool isEnded = co_await responder.end();
    co_return AttemptResult { isEnded ? AttemptOutcome::Answered : AttemptOutcome::Undeliverable,
                              {} };
}

} // namespace bluebell::gateway
