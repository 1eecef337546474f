#include "http/httpsession.h"

#include "core/log.h"
#include "http/httplistener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace bluebell::detail {
namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// State shared by the read of a request and its timeout timer.
struct ReadDeadline
{
    bool isComplete = false;
    bool hasExpired = false;
};

HttpRequest toRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    for (const auto &field : message)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    return request;
}

} // namespace

HttpSession::HttpSession(tcp::socket socket, HttpListener &listener)
    : m_stream(std::move(socket)), m_listener(listener.weak_from_this()),
      m_limits(listener.limits()), m_handler(listener.handler())
{
}

void HttpSession::close()
{
    logUnfinished("stop of the server");
    beast::error_code ec;
    m_stream.socket().close(ec);
}

asio::awaitable<void> HttpSession::run()
{
    m_stream.socket().set_option(tcp::no_delay(true));
    for (;;) {
        // Stored in a variable: GCC 12 evaluates an operand of && too early when the other operand
        // contains a co_await.
        const bool hasRequest = co_await readRequest();
        if (!hasRequest)
            break;
        m_isIdle = false;
        m_hasBegun = false;
        m_hasEnded = false;
        HttpResponder responder(*this);
        co_await m_handler(*m_request, responder);
        stopDisconnectWatch();
        m_isIdle = true;
        const auto listener = m_listener.lock();
        if (!m_keepAlive || !m_hasEnded || !listener || listener->isStopping())
            break;
    }
    logUnfinished(m_endCause);
    beast::error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

void HttpSession::logUnfinished(std::string_view cause)
{
    beast::error_code ec;
    const auto unread = m_buffer.size() + m_stream.socket().available(ec);
    const bool isIncomplete = m_hasBegun && !m_hasEnded;
    if (unread == 0 && m_isIdle && !isIncomplete)
        return;
    log::warning("connection closed before all was answered",
                 { { "cause", std::string(cause) },
                   { "unread_bytes", std::to_string(unread) },
                   { "response",
                     isIncomplete       ? "truncated"
                             : m_isIdle ? "complete"
                                        : "none" } });
}

void HttpSession::cancelOnDisconnect(const std::shared_ptr<CancelSource> &source)
{
    m_disconnectSource = source;
    m_stream.socket().async_wait(tcp::socket::wait_read,
                                 [self = shared_from_this(), source](beast::error_code ec) {
                                     if (ec || self->m_disconnectSource != source)
                                         return;
                                     // Readable bytes are a pipelined request; readable without
                                     // bytes means that the peer has closed the connection.
                                     const auto n = self->m_stream.socket().available(ec);
                                     if (ec || n == 0)
                                         source->cancel();
                                 });
}

void HttpSession::stopDisconnectWatch()
{
    if (!m_disconnectSource)
        return;
    m_disconnectSource.reset();
    beast::error_code ec;
    m_stream.socket().cancel(ec);
}

asio::awaitable<bool> HttpSession::readRequest()
{
    if (const auto listener = m_listener.lock())
        m_limits = listener->limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
    parser.body_limit(m_limits.bodyBytes);
    if (m_buffer.size() == 0) {
        m_stream.expires_after(m_limits.idleTimeout);
        auto [ec, n] = co_await m_stream.async_read_some(m_buffer.prepare(4096), Await);
        if (ec) {
            m_endCause = ec == beast::error::timeout ? "idle timeout" : "closed by the caller";
            co_return false;
        }
        m_buffer.commit(n);
    }
    m_isIdle = false;
    // The stream's own timeout would close the socket before an error response can be sent.
    m_stream.expires_never();
    asio::steady_timer timer(m_stream.get_executor());
    timer.expires_after(m_limits.transferTimeout);
    auto deadline = std::make_shared<ReadDeadline>();
    timer.async_wait([self = shared_from_this(), deadline](beast::error_code waitError) {
        if (waitError || deadline->isComplete)
            return;
        deadline->hasExpired = true;
        self->m_stream.cancel();
    });
    auto [ec, n] = co_await http::async_read(m_stream, m_buffer, parser, Await);
    deadline->isComplete = true;
    timer.cancel();
    if (deadline->hasExpired)
        ec = beast::error::timeout;
    if (ec) {
        m_endCause = "the request could not be read";
        co_await reject(ec);
        co_return false;
    }
    m_version = parser.get().version();
    m_keepAlive = parser.get().keep_alive();
    m_request = toRequest(parser.release());
    co_return true;
}

asio::awaitable<void> HttpSession::reject(beast::error_code ec)
{
    if (ec == http::error::end_of_stream || ec == asio::error::connection_reset)
        co_return;
    m_keepAlive = false;
    auto error = makeError(ErrorCode::InvalidArgument, "malformed HTTP: " + ec.message());
    if (ec == http::error::body_limit || ec == http::error::header_limit)
        error.code = ErrorCode::PayloadTooLarge;
    if (ec == beast::error::timeout)
        error = makeError(ErrorCode::DeadlineExceeded, "the request did not arrive in time");
    auto response = errorResponse(error, std::string_view());
    (void)co_await send(std::move(response));
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

asio::awaitable<bool> HttpSession::send(HttpResponse response)
{
    updateKeepAlive();
    http::response<http::string_body> message;
    fillHead(message, response);
    message.body() = std::move(response.body);
    message.prepare_payload();
    m_hasBegun = true;
    m_stream.expires_after(m_limits.transferTimeout);
    const auto [ec, n] = co_await http::async_write(m_stream, message, Await);
    m_hasEnded = !ec;
    co_return !ec;
}

void HttpSession::updateKeepAlive()
{
    const auto listener = m_listener.lock();
    if (!listener || listener->closesAfterResponse())
        m_keepAlive = false;
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
    co_return !ec;
}

asio::awaitable<bool> HttpSession::write(std::string chunk)
{
    m_stream.expires_after(m_limits.transferTimeout);
    const auto [ec, n] =
            co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(chunk)), Await);
    co_return !ec;
}

asio::awaitable<bool> HttpSession::end()
{
    m_stream.expires_after(m_limits.transferTimeout);
    const auto [ec, n] = co_await asio::async_write(m_stream, http::make_chunk_last(), Await);
    m_hasEnded = !ec;
    co_return !ec;
}

} // namespace bluebell::detail
