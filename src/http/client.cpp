#include "http/client.h"

#include "http/silencewatch.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace bluebell {
namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ReadBufferBytes = 8192;
/// Bounds what is buffered of a head, a chunk's extension or a trailer.
constexpr std::size_t MaxBufferBytes = 128U << 10U;
/// Time to read bytes that have arrived already.
constexpr Duration ArrivedReadTime = std::chrono::milliseconds(1);

/// \returns whether a response may end an exchange: interim responses and numbers that are no
/// status do not
bool isFinalStatus(unsigned status)
{
    return status >= 200 && status <= 599;
}

/// \returns whether the other side has closed or reset the connection
bool isClosedByPeer(beast::error_code ec)
{
    return ec == http::error::end_of_stream || ec == http::error::partial_message
            || ec == asio::error::eof || ec == asio::error::connection_reset
            || ec == asio::error::connection_aborted || ec == asio::error::broken_pipe;
}

Error transportError(const Endpoint &endpoint, std::string_view step, beast::error_code ec,
                     Execution execution)
{
    const auto code =
            ec == beast::error::timeout ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable;
    return Error { code, toString(endpoint) + ": " + std::string(step) + ": " + ec.message(),
                   execution, std::nullopt, isClosedByPeer(ec) };
}

} // namespace

namespace detail {

/// A client connection that is used for a single request.
class HttpClientConnection
{
public:
    HttpClientConnection(const asio::any_io_executor &executor, Endpoint endpoint,
                         std::uint64_t bodyLimit)
        : m_endpoint(std::move(endpoint)), m_stream(executor), m_buffer(MaxBufferBytes)
    {
        m_parser.body_limit(bodyLimit);
    }
    ~HttpClientConnection()
    {
        if (m_watch)
            m_watch->stop();
        if (m_cancelSource)
            m_cancelSource->remove(m_registration);
    }
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    /// Closes the connection when `cancel` is triggered.
    void closeOnCancel(std::shared_ptr<CancelSource> cancel)
    {
        m_cancelSource = std::move(cancel);
        if (m_cancelSource)
            m_registration = m_cancelSource->add([this] { close(); });
    }
    void close()
    {
        beast::error_code ec;
        m_isClosed = true;
        m_stream.socket().close(ec);
    }
    asio::awaitable<Result<void>> send(HttpCall call);
    asio::awaitable<Result<std::optional<std::string>>> read(TimePoint deadline,
                                                             std::optional<SilencePolicy> silence);

    [[nodiscard]] const auto &head() const { return m_parser.get(); }
    [[nodiscard]] bool isCloseDelimited() const { return m_parser.need_eof(); }

private:
    /// Starts to apply the policy to the silence that begins now.
    void startWatch(std::optional<SilencePolicy> silence);
    /// Ends the silence.
    ///
    /// \returns the error of the operation that has ended with `ec`
    [[nodiscard]] std::optional<Error> stopWatch(std::string_view step, beast::error_code ec);
    /// \returns bytes that have arrived at the socket and have not been read
    [[nodiscard]] std::size_t unreadBytes();
    /// \returns the time for the next read; nothing if the deadline has passed and all that had
    /// arrived by then has been read
    [[nodiscard]] std::optional<Duration> readTime(TimePoint deadline);
    /// \returns whether a success without a length and chunks has ended without any byte of its
    /// body, which cannot be told from a server that broke off
    [[nodiscard]] bool hasEndedBeforeBody() const;

    Endpoint m_endpoint;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::response_parser<http::buffer_body> m_parser;
    std::shared_ptr<CancelSource> m_cancelSource;
    CancelSource::Registration m_registration = 0;
    std::shared_ptr<SilenceWatch> m_watch;
    bool m_isClosed = false;
    bool m_hasBody = false;
    /// What may still be read of the bytes that had arrived at the deadline, once that has passed.
    std::optional<std::size_t> m_overdueBytes;
};

std::size_t HttpClientConnection::unreadBytes()
{
    beast::error_code ec;
    const auto n = m_stream.socket().available(ec);
    return ec ? 0 : n;
}

std::optional<Duration> HttpClientConnection::readTime(TimePoint deadline)
{
    if (const auto left = deadline - BootClock::now(); left > Duration::zero())
        return left;
    if (!m_overdueBytes)
        m_overdueBytes = m_buffer.size() + unreadBytes();
    if (*m_overdueBytes == 0)
        return std::nullopt;
    return ArrivedReadTime;
}

bool HttpClientConnection::hasEndedBeforeBody() const
{
    const bool isSuccess =
            http::to_status_class(m_parser.get().result()) == http::status_class::successful;
    return isSuccess && isCloseDelimited() && !m_hasBody;
}

void HttpClientConnection::startWatch(std::optional<SilencePolicy> silence)
{
    if (!silence)
        return;
    // Bytes may have arrived while this process was suspended.
    auto tryGiveUp = [this, policy = std::move(silence->tryGiveUp)] {
        return unreadBytes() == 0 && policy();
    };
    silence->tryGiveUp = std::move(tryGiveUp);
    m_watch = std::make_shared<SilenceWatch>(m_stream.get_executor(), std::move(*silence),
                                             [this] { close(); });
    m_watch->start();
}

std::optional<Error> HttpClientConnection::stopWatch(std::string_view step, beast::error_code ec)
{
    const auto watch = std::exchange(m_watch, nullptr);
    if (watch)
        watch->stop();
    if (watch && !ec)
        watch->noteBytes();
    if (!ec)
        return std::nullopt;
    if (watch && watch->hasGivenUp())
        return Error { ErrorCode::Unavailable,
                       toString(m_endpoint) + ": given up because the server was silent",
                       Execution::OutcomeUnknown, std::nullopt };
    return transportError(m_endpoint, step, ec, Execution::OutcomeUnknown);
}

asio::awaitable<Result<void>> HttpClientConnection::send(HttpCall call)
{
    auto &request = call.request;
    beast::error_code addressError;
    const auto address = asio::ip::make_address(m_endpoint.host, addressError);
    if (addressError)
        co_return transportError(m_endpoint, "address", addressError, Execution::NotRun);
    if (m_isClosed)
        co_return transportError(m_endpoint, "connect", asio::error::operation_aborted,
                                 Execution::NotRun);
    m_stream.expires_after(std::min(call.connectTimeout, call.timeout));
    const auto [connectError] =
            co_await m_stream.async_connect(tcp::endpoint(address, m_endpoint.port), Await);
    if (connectError || m_isClosed)
        co_return transportError(m_endpoint, "connect", connectError, Execution::NotRun);
    m_stream.expires_after(call.timeout);
    beast::error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);

    m_parser.skip(request.method == "HEAD");
    const std::string_view body = call.sharedBody ? *call.sharedBody : request.body;
    http::request<http::span_body<const char>> message;
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, toString(m_endpoint));
    if (!request.header("Host").empty())
        message.erase(http::field::host);
    for (const auto &it : request.headers)
        message.insert(it.name, it.value);
    message.keep_alive(false);
    message.body() = { body.data(), body.size() };
    message.prepare_payload();
    startWatch(std::move(call.silence));
    const auto [writeError, written] = co_await http::async_write(m_stream, message, Await);
    if (writeError)
        co_return *stopWatch("send", writeError);
    const auto [readError, n] =
            co_await http::async_read_header(m_stream, m_buffer, m_parser, Await);
    if (auto error = stopWatch("receive", readError))
        co_return std::move(*error);
    if (const auto status = m_parser.get().result_int(); !isFinalStatus(status))
        co_return Error { ErrorCode::Unavailable,
                          toString(m_endpoint) + ": invalid status " + std::to_string(status),
                          Execution::OutcomeUnknown, std::nullopt };
    co_return BOOST_OUTCOME_V2_NAMESPACE::success();
}

asio::awaitable<Result<std::optional<std::string>>>
HttpClientConnection::read(TimePoint deadline, std::optional<SilencePolicy> silence)
{
    if (m_parser.is_done())
        co_return std::optional<std::string>();
    const auto time = readTime(deadline);
    if (!time)
        co_return transportError(m_endpoint, "receive", beast::error::timeout,
                                 Execution::OutcomeUnknown);
    std::array<char, ReadBufferBytes> buf {};
    auto &body = m_parser.get().body();
    body.data = buf.data();
    body.size = buf.size();
    m_stream.expires_after(*time);
    startWatch(std::move(silence));
    auto [ec, n] = co_await http::async_read_some(m_stream, m_buffer, m_parser, Await);
    if (ec == http::error::need_buffer)
        ec = {};
    if (m_overdueBytes)
        *m_overdueBytes -= std::min(*m_overdueBytes, std::max<std::size_t>(n, 1));
    if (auto error = stopWatch("receive", ec))
        co_return std::move(*error);
    const auto size = buf.size() - m_parser.get().body().size;
    m_hasBody = m_hasBody || size > 0;
    if (size == 0 && m_parser.is_done()) {
        if (hasEndedBeforeBody())
            co_return Error { ErrorCode::Truncated,
                              toString(m_endpoint) + ": the connection ended before the body",
                              Execution::OutcomeUnknown, std::nullopt, true };
        co_return std::optional<std::string>();
    }
    co_return std::optional<std::string>(std::string(buf.data(), size));
}

} // namespace detail

HttpStream::HttpStream(std::unique_ptr<detail::HttpClientConnection> connection)
    : m_connection(std::move(connection))
{
}

HttpStream::~HttpStream() = default;
HttpStream::HttpStream(HttpStream &&) noexcept = default;
HttpStream &HttpStream::operator=(HttpStream &&) noexcept = default;

unsigned HttpStream::status() const
{
    return m_connection->head().result_int();
}

std::string HttpStream::header(std::string_view name) const
{
    const auto &head = m_connection->head();
    const auto it = head.find(beast::string_view(name.data(), name.size()));
    return it == head.end() ? std::string() : std::string(it->value());
}

bool HttpStream::isCloseDelimited() const
{
    return m_connection->isCloseDelimited();
}

HttpResponse HttpStream::head() const
{
    HttpResponse response;
    response.status = status();
    response.contentType.clear();
    for (const auto &field : m_connection->head())
        response.headers.push_back(
                { std::string(field.name_string()), std::string(field.value()) });
    return response;
}

asio::awaitable<Result<std::optional<std::string>>>
HttpStream::read(TimePoint deadline, std::optional<SilencePolicy> silence)
{
    return m_connection->read(deadline, std::move(silence));
}

asio::awaitable<Result<HttpStream>> openStream(HttpCall call)
{
    auto executor = co_await asio::this_coro::executor;
    auto connection = std::make_unique<detail::HttpClientConnection>(
            executor, std::move(call.endpoint), call.bodyLimit);
    connection->closeOnCancel(std::move(call.cancel));
    auto sent = co_await connection->send(std::move(call));
    if (!sent)
        co_return sent.error();
    co_return HttpStream(std::move(connection));
}

asio::awaitable<Result<HttpResponse>> exchange(HttpCall call)
{
    const auto deadline = BootClock::now() + call.timeout;
    const auto keptHeaders = std::move(call.keptHeaders);
    MemoryShare share(std::move(call.memory));
    auto stream = co_await openStream(std::move(call));
    if (!stream)
        co_return stream.error();
    HttpResponse response;
    response.status = stream.value().status();
    response.contentType = stream.value().header("Content-Type");
    for (const auto &name : keptHeaders)
        if (auto value = stream.value().header(name); !value.empty())
            response.headers.push_back({ name, std::move(value) });
    for (;;) {
        auto chunk = co_await stream.value().read(deadline);
        if (!chunk)
            co_return chunk.error();
        if (!chunk.value())
            co_return response;
        if (!share.grow(chunk.value()->size()))
            co_return Error { ErrorCode::Unavailable, "no memory is left for the response",
                              Execution::OutcomeUnknown, std::nullopt };
        response.body += *chunk.value();
    }
}

} // namespace bluebell
