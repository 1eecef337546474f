#include "http/requestparser.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace bluebell::detail {
namespace {

/// Framing that is always read, such as the size of a chunk after headers of the maximum size.
constexpr std::size_t MinFramingBytes = 64;
/// Header fields are held by the parser and by the request.
constexpr std::size_t HeldHeadFactor = 2;

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

} // namespace

void RequestParser::start(const HttpLimits &limits, std::shared_ptr<HeldRequest> held)
{
    m_held = std::move(held);
    m_headerLimit = limits.headerBytes;
    m_bodyLimit = limits.bodyBytes;
    m_headBytes = 0;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(
            std::min<std::size_t>(m_headerLimit, std::numeric_limits<std::uint32_t>::max())));
    m_parser->body_limit(m_bodyLimit);
}

void RequestParser::cancel()
{
    m_parser.reset();
    m_held.reset();
}

beast::error_code RequestParser::parse(const FreeMemory &freeMemory)
{
    beast::error_code ec;
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        if (!holdArrived(freeMemory))
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

beast::error_code RequestParser::endOfInput() const
{
    return m_parser->got_some() ? http::error::partial_message : http::error::end_of_stream;
}

RequestParser::Connection RequestParser::finish()
{
    const Connection connection { m_parser->get().version(), m_parser->get().keep_alive() };
    m_held->request = toRequest(m_parser->release());
    cancel();
    if (m_buffer.size() == 0)
        m_buffer.shrink_to_fit();
    return connection;
}

void RequestParser::clearBuffer()
{
    m_buffer.clear();
    m_buffer.shrink_to_fit();
}

bool RequestParser::isFramingTooLong() const
{
    const auto left = m_headerLimit - std::min(m_headerLimit, m_headBytes);
    return m_buffer.size() > left + MinFramingBytes;
}

std::size_t RequestParser::maxBodySize() const
{
    if (const auto length = m_parser->content_length())
        return static_cast<std::size_t>(*length);
    return m_bodyLimit;
}

bool RequestParser::holdArrived(const FreeMemory &freeMemory)
{
    auto &body = m_parser->get().body();
    const auto arrived = m_parser->is_header_done() ? body.size() + m_buffer.size() : 0;
    auto capacity = body.capacity();
    if (arrived > capacity)
        capacity = std::max(arrived, std::min(2 * capacity, maxBodySize()));
    const auto bytes = capacity + m_buffer.capacity() + HeldHeadFactor * m_headBytes;
    while (!m_held->memory.resize(bytes))
        if (!freeMemory())
            return false;
    reserveExactly(body, capacity);
    return true;
}

} // namespace bluebell::detail
