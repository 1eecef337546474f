#pragma once

#include "http/message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

/// \file
/// HTTP/1.1 server.

namespace bluebell {

namespace detail {
class HttpSession;
class HttpListener;
} // namespace detail

/// Sends the response to one request, either whole or as a chunked stream.
///
/// Every call returns false when the write fails: the caller has disconnected or did not read the
/// data within HttpLimits::transferTimeout.
class HttpResponder
{
public:
    explicit HttpResponder(detail::HttpSession &session) noexcept : m_session(session) { }

    /// Sends a whole response.
    [[nodiscard]] boost::asio::awaitable<bool> send(HttpResponse response);

    /// Sends the status and headers of a response whose body follows in chunks.
    [[nodiscard]] boost::asio::awaitable<bool> begin(HttpResponse head);
    /// Sends a chunk of the body.
    [[nodiscard]] boost::asio::awaitable<bool> write(std::string chunk);
    /// Sends the last chunk. Without it, the caller sees the response as truncated.
    [[nodiscard]] boost::asio::awaitable<bool> end();

    /// \returns whether any part of the response may have been sent
    [[nodiscard]] bool hasBegun() const noexcept;

    /// \returns the body of the request, which stays valid after the request
    [[nodiscard]] std::shared_ptr<const std::string> sharedBody() const;

    /// Triggers `source` when the caller disconnects before the response is complete.
    void cancelOnDisconnect(const std::shared_ptr<CancelSource> &source);

private:
    detail::HttpSession &m_session;
};

/// Resource limits per server and connection.
struct HttpLimits
{
    /// Maximum size of the request line and headers.
    std::size_t headerBytes = 16U << 10U;
    /// Maximum size of a request body.
    std::size_t bodyBytes = 1U << 20U;
    /// Maximum number of open connections. For a further one the connection that has been idle for
    /// longest is closed, or else one whose request makes no progress; without one it waits to be
    /// accepted.
    std::size_t connections = 4096;
    /// Maximum time to receive a request after its first bytes, and to write a response or a chunk.
    Duration transferTimeout = std::chrono::seconds(10);
    /// Time after which an idle connection is closed.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Bounds the bytes of all requests that are held; null for no bound.
    std::shared_ptr<MemoryBudget> memory = nullptr;
};

/// Called with the reason when a request that was not read to its end is refused.
using RefusalObserver = std::function<void(std::string_view reason)>;

/// Handles one request; called once per request on each connection.
using HttpHandler =
        std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;

/// Accepts connections and passes their requests to a single handler.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpLimits limits, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts accepting connections. With port 0 the operating system chooses a free port.
    ///
    /// \returns the bound address, or Unavailable
    Result<Endpoint> listen(const Endpoint &endpoint);

    /// Applies new limits. A connection that waits for a request, or reads one, keeps the longer
    /// one of the time that it had and the new one.
    void setLimits(const HttpLimits &limits);

    void setRefusalObserver(RefusalObserver observer);

    /// Keeps accepting, but closes each connection after its next response.
    void disableKeepAlive();

    /// Stops accepting, closes idle connections and closes the others after their next response. A
    /// connection on which bytes have arrived is not idle, and callers that have just connected
    /// have a moment for their first request.
    void stopAccepting();

    [[nodiscard]] std::size_t connectionCount() const noexcept;

private:
    std::shared_ptr<detail::HttpListener> m_listener;
};

/// Builds the JSON response for `error`.
///
/// \param requestId included in the body, so that a caller can report it to an operator
[[nodiscard]] HttpResponse errorResponse(const Error &error, std::string_view requestId);

} // namespace bluebell
