#pragma once

#include "core/time.h"
#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// One connection of an HTTP server.

namespace bluebell::detail {

class HttpListener;

/// A server connection; reads and handles its requests one after another.
///
/// A connection ends by itself only when no byte of a further request has arrived, or after a
/// response that announced it.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(boost::asio::ip::tcp::socket socket, HttpListener &listener);

    /// Reads and handles requests until the connection ends.
    boost::asio::awaitable<void> run();

    /// Closes the connection immediately.
    void close();

    /// Applies the stop of the listener to the request that is awaited or read.
    void updateDeadline();

    /// Ends the connection if it is idle and no byte has arrived.
    ///
    /// \returns whether the connection ends
    bool closeIfIdle();

    /// \returns since when the connection waits for a request; nothing if it has one, or if the
    /// caller has just connected
    [[nodiscard]] std::optional<TimePoint> idleSince() const;

    boost::asio::awaitable<bool> send(HttpResponse response);
    boost::asio::awaitable<bool> begin(HttpResponse head);
    boost::asio::awaitable<bool> write(std::string chunk);
    boost::asio::awaitable<bool> end();
    [[nodiscard]] bool hasBegun() const noexcept { return m_hasBegun; }
    void cancelOnDisconnect(const std::shared_ptr<CancelSource> &source);

private:
    enum class Phase : std::uint8_t {
        /// No byte of a request has arrived.
        Idle,
        /// A part of a request has arrived.
        Reading,
        /// The handler runs.
        Handling,
        /// No further request is read.
        Ending,
    };

    void startPhase(Phase phase);
    /// \returns whether the connection waits for a request or reads one
    [[nodiscard]] bool isReceiving() const noexcept;
    /// \returns when the current phase ends if nothing arrives
    [[nodiscard]] TimePoint phaseEnd() const;
    void startTimer(Duration d);
    /// Ends the current phase if its time is over.
    void expirePhase();
    /// \returns bytes that have arrived and have not been read
    [[nodiscard]] std::size_t unreadBytes();
    /// \returns false if the connection ends before the first byte of a request
    boost::asio::awaitable<bool> awaitRequest();
    boost::asio::awaitable<bool> readRequest();
    /// Responds to a request that could not be read.
    boost::asio::awaitable<void> reject(boost::beast::error_code ec);
    /// Runs the handler. If it fails before it has begun a response, sends an error response.
    boost::asio::awaitable<void> handleRequest();
    /// Closes the connection for writing and discards unread input for a short time. Closing it
    /// with unread bytes would reset it, and the caller could lose a response that it has not read
    /// yet.
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<void> discardInput();
    void watchForDisconnect(const std::shared_ptr<CancelSource> &source);
    void stopDisconnectWatch();
    /// \returns whether the caller has closed the connection, as far as is known
    [[nodiscard]] bool hasCallerClosed();
    /// Notes the result of a write.
    ///
    /// \returns whether it succeeded
    bool noteWritten(boost::beast::error_code ec);
    /// Disables keep-alive if the listener is closing; called before the headers are written, which
    /// announce the decision.
    void updateKeepAlive();
    /// Logs that the connection ends although the caller has sent bytes that were not read, or
    /// waits for a response.
    void logUnfinished();
    /// \returns whether the request is HEAD, so that its response ends with its head
    [[nodiscard]] bool isHeadRequest() const;
    template<typename Message>
    void fillHead(Message &message, const HttpResponse &response) const;

    boost::beast::tcp_stream m_stream;
    std::weak_ptr<HttpListener> m_listener;
    HttpLimits m_limits;
    HttpHandler m_handler;
    boost::asio::steady_timer m_timer;
    Phase m_phase = Phase::Idle;
    TimePoint m_phaseStartedAt;
    /// Whether the time of the current phase was found to be over once, with input still to read.
    bool m_isOverdue = false;
    /// Whether the current phase was ended because its time is over.
    bool m_hasExpired = false;
    /// Triggered when the caller disconnects; null while no handler watches for it.
    std::shared_ptr<CancelSource> m_disconnectSource;
    boost::beast::flat_buffer m_buffer;
    std::optional<HttpRequest> m_request;
    unsigned m_version = 11;
    bool m_keepAlive = true;
    bool m_hasBegun = false;
    bool m_hasEnded = false;
    /// Whether a request was handled.
    bool m_hasServed = false;
    /// Whether a request was rejected before all of it was read.
    bool m_hasRejected = false;
    bool m_isCallerGone = false;
    /// Why the connection ends.
    std::string_view m_endCause = "the last response has ended";
};

} // namespace bluebell::detail
