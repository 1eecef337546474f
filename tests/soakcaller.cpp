#include "soakcaller.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <thread>

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace bluebell::testing {
namespace {

std::string chunked(std::string_view body)
{
    constexpr std::size_t ChunkBytes = 3000;
    std::string text;
    for (std::size_t n = 0; n < body.size(); n += ChunkBytes) {
        const auto chunk = body.substr(n, ChunkBytes);
        std::array<char, 16> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
        text += size.data() + std::string(chunk) + "\r\n";
    }
    return text + "0\r\n\r\n";
}

std::string serialise(const HttpRequest &request, const WireOptions &options)
{
    auto text = request.method + ' ' + request.path + " HTTP/1.1\r\n";
    for (const auto &it : request.headers)
        text += it.name + ": " + it.value + "\r\n";
    if (options.closesAfterwards)
        text += "Connection: close\r\n";
    if (options.isChunked)
        return text + "Transfer-Encoding: chunked\r\n\r\n" + chunked(request.body);
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n"
            + request.body;
}

} // namespace

bool SoakConnection::open(std::uint16_t port)
{
    close();
    m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const timeval limit { 2, 0 };
    ::setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
        close();
    return isOpen();
}

void SoakConnection::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
    m_requests = 0;
    m_hasUnexpectedBytes = false;
}

bool SoakConnection::isUsable()
{
    if (!isOpen())
        return false;
    char byte = 0;
    const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    m_hasUnexpectedBytes = n > 0;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return true;
    if (n <= 0)
        close();
    return false;
}

bool SoakConnection::write(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

Exchange SoakConnection::exchange(const HttpRequest &request, const WireOptions &options,
                                  TimePoint end)
{
    Exchange it;
    it.isReused = m_requests++ > 0;
    sockaddr_in local {};
    socklen_t size = sizeof(local);
    ::getsockname(m_fd, reinterpret_cast<sockaddr *>(&local), &size);
    it.localPort = ntohs(local.sin_port);
    const auto text = serialise(request, options);
    const std::string_view bytes(text);
    it.beganAt = BootClock::now();
    const auto half = options.pause > Duration::zero() ? text.size() / 2 : 0;
    bool isWritten = write(bytes.substr(0, half));
    if (isWritten && half > 0) {
        std::this_thread::sleep_for(options.pause);
        isWritten = isUsable() || m_hasUnexpectedBytes;
    }
    it.isWhole = isWritten && write(bytes.substr(half));
    it.sentAt = BootClock::now();
    if (isOpen())
        read(it, end);
    it.endedAt = BootClock::now();
    return it;
}

void SoakConnection::read(Exchange &result, TimePoint end)
{
    beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    beast::error_code ec;
    while (!parser.is_done() && !ec) {
        const auto left = toMilliseconds(end - BootClock::now()).count();
        pollfd item { m_fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) == 0) {
            result.cause = "the caller gave up";
            break;
        }
        constexpr std::size_t ReadBytes = 16384;
        const auto space = buf.prepare(ReadBytes);
        const auto n = ::recv(m_fd, space.data(), space.size(), 0);
        if (n < 0) {
            result.cause = std::strerror(errno); // NOLINT(concurrency-mt-unsafe)
            break;
        }
        if (n == 0) {
            // A response without a length ends with its connection.
            parser.put_eof(ec);
            result.cause = ec || !result.hasResponseBytes ? "end of the connection" : "";
            break;
        }
        result.hasResponseBytes = true;
        buf.commit(static_cast<std::size_t>(n));
        while (buf.size() > 0 && !parser.is_done() && !ec) {
            const auto used = parser.put(buf.data(), ec);
            buf.consume(used);
            if (used == 0)
                break;
        }
        if (ec == http::error::need_more)
            ec = {};
        if (ec)
            result.cause = "malformed: " + ec.message();
    }
    if (parser.is_done() && buf.size() > 0)
        result.cause = "bytes after the response";
    result.isComplete = parser.is_done() && result.cause.empty();
    const auto &message = parser.get();
    result.response.status = result.hasResponseBytes ? message.result_int() : 0;
    for (const auto &it : message)
        result.response.headers.push_back(
                { std::string(it.name_string()), std::string(it.value()) });
    result.response.body = message.body();
    if (!result.isComplete || !message.keep_alive())
        close();
}

} // namespace bluebell::testing
