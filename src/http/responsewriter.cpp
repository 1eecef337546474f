#include "http/responsewriter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace bluebell::detail {
namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

} // namespace

void ResponseWriter::startRequest() noexcept
{
    m_isHead = false;
    m_hasBegun = false;
    m_hasEnded = false;
}

void ResponseWriter::setRequest(unsigned version, bool keepAlive, bool isHead) noexcept
{
    m_version = version;
    m_keepAlive = keepAlive;
    m_isHead = isHead;
}

template<typename Message>
void ResponseWriter::fillHead(Message &message, const HttpResponse &response) const
{
    message.version(m_version);
    message.result(response.status);
    if (!response.contentType.empty())
        message.set(http::field::content_type, response.contentType);
    for (const auto &it : response.headers)
        message.insert(it.name, it.value);
    message.keep_alive(m_keepAlive);
}

asio::awaitable<beast::error_code> ResponseWriter::send(HttpResponse response, Duration timeout)
{
    http::response<http::string_body> message;
    fillHead(message, response);
    message.body() = std::move(response.body);
    // In a response to HEAD, a length that is given tells of the body that GET would bring.
    if (!m_isHead || response.header("Content-Length").empty())
        message.prepare_payload();
    m_hasBegun = true;
    m_stream.expires_after(timeout);
    http::response_serializer<http::string_body> serializer(message);
    if (m_isHead) {
        const auto [ec, n] = co_await http::async_write_header(m_stream, serializer, Await);
        m_hasEnded = !ec;
        co_return ec;
    }
    const auto [ec, n] = co_await http::async_write(m_stream, serializer, Await);
    m_hasEnded = !ec;
    co_return ec;
}

asio::awaitable<beast::error_code> ResponseWriter::begin(HttpResponse head, Duration timeout)
{
    http::response<http::empty_body> message;
    fillHead(message, head);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    m_hasBegun = true;
    m_stream.expires_after(timeout);
    const auto [ec, n] = co_await http::async_write_header(m_stream, serializer, Await);
    co_return ec;
}

asio::awaitable<beast::error_code> ResponseWriter::write(std::string chunk, Duration timeout)
{
    if (m_isHead)
        co_return beast::error_code();
    m_stream.expires_after(timeout);
    const auto [ec, n] =
            co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(chunk)), Await);
    co_return ec;
}

asio::awaitable<beast::error_code> ResponseWriter::end(Duration timeout)
{
    if (m_isHead) {
        m_hasEnded = true;
        co_return beast::error_code();
    }
    m_stream.expires_after(timeout);
    const auto [ec, n] = co_await asio::async_write(m_stream, http::make_chunk_last(), Await);
    m_hasEnded = !ec;
    co_return ec;
}

} // namespace bluebell::detail
