#pragma once

#include "core/readprogress.h"
#include "http/server.h"
#include "io/notifier.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>
#include <string_view>
#include <vector>

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
    void setRefusalObserver(RefusalObserver observer) { m_refusalObserver = std::move(observer); }
    /// Counts and logs a request that is refused before it was read to its end.
    void noteRefusal(std::string_view reason);
    /// Gives up another request to free memory for the one that `session` reads.
    ///
    /// \returns whether there was one
    bool giveUpForMemory(const HttpSession &session);
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
    /// Closes the connection that has been idle for longest, or else the one whose request has
    /// been without progress for longest, if there is one.
    void closeForAnother();
    /// Closes the connection that has been idle for longest.
    ///
    /// \returns whether there was one
    bool closeLongestIdle();
    /// \returns the connections that read a request, except `excluded`
    [[nodiscard]] std::vector<std::shared_ptr<HttpSession>>
    readingSessions(const HttpSession *excluded) const;
    [[nodiscard]] static std::vector<ReadProgress>
    progressOf(const std::vector<std::shared_ptr<HttpSession>> &sessions);

    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpLimits m_limits;
    HttpHandler m_handler;
    Notifier m_sessionEnded;
    std::set<std::shared_ptr<HttpSession>> m_sessions;
    RefusalObserver m_refusalObserver;
    /// Refusals since the latest log line on them.
    std::size_t m_unloggedRefusals = 0;
    TimePoint m_refusalsLoggedAt {};
    bool m_isStopping = false;
    bool m_isKeepAliveDisabled = false;
};

} // namespace bluebell::detail
