#include "http/httpsession.h"

#include "core/log.h"
#include "http/httplistener.h"
#include "http/requestrefusal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace bluebell::detail {
namespace {

using std::chrono::milliseconds;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t DiscardBufferBytes = 4096;
/// Time in which a caller that has just connected is expected to send its first request, when the
/// server stops or has too many connections.
constexpr Duration NewConnectionGracePeriod = milliseconds(1000);
/// Time in which input that has arrived is read before the request counts as late.
constexpr Duration OverdueGracePeriod = milliseconds(100);
/// Bounds on the input that is discarded after a request was rejected.
constexpr Duration DiscardTimeout = milliseconds(1000);
constexpr std::size_t MaxDiscardedBytes = 4U << 20U;

} // namespace

HttpSession::HttpSession(tcp::socket socket, HttpListener &listener)
    : m_stream(std::move(socket)), m_listener(listener.weak_from_this()),
      m_limits(listener.limits()), m_handler(listener.handler()), m_timer(m_stream.get_executor()),
      m_writer(m_stream), m_disconnectWatch(m_stream.socket(), [this] { m_isCallerGone = true; }),
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
        if (!m_writer.keepsAlive() || !m_writer.hasEnded() || m_listener.expired())
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
    m_parser.cancel();
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
    if (m_parser.bufferedBytes() > 0)
        co_return true;
    startPhase(Phase::Idle);
    for (;;) {
        auto [ec, n] = co_await m_stream.async_read_some(m_parser.prepare(), Await);
        if (!ec) {
            m_parser.commit(n);
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
    m_writer.startRequest();
    m_held = std::make_shared<HeldRequest>(m_limits.memory);
    m_lastBytesAt = m_phaseStartedAt;
    m_parser.start(m_limits, m_held);
    auto ec = co_await readMessage();
    if (ec && m_hasExpired)
        ec = beast::error::timeout;
    if (!m_refusal.empty())
        ec = asio::error::no_memory;
    if (ec) {
        m_parser.cancel();
        m_held.reset();
        // Not counted any more, while what the caller still sends is discarded.
        m_parser.clearBuffer();
        startPhase(Phase::Ending);
        m_endCause = "the request could not be read";
        co_await reject(ec);
        co_return false;
    }
    const auto [version, keepAlive] = m_parser.finish();
    m_writer.setRequest(version, keepAlive, m_held->request.method == "HEAD");
    co_return true;
}

asio::awaitable<beast::error_code> HttpSession::readMessage()
{
    const auto freeMemory = [this] {
        const auto listener = m_listener.lock();
        return listener && listener->giveUpForMemory(*this);
    };
    for (;;) {
        const auto parseError = m_parser.parse(freeMemory);
        if (parseError || m_parser.isDone())
            co_return parseError;
        const auto [ec, n] = co_await m_stream.async_read_some(m_parser.prepare(), Await);
        if (!m_refusal.empty())
            co_return asio::error::no_memory;
        if (ec == asio::error::eof)
            co_return m_parser.endOfInput();
        if (ec)
            co_return ec;
        m_parser.commit(n);
        m_lastBytesAt = BootClock::now();
    }
}

asio::awaitable<void> HttpSession::reject(beast::error_code ec)
{
    m_isCallerGone = ec == http::error::end_of_stream || ec == asio::error::connection_reset
            || ec == asio::error::operation_aborted;
    if (m_isCallerGone)
        co_return;
    m_writer.disableKeepAlive();
    // A caller that was silent has nothing to discard, and its descriptor is needed.
    m_hasRejected = m_refusal.empty();
    if (const auto listener = m_listener.lock())
        listener->noteRefusal(m_refusal.empty() ? refusalReason(ec) : m_refusal);
    auto response = refusalResponse(ec);
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
    m_disconnectWatch.stop();
    if (!hasFailed || m_writer.hasBegun())
        co_return;
    m_writer.disableKeepAlive();
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
    std::array<char, DiscardBufferBytes> buf {};
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
    m_disconnectWatch.start(source, shared_from_this());
}

void HttpSession::logUnfinished()
{
    const auto unread = m_parser.bufferedBytes() + unreadBytes();
    const bool isUnanswered = m_phase != Phase::Idle && !m_writer.hasEnded();
    if (m_phase == Phase::Ending || m_isCallerGone || (unread == 0 && !isUnanswered))
        return;
    const auto *response = !isUnanswered ? "complete" : m_writer.hasBegun() ? "truncated" : "none";
    log::warning("connection closed before all was answered",
                 { { "cause", std::string(m_endCause) },
                   { "unread_bytes", std::to_string(unread) },
                   { "response", response } });
}

void HttpSession::updateKeepAlive()
{
    const auto listener = m_listener.lock();
    if (!listener || listener->closesAfterResponse())
        m_writer.disableKeepAlive();
}

bool HttpSession::noteWritten(beast::error_code ec)
{
    m_isCallerGone = m_isCallerGone || ec;
    return !ec;
}

asio::awaitable<bool> HttpSession::send(HttpResponse response)
{
    updateKeepAlive();
    const auto ec = co_await m_writer.send(std::move(response), m_limits.transferTimeout);
    co_return noteWritten(ec);
}

asio::awaitable<bool> HttpSession::begin(HttpResponse head)
{
    updateKeepAlive();
    const auto ec = co_await m_writer.begin(std::move(head), m_limits.transferTimeout);
    co_return noteWritten(ec);
}

asio::awaitable<bool> HttpSession::write(std::string chunk)
{
    const auto ec = co_await m_writer.write(std::move(chunk), m_limits.transferTimeout);
    co_return noteWritten(ec);
}

asio::awaitable<bool> HttpSession::end()
{
    const auto ec = co_await m_writer.end(m_limits.transferTimeout);
    co_return noteWritten(ec);
}

} // namespace bluebell::detail
