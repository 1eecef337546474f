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

/// Answers one request, whole or as a stream.
///
/// Every call returns false when the caller has gone or reads too slowly.
class HttpResponder
{
public:
    explicit HttpResponder(detail::HttpSession &session) noexcept : m_session(session) { }

    /// Sends a whole response.
    [[nodiscard]] boost::asio::awaitable<bool> send(HttpResponse response);

    /// Sends the head of a response whose body follows in pieces.
    [[nodiscard]] boost::asio::awaitable<bool> begin(HttpResponse head);
    /// Sends a piece of the body.
    [[nodiscard]] boost::asio::awaitable<bool> write(std::string piece);
    /// Ends the body. A response that is never ended is seen as cut by the caller.
    [[nodiscard]] boost::asio::awaitable<bool> end();

    [[nodiscard]] bool hasBegun() const noexcept;

    /// Cancels `source` when the caller closes its connection before the response has ended.
    void cancelWhenGone(const std::shared_ptr<CancelSource> &source);

private:
    detail::HttpSession &m_session;
};

/// Bounds on what a caller may make the server hold.
struct HttpLimits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 1U << 20U;
    std::size_t connections = 4096;
    /// The longest time for a caller to send a request once it has begun, or to take a piece.
    Duration transferTimeout = std::chrono::seconds(10);
    /// The longest time that an unused connection is kept.
    Duration idleTimeout = std::chrono::seconds(60);
};

using HttpHandler =
        std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;

/// Accepts connections and hands their requests to one handler.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpLimits limits, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to accept. Port 0 lets the system choose one.
    ///
    /// \returns the address in use, or Unavailable
    Result<Endpoint> listen(const Endpoint &endpoint);

    /// Puts other bounds into force for the requests that follow.
    void setLimits(const HttpLimits &limits);

    /// Still accepts, but ends each connection with its next response.
    void announceClosing();

    /// Accepts no more, closes unused connections and announces the end on the others.
    void stopAccepting();

    [[nodiscard]] std::size_t connectionCount() const noexcept;

private:
    std::shared_ptr<detail::HttpListener> m_listener;
};

/// Makes the JSON response that stands for `error`.
///
/// \param requestId stands in the body, so that a caller can name the request to an operator
[[nodiscard]] HttpResponse errorResponse(const Error &error, std::string_view requestId);

} // namespace bluebell
