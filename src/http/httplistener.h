#pragma once

#include "http/server.h"
#include "io/notifier.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

/// \file
/// The listening socket of an HTTP server.

namespace bluebell::detail {

class HttpSession;

/// The listening socket and its open connections.
class HttpListener : public std::enable_shared_from_this<HttpListener>
{
public:
    HttpListener(boost::asio::io_context &context, HttpLimits limits, HttpHandler handler);

    /// \returns the bound address, or Unavailable
    Result<Endpoint> listen(const Endpoint &endpoint);
    /// Accepts what waits to be accepted, then closes the listening socket. Connections end when
    /// they have no request.
    void stop();
    /// Closes the listening socket and all connections.
    void close();
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
    static boost::asio::awaitable<void> acceptLoop(std::shared_ptr<HttpListener> self);
    static boost::asio::awaitable<void> serve(std::shared_ptr<HttpListener> self,
                                              std::shared_ptr<HttpSession> session);
    /// Waits until another connection may be served. Meanwhile further callers wait in the queue of
    /// the operating system.
    boost::asio::awaitable<void> awaitCapacity();
    void startSession(boost::asio::ip::tcp::socket socket);
    /// Starts sessions for the connections in the queue of the operating system.
    void acceptPending();
    /// Closes the connection that has been idle for longest, if there is one.
    void closeLongestIdle();

    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpLimits m_limits;
    HttpHandler m_handler;
    Notifier m_sessionEnded;
    std::set<std::shared_ptr<HttpSession>> m_sessions;
    bool m_isStopping = false;
    bool m_isKeepAliveDisabled = false;
};

} // namespace bluebell::detail
