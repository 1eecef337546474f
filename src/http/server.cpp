#include "http/server.h"

#include "core/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace bluebell {
namespace detail {
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

/// A server connection; reads and handles its requests one after another.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(tcp::socket socket, HttpListener &listener);

    asio::awaitable<void> run();
    void close();

    asio::awaitable<bool> send(HttpResponse response);
    asio::awaitable<bool> begin(HttpResponse head);
    asio::awaitable<bool> write(std::string chunk);
    asio::awaitable<bool> end();
    [[nodiscard]] bool hasBegun() const noexcept { return m_hasBegun; }
    [[nodiscard]] bool isIdle() const noexcept { return m_isIdle; }
    void cancelOnDisconnect(const std::shared_ptr<CancelSource> &source);

private:
    void stopDisconnectWatch();
    /// Logs that the connection is being closed although the caller has sent bytes that were not
    /// read, or waits for the rest of a response.
    void logUnfinished(std::string_view cause);
    /// Disables keep-alive if the listener is closing; called before the headers are written, which
    /// announce the decision.
    void updateKeepAlive();
    asio::awaitable<bool> readRequest();
    asio::awaitable<void> reject(beast::error_code ec);
    template<typename Message>
    void fillHead(Message &message, const HttpResponse &response) const;

    beast::tcp_stream m_stream;
    std::weak_ptr<HttpListener> m_listener;
    HttpLimits m_limits;
    HttpHandler m_handler;
    /// Triggered when the caller disconnects; null while no handler watches for it.
    std::shared_ptr<CancelSource> m_disconnectSource;
    beast::flat_buffer m_buffer;
    std::optional<HttpRequest> m_request;
    unsigned m_version = 11;
    bool m_keepAlive = true;
    bool m_hasBegun = false;
    bool m_hasEnded = false;
    bool m_isIdle = true;
    /// Why the connection ends.
    std::string_view m_endCause = "the last response has ended";
};

/// The listening socket and its open connections.
class HttpListener : public std::enable_shared_from_this<HttpListener>
{
public:
    HttpListener(asio::io_context &context, HttpLimits limits, HttpHandler handler)
        : m_acceptor(context), m_limits(limits), m_handler(std::move(handler))
    {
    }

    Result<Endpoint> listen(const Endpoint &endpoint);
    void stop(bool closeAll);
    void disableKeepAlive() noexcept { m_isKeepAliveDisabled = true; }
    void setLimits(const HttpLimits &limits) { m_limits = limits; }
    [[nodiscard]] bool isStopping() const noexcept { return m_isStopping; }
    /// \returns whether connections are closed after their next response
    [[nodiscard]] bool closesAfterResponse() const noexcept
    {
        return m_isStopping || m_isKeepAliveDisabled;
    }
    [[nodiscard]] const HttpLimits &limits() const noexcept { return m_limits; }
    [[nodiscard]] const HttpHandler &handler() const noexcept { return m_handler; }
    [[nodiscard]] std::size_t connectionCount() const noexcept { return m_sessions.size(); }

private:
    static asio::awaitable<void> acceptLoop(std::shared_ptr<HttpListener> self);
    static asio::awaitable<void> serve(std::shared_ptr<HttpListener> self,
                                       std::shared_ptr<HttpSession> session);

    tcp::acceptor m_acceptor;
    HttpLimits m_limits;
    HttpHandler m_handler;
    std::set<std::shared_ptr<HttpSession>> m_sessions;
    bool m_isStopping = false;
    bool m_isKeepAliveDisabled = false;
};

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

Result<Endpoint> HttpListener::listen(const Endpoint &endpoint)
{
    beast::error_code ec;
    const auto address = asio::ip::make_address(endpoint.host, ec);
    const tcp::endpoint local(address, endpoint.port);
    if (!ec)
        m_acceptor.open(local.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(local, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return makeError(ErrorCode::Unavailable,
                         "cannot listen on " + toString(endpoint) + ": " + ec.message());
    asio::co_spawn(m_acceptor.get_executor(), acceptLoop(shared_from_this()), asio::detached);
    return Endpoint { endpoint.host, m_acceptor.local_endpoint().port() };
}

asio::awaitable<void> HttpListener::acceptLoop(std::shared_ptr<HttpListener> self)
{
    while (!self->m_isStopping) {
        auto [ec, socket] = co_await self->m_acceptor.async_accept(Await);
        if (ec == asio::error::operation_aborted || !self->m_acceptor.is_open())
            co_return;
        if (ec || self->m_sessions.size() >= self->m_limits.connections)
            continue;
        auto session = std::make_shared<HttpSession>(std::move(socket), *self);
        self->m_sessions.insert(session);
        asio::co_spawn(self->m_acceptor.get_executor(), serve(self, session), asio::detached);
    }
}

asio::awaitable<void> HttpListener::serve(std::shared_ptr<HttpListener> self,
                                          std::shared_ptr<HttpSession> session)
{
    try {
        co_await session->run();
    } catch (const std::exception &e) {
        log::error("request handler failed", { { "cause", e.what() } });
        session->close();
    }
    self->m_sessions.erase(session);
}

void HttpListener::stop(bool closeAll)
{
    m_isStopping = true;
    beast::error_code ec;
    m_acceptor.close(ec);
    for (const auto &session : m_sessions)
        if (closeAll || session->isIdle())
            session->close();
}

} // namespace detail

asio::awaitable<bool> HttpResponder::send(HttpResponse response)
{
    return m_session.send(std::move(response));
}

asio::awaitable<bool> HttpResponder::begin(HttpResponse head)
{
    return m_session.begin(std::move(head));
}

asio::awaitable<bool> HttpResponder::write(std::string chunk)
{
    return m_session.write(std::move(chunk));
}

asio::awaitable<bool> HttpResponder::end()
{
    return m_session.end();
}

bool HttpResponder::hasBegun() const noexcept
{
    return m_session.hasBegun();
}

void HttpResponder::cancelOnDisconnect(const std::shared_ptr<CancelSource> &source)
{
    m_session.cancelOnDisconnect(source);
}

HttpServer::HttpServer(asio::io_context &context, HttpLimits limits, HttpHandler handler)
    : m_listener(std::make_shared<detail::HttpListener>(context, limits, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    m_listener->stop(true);
}

Result<Endpoint> HttpServer::listen(const Endpoint &endpoint)
{
    return m_listener->listen(endpoint);
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_listener->setLimits(limits);
}

void HttpServer::disableKeepAlive()
{
    m_listener->disableKeepAlive();
}

void HttpServer::stopAccepting()
{
    m_listener->stop(false);
}

std::size_t HttpServer::connectionCount() const noexcept
{
    return m_listener->connectionCount();
}

HttpResponse errorResponse(const Error &error, std::string_view requestId)
{
    nlohmann::json body = { { "error",
                              { { "code", toString(error.code) },
                                { "message", error.message },
                                { "request_id", requestId },
                                { "execution", toString(error.execution) } } } };
    HttpResponse response;
    response.status = httpStatus(error.code);
    if (error.retryAfter) {
        const auto seconds = std::max(1.0, std::ceil(toSeconds(*error.retryAfter)));
        response.headers.push_back(
                { "Retry-After", std::to_string(static_cast<std::int64_t>(seconds)) });
        body["error"]["retry_after_ms"] = toMilliseconds(*error.retryAfter).count();
    }
    using nlohmann::json;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

} // namespace bluebell
