#pragma once

#include "core/readprogress.h"
#include "core/time.h"
#include "http/disconnectwatch.h"
#include "http/requestparser.h"
#include "http/responsewriter.h"
#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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

    /// \returns the progress of the request that is being read, if there is one
    [[nodiscard]] std::optional<ReadProgress> readProgress() const;
    /// Refuses the request that is being read and releases its memory.
    void giveUp(std::string_view reason);
    /// \returns the body of the request that is handled
    [[nodiscard]] std::shared_ptr<const std::string> sharedBody() const;

    boost::asio::awaitable<bool> send(HttpResponse response);
    boost::asio::awaitable<bool> begin(HttpResponse head);
    boost::asio::awaitable<bool> write(std::string chunk);
    boost::asio::awaitable<bool> end();
    [[nodiscard]] bool hasBegun() const noexcept { return m_writer.hasBegun(); }
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
    /// Reads until the request is complete.
    boost::asio::awaitable<boost::beast::error_code> readMessage();
    /// Responds to a request that could not be read.
    boost::asio::awaitable<void> reject(boost::beast::error_code ec);
    /// Runs the handler. If it fails before it has begun a response, sends an error response.
    boost::asio::awaitable<void> handleRequest();
    /// Closes the connection for writing and discards unread input for a short time. Closing it
    /// with unread bytes would reset it, and the caller could lose a response that it has not read
    /// yet.
    boost::asio::awaitable<void> finish();
    boost::asio::awaitable<void> discardInput();
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

    boost::beast::tcp_stream m_stream;
    std::weak_ptr<HttpListener> m_listener;
    HttpLimits m_limits;
    HttpHandler m_handler;
    boost::asio::steady_timer m_timer;
    ResponseWriter m_writer;
    /// Active while a handler asks for it.
    DisconnectWatch m_disconnectWatch;
    Phase m_phase = Phase::Idle;
    TimePoint m_phaseStartedAt;
    /// Whether the time of the current phase was found to be over once, with input still to read.
    bool m_isOverdue = false;
    /// Whether the current phase was ended because its time is over.
    bool m_hasExpired = false;
    RequestParser m_parser;
    /// The request that is read or handled.
    std::shared_ptr<HeldRequest> m_held;
    TimePoint m_lastBytesAt;
    /// Why the request that is being read was given up; empty if it was not.
    std::string_view m_refusal;
    /// Whether a request was handled.
    bool m_hasServed = false;
    /// Whether a request was rejected before all of it was read.
    bool m_hasRejected = false;
    bool m_isCallerGone = false;
    /// Why the connection ends.
    std::string_view m_endCause = "the last response has ended";
};

} // namespace bluebell::detail
