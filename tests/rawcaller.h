#pragma once

#include "core/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <string>
#include <string_view>

/// \file
/// A caller that writes and reads the bytes of a connection itself.

namespace bluebell::testing {

/// A connection whose calls do not need an event loop: they write at once, and read what is there.
class RawCaller
{
public:
    explicit RawCaller(const Endpoint &server) : m_socket(m_context)
    {
        m_socket.connect({ boost::asio::ip::make_address(server.host), server.port });
        m_socket.non_blocking(true);
    }

    /// \returns whether all bytes were written
    bool send(std::string_view bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(bytes.data(), bytes.size()), ec);
        return !ec;
    }

    /// Sends a GET request for `path` that keeps the connection.
    bool request(const std::string &path)
    {
        return send("GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    }

    /// Writes as many of `bytes` as the connection takes at once, and removes them.
    ///
    /// \returns false if the connection was closed
    bool sendPart(std::string_view &bytes)
    {
        boost::system::error_code ec;
        bytes.remove_prefix(
                m_socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ec));
        return !ec || ec == boost::asio::error::would_block;
    }

    /// Closes the caller's side for writing.
    void shutdownSend() { m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

    /// Reads what has arrived.
    ///
    /// \returns all bytes that were received so far
    const std::string &received()
    {
        char buf[4096];
        for (;;) {
            boost::system::error_code ec;
            const auto n = m_socket.read_some(boost::asio::buffer(buf), ec);
            if (ec == boost::asio::error::would_block)
                break;
            if (ec) {
                m_isClosed = true;
                break;
            }
            m_received.append(buf, n);
        }
        return m_received;
    }

    /// \returns whether the server has closed or reset the connection
    bool isClosed()
    {
        received();
        return m_isClosed;
    }

    /// \returns whether the server has reset the connection, also after having closed it
    bool wasReset()
    {
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        return error != 0;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    bool m_isClosed = false;
};

} // namespace bluebell::testing
