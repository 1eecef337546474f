#include "http/httpsession.h"

#include "core/log.h"
#include "http/httplistener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace bluebell::detail {
namespace {

using std::chrono::milliseconds;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadBufferBytes = 4096;
/// Framing that is always read, such as the size of a chunk after headers of the maximum size.
constexpr std::size_t MinFramingBytes = 64;
/// Header fields are held by the parser and by the request.
constexpr std::size_t HeldHeadFactor = 2;
/// When a caller whose request was refused for lack of memory may try again.
constexpr Duration RefusalRetryTime = milliseconds(1000);
/// Time in which a caller that has just connected is expected to send its first request, when the
/// server stops or has too many connections.
constexpr Duration NewConnectionGracePeriod = milliseconds(1000);
/// Time in which input that has arrived is read before the request counts as late.
constexpr Duration OverdueGracePeriod = milliseconds(100);
/// Bounds on the input that is discarded after a request was rejected.
constexpr Duration DiscardTimeout = milliseconds(1000);
constexpr std::size_t MaxDiscardedBytes = 4U << 20U;
/// Unlike 504, says that the request was not run.
constexpr unsigned RequestTimeoutStatus = 408;

HttpRequest toRequest(http::request<RequestBody> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    for (const auto &field : message)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    return request;
}

/// Unlike std::string::reserve(), which may double the capacity, takes no more than was asked for.
void reserveExactly(std::string &text, std::size_t capacity)
{
    if (capacity <= text.capacity())
        return;
    std::string larger;
    larger.reserve(capacity);
    larger.append(text);
    text.swap(larger);
}

/// \returns the reason for a refusal as in logs and metrics
std::string_view reasonOf(beast::error_code ec)
{
    if (ec == http::error::body_limit)
        return "body limit";
    if (ec == http::error::header_limit)
        return "header limit";
    if (ec == beast::error::timeout)
        return "timeout";
    if (ec == asio::error::no_memory)
        return "no memory";
    return "malformed";
}

Error refusalOf(beast::error_code ec)
{
    if (ec == http::error::body_limit || ec == http::error::header_limit)
        return makeError(ErrorCode::PayloadTooLarge, "malformed HTTP: " + ec.message());
    if (ec == beast::error::timeout)
        return makeError(ErrorCode::DeadlineExceeded, "the request did not arrive in time");
    if (ec == asio::error::no_memory) {
        auto error = makeError(ErrorCode::Unavailable, "no memory is left for the request");
        error.retryAfter = RefusalRetryTime;
        return error;
    }
    return makeError(ErrorCode::InvalidArgument, "malformed HTTP: " + ec.message());
}

} // namespace

HttpSession::HttpSession(tcp::socket socket, HttpListener &listener)
    : m_stream(std::move(socket)), m_listener(listener.weak_from_this()),
      m_limits(listener.limits()), m_handler(listener.handler()), m_timer(m_stream.get_executor()),
      m_phaseStartedAt(BootClock::now())
{
}

void HttpSession::close()
{
    m_endCause = "the server was closed";
    logUnfinished();
    beast::error_code ec;
    m_timer.cancel();
    m_stream.socket().close(ec);
}

asio::awaitable<void> HttpSession::run()
{
    beast::error_code ec;
    m_stream.socket().set_option(tcp::no_delay(true), ec);
    // Affects only calls that do not suspend.
    m_stream.socket().non_blocking(true, ec);
    for (;;) {
        // Stored in a variable: GCC 12 evaluates an operand of && too early when the other operand
        // contains a co_await.
        const bool hasRequest = co_await readRequest();
        if (!hasRequest)
            break;
        co_await handleRequest();
        m_held.reset();
        if (!m_keepAlive || !m_hasEnded || m_listener.expired())
            break;
    }
    logUnfinished();
    startPhase(Phase::Ending);
    co_await finish();
}

void HttpSession::startPhase(Phase phase)
{
    m_phase = phase;
    m_phaseStartedAt = BootClock::now();
    m_isOverdue = false;
    m_hasExpired = false;
    // A connection that becomes idle keeps the limits under which its last response was sent.
    if (const auto listener = m_listener.lock(); listener && phase != Phase::Idle)
        m_limits = listener->limits();
    updateDeadline();
}

TimePoint HttpSession::phaseEnd() const
{
    const auto listener = m_listener.lock();
    if (!listener)
        return m_phaseStartedAt;
    // A caller may rely on the limit that was in force when the phase began, or on a newer one.
    if (m_phase == Phase::Reading)
        return m_phaseStartedAt
                + std::max(m_limits.transferTimeout, listener->limits().transferTimeout);
    if (!listener->isStopping())
        return m_phaseStartedAt + std::max(m_limits.idleTimeout, listener->limits().idleTimeout);
    return m_hasServed ? m_phaseStartedAt : m_phaseStartedAt + NewConnectionGracePeriod;
}

bool HttpSession::isReceiving() const noexcept
{
    return m_phase == Phase::Idle || m_phase == Phase::Reading;
}

void HttpSession::updateDeadline()
{
    if (isReceiving())
        startTimer(std::max(phaseEnd() - BootClock::now(), Duration::zero()));
    else
        m_timer.cancel();
}

void HttpSession::startTimer(Duration d)
{
    m_timer.expires_after(d);
    m_timer.async_wait([weak = weak_from_this()](beast::error_code ec) {
        if (const auto self = weak.lock(); self && !ec)
            self->expirePhase();
    });
}

void HttpSession::expirePhase()
{
    if (!isReceiving())
        return;
    if (BootClock::now() < phaseEnd()) {
        updateDeadline();
        return;
    }
    // The read that is under way completes with these bytes.
    if (m_phase == Phase::Idle && unreadBytes() > 0)
        return;
    if (m_phase == Phase::Reading) {
        // Runs again, as a read that has completed already can't be cancelled.
        startTimer(OverdueGracePeriod);
        if (!std::exchange(m_isOverdue, true))
            return;
    }
    m_hasExpired = true;
    m_stream.cancel();
}

std::size_t HttpSession::unreadBytes()
{
    beast::error_code ec;
    const auto n = m_stream.socket().available(ec);
    return ec ? 0 : n;
}

bool HttpSession::closeIfIdle()
{
    if (!idleSince() || unreadBytes() > 0)
        return false;
    m_endCause = "closed for another connection";
    m_hasExpired = true;
    m_stream.cancel();
    return true;
}

std::optional<TimePoint> HttpSession::idleSince() const
{
    if (m_phase != Phase::Idle || m_hasExpired)
        return std::nullopt;
    if (!m_hasServed && BootClock::now() < m_phaseStartedAt + NewConnectionGracePeriod)
        return std::nullopt;
    return m_phaseStartedAt;
}

std::optional<ReadProgress> HttpSession::readProgress() const
{
    if (m_phase != Phase::Reading || !m_refusal.empty() || !m_held)
        return std::nullopt;
    return ReadProgress { m_lastBytesAt, m_held->memory.size() };
}

void HttpSession::giveUp(std::string_view reason)
{
    m_refusal = reason;
    m_parser.reset();
    m_held.reset();
    m_stream.cancel();
}

std::shared_ptr<const std::string> HttpSession::sharedBody() const
{
    return { m_held, &m_held->request.body };
}

asio::awaitable<bool> HttpSession::awaitRequest()
{
    // The stream's own timeout would close the socket without a look at what has arrived.
    m_stream.expires_never();
    if (m_buffer.size() > 0)
        co_return true;
    startPhase(Phase::Idle);
    for (;;) {
        auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(ReadBufferBytes), Await);
        if (!ec) {
            m_buffer.commit(n);
            co_return true;
        }
        const bool hasArrivedMeanwhile = m_hasExpired && unreadBytes() > 0;
        if (!hasArrivedMeanwhile) {
            m_isCallerGone = !m_hasExpired;
            co_return false;
        }
        m_hasExpired = false;
    }
}

asio::awaitable<bool> HttpSession::readRequest()
{
    const bool hasBytes = co_await awaitRequest();
    if (!hasBytes)
        co_return false;
    startPhase(Phase::Reading);
    m_hasBegun = false;
    m_hasEnded = false;
    startParsing();
    auto ec = co_await readMessage();
    if (ec && m_hasExpired)
        ec = beast::error::timeout;
    if (!m_refusal.empty())
        ec = asio::error::no_memory;
    if (ec) {
        m_parser.reset();
        m_held.reset();
        // Not counted any more, while what the caller still sends is discarded.
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        startPhase(Phase::Ending);
        m_endCause = "the request could not be read";
        co_await reject(ec);
        co_return false;
    }
    m_version = m_parser->get().version();
    m_keepAlive = m_parser->get().keep_alive();
    m_held->request = toRequest(m_parser->release());
    m_parser.reset();
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    co_return true;
}

void HttpSession::startParsing()
{
    m_held = std::make_shared<HeldRequest>(m_limits.memory);
    m_headBytes = 0;
    m_lastBytesAt = m_phaseStartedAt;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
            m_limits.headerBytes, std::numeric_limits<std::uint32_t>::max())));
    m_parser->body_limit(m_limits.bodyBytes);
}

asio::awaitable<beast::error_code> HttpSession::readMessage()
{
    for (;;) {
        const auto parseError = parseArrived();
        if (parseError || m_parser->is_done())
            co_return parseError;
        const auto [ec, n] =
                co_await m_stream.async_read_some(m_buffer.prepare(ReadBufferBytes), Await);
        if (!m_refusal.empty())
            co_return asio::error::no_memory;
        if (ec == asio::error::eof)
            co_return m_parser->got_some() ? http::error::partial_message
                                           : http::error::end_of_stream;
        if (ec)
            co_return ec;
        m_buffer.commit(n);
        m_lastBytesAt = BootClock::now();
    }
}

beast::error_code HttpSession::parseArrived()
{
    beast::error_code ec;
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        if (!holdArrived())
            return asio::error::no_memory;
        const bool isHead = !m_parser->is_header_done();
        const auto n = m_parser->put(m_buffer.data(), ec);
        m_buffer.consume(n);
        if (isHead)
            m_headBytes += n;
        // Later parts are parsed as far as they have arrived; the head alone is counted.
        m_parser->eager(m_parser->is_header_done());
        if (ec)
            break;
    }
    if (ec != http::error::need_more)
        return ec;
    if (m_parser->is_header_done() && isFramingTooLong())
        return http::error::header_limit;
    return {};
}

bool HttpSession::isFramingTooLong() const
{
    const auto left = m_limits.headerBytes - std::min(m_limits.headerBytes, m_headBytes);
    return m_buffer.size() > left + MinFramingBytes;
}

std::size_t HttpSession::maxBodySize() const
{
    if (const auto length = m_parser->content_length())
        return static_cast<std::size_t>(*length);
    return m_limits.bodyBytes;
}

bool HttpSession::holdArrived()
{
    auto &body = m_parser->get().body();
    const auto arrived = m_parser->is_header_done() ? body.size() + m_buffer.size() : 0;
    auto capacity = body.capacity();
    if (arrived > capacity)
        capacity = std::max(arrived, std::min(2 * capacity, maxBodySize()));
    const auto bytes = capacity + m_buffer.capacity() + HeldHeadFactor * m_headBytes;
    while (!m_held->memory.resize(bytes)) {
        const auto listener = m_listener.lock();
        if (!listener || !listener->giveUpForMemory(*this))
            return false;
    }
    reserveExactly(body, capacity);
    return true;
}

asio::awaitable<void> HttpSession::reject(beast::error_code ec)
{
    m_isCallerGone = ec == http::error::end_of_stream || ec == asio::error::connection_reset
            || ec == asio::error::operation_aborted;
    if (m_isCallerGone)
        co_return;
    m_keepAlive = false;
    // A caller that was silent has nothing to discard, and its descriptor is needed.
    m_hasRejected = m_refusal.empty();
    if (const auto listener = m_listener.lock())
        listener->noteRefusal(m_refusal.empty() ? reasonOf(ec) : m_refusal);
    auto response = errorResponse(refusalOf(ec), std::string_view());
    if (ec == beast::error::timeout)
        response.status = RequestTimeoutStatus;
    (void)co_await send(std::move(response));
}

asio::awaitable<void> HttpSession::handleRequest()
{
    startPhase(Phase::Handling);
    m_hasServed = true;
    bool hasFailed = false;
    try {
        HttpResponder responder(*this);
        auto handled = m_handler(m_held->request, responder);
        co_await std::move(handled);
    } catch (const std::exception &e) {
        log::error("request handler failed", { { "cause", e.what() } });
        m_endCause = "the request handler failed";
        hasFailed = true;
    }
    stopDisconnectWatch();
    if (!hasFailed || m_hasBegun)
        co_return;
    m_keepAlive = false;
    auto error = makeError(ErrorCode::Internal, "the request could not be handled");
    error.execution = Execution::OutcomeUnknown;
    auto response = errorResponse(error, std::string_view());
    (void)co_await send(std::move(response));
}

asio::awaitable<void> HttpSession::finish()
{
    beast::error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    if (m_hasRejected || unreadBytes() > 0)
        co_await discardInput();
}

asio::awaitable<void> HttpSession::discardInput()
{
    std::array<char, ReadBufferBytes> buf {};
    m_stream.expires_after(DiscardTimeout);
    for (std::size_t total = 0; total < MaxDiscardedBytes;) {
        const auto [ec, n] = co_await m_stream.async_read_some(asio::buffer(buf), Await);
        if (ec)
            co_return;
        total += n;
    }
}

void HttpSession::cancelOnDisconnect(const std::shared_ptr<CancelSource> &source)
{
    m_disconnectSource = source;
    watchForDisconnect(source);
}

void HttpSession::watchForDisconnect(const std::shared_ptr<CancelSource> &source)
{
    m_stream.socket().async_wait(tcp::socket::wait_read,
                                 [self = shared_from_this(), source](beast::error_code ec) {
                                     if (ec || self->m_disconnectSource != source)
                                         return;
                                     if (!self->hasCallerClosed())
                                         return;
                                     self->m_isCallerGone = true;
                                     source->cancel();
                                 });
}

bool HttpSession::hasCallerClosed()
{
    char c = 0;
    beast::error_code ec;
    const auto n = m_stream.socket().receive(asio::buffer(&c, 1), tcp::socket::message_peek, ec);
    if (ec == asio::error::would_block) {
        // Woken without input.
        watchForDisconnect(m_disconnectSource);
        return false;
    }
    // Bytes are a pipelined request.
    return ec || n == 0;
}

void HttpSession::stopDisconnectWatch()
{
    if (!m_disconnectSource)
        return;
    m_disconnectSource.reset();
    beast::error_code ec;
    m_stream.socket().cancel(ec);
}

void HttpSession::logUnfinished()
{
    const auto unread = m_buffer.size() + unreadBytes();
    const bool isUnanswered = m_phase != Phase::Idle && !m_hasEnded;
    if (m_phase == Phase::Ending || m_isCallerGone || (unread == 0 && !isUnanswered))
        return;
    const auto *response = !isUnanswered ? "complete" : m_hasBegun ? "truncated" : "none";
    log::warning("connection closed before all was answered",
                 { { "cause", std::string(m_endCause) },
                   { "unread_bytes", std::to_string(unread) },
                   { "response", response } });
}

bool HttpSession::isHeadRequest() const
{
    return m_held && m_held->request.method == "HEAD";
}

template<typename Message>
void HttpSession::fillHead(Message &message, const HttpResponse &response) const
{
    message.version(m_version);
    message.result(response.status);
    if (!response.contentType.empty())
        message.set(http::field::content_type, response.contentType);
    for (const auto &it : response.headers)
        message.insert(it.name, it.value);
    message.keep_alive(m_keepAlive);
}

void HttpSession::updateKeepAlive()
{
    const auto listener = m_listener.lock();
    if (!listener || listener->closesAfterResponse())
        m_keepAlive = false;
}

bool HttpSession::noteWritten(beast::error_code ec)
{
    m_isCallerGone = m_isCallerGone || ec;
    return !ec;
}

asio::awaitable<bool> HttpSession::send(HttpResponse response)
{
    updateKeepAlive();
    http::response<http::string_body> message;
    fillHead(message, response);
    message.body() = std::move(response.body);
    // In a response to HEAD, a length that is given tells of the body that GET would bring.
    if (!isHeadRequest() || response.header("Content-Length").empty())
        message.prepare_payload();
    m_hasBegun = true;
    m_stream.expires_after(m_limits.transferTimeout);
    http::response_serializer<http::string_body> serializer(message);
    if (isHeadRequest()) {
        const auto [ec, n] = co_await http::async_write_header(m_stream, serializer, Await);
        m_hasEnded = !ec;
        co_return noteWritten(ec);
    }
    const auto [ec, n] = co_await http::async_write(m_stream, serializer, Await);
    m_hasEnded = !ec;
    co_return noteWritten(ec);
}

asio::awaitable<bool> HttpSession::begin(HttpResponse head)
{
    updateKeepAlive();
    http::response<http::empty_body> message;
    fillHead(message, head);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    m_hasBegun = true;
    m_stream.expires_after(m_limits.transferTimeout);
    const auto [ec, n] = co_await http::async_write_header(m_stream, serializer, Await);
    co_return noteWritten(ec);
}

asio::awaitable<bool> HttpSession::write(std::string chunk)
{
    if (isHeadRequest())
        co_return true;
    m_stream.expires_after(m_limits.transferTimeout);
    const auto [ec, n] =
            co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(chunk)), Await);
    co_return noteWritten(ec);
}

asio::awaitable<bool> HttpSession::end()
{
    if (isHeadRequest()) {
        m_hasEnded = true;
        co_return true;
    }
    m_stream.expires_after(m_limits.transferTimeout);
    const auto [ec, n] = co_await asio::async_write(m_stream, http::make_chunk_last(), Await);
    m_hasEnded = !ec;
    co_return noteWritten(ec);
}

} // namespace bluebell::detail
