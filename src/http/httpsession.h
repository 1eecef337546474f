#pragma once

#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
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
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(boost::asio::ip::tcp::socket socket, HttpListener &listener);

    boost::asio::awaitable<void> run();
    void close();

    boost::asio::awaitable<bool> send(HttpResponse response);
    boost::asio::awaitable<bool> begin(HttpResponse head);
    boost::asio::awaitable<bool> write(std::string chunk);
    boost::asio::awaitable<bool> end();
    [[nodiscard]] bool hasBegun() const noexcept { return m_hasBegun; }
    [[nodiscard]] bool isIdle() const noexcept { return m_isIdle; }
    void cancelOnDisconnect(const std::shared_ptr<CancelSource> &source);

private:
    void stopDisconnectWatch();
    /// Logs that the connection is being closed although the caller has sent bytes that were not
    /// read, or waits for the rest of a response.
    void logUnfinished(std::string_view cause);
    /// Disables keep-alive if the listener is closing; called before the headers are written, which
    /// announce the decision.
    void updateKeepAlive();
    boost::asio::awaitable<bool> readRequest();
    boost::asio::awaitable<void> reject(boost::beast::error_code ec);
    template<typename Message>
    void fillHead(Message &message, const HttpResponse &response) const;

    boost::beast::tcp_stream m_stream;
    std::weak_ptr<HttpListener> m_listener;
    HttpLimits m_limits;
    HttpHandler m_handler;
    /// Triggered when the caller disconnects; null while no handler watches for it.
    std::shared_ptr<CancelSource> m_disconnectSource;
    boost::beast::flat_buffer m_buffer;
    std::optional<HttpRequest> m_request;
    unsigned m_version = 11;
    bool m_keepAlive = true;
    bool m_hasBegun = false;
    bool m_hasEnded = false;
    bool m_isIdle = true;
    /// Why the connection ends.
    std::string_view m_endCause = "the last response has ended";
};

} // namespace bluebell::detail
