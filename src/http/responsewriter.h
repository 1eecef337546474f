#pragma once

#include "core/time.h"
#include "http/message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <string>

/// \file
/// Writes the responses of a server connection.

namespace bluebell::detail {

/// Writes the response to one request after another.
///
/// A response to HEAD ends with its head.
class ResponseWriter
{
public:
    explicit ResponseWriter(boost::beast::tcp_stream &stream) noexcept : m_stream(stream) { }

    /// Prepares for the response to another request, of which nothing is known yet.
    void startRequest() noexcept;
    /// Sets what the request says about its response.
    void setRequest(unsigned version, bool keepAlive, bool isHead) noexcept;
    /// Announces the end of the connection in the head of the response.
    void disableKeepAlive() noexcept { m_keepAlive = false; }

    /// \returns whether the connection stays open after the response
    [[nodiscard]] bool keepsAlive() const noexcept { return m_keepAlive; }
    /// \returns whether any part of the response may have been sent
    [[nodiscard]] bool hasBegun() const noexcept { return m_hasBegun; }
    /// \returns whether all of the response was sent
    [[nodiscard]] bool hasEnded() const noexcept { return m_hasEnded; }

    // Writes, each with its maximum duration.

    boost::asio::awaitable<boost::beast::error_code> send(HttpResponse response, Duration timeout);
    boost::asio::awaitable<boost::beast::error_code> begin(HttpResponse head, Duration timeout);
    boost::asio::awaitable<boost::beast::error_code> write(std::string chunk, Duration timeout);
    boost::asio::awaitable<boost::beast::error_code> end(Duration timeout);

private:
    template<typename Message>
    void fillHead(Message &message, const HttpResponse &response) const;

    boost::beast::tcp_stream &m_stream;
    unsigned m_version = 11;
    bool m_keepAlive = true;
    bool m_isHead = false;
    bool m_hasBegun = false;
    bool m_hasEnded = false;
};

} // namespace bluebell::detail
