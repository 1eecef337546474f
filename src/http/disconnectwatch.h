#pragma once

#include "http/message.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

/// \file
/// Notices that a caller disconnects while its request is handled.

namespace bluebell::detail {

/// Watches a connection that is not read meanwhile.
class DisconnectWatch
{
public:
    /// \param socket must not block
    /// \param onClosed called when the caller has closed the connection, before the source is
    ///                 triggered
    DisconnectWatch(boost::asio::ip::tcp::socket &socket, std::function<void()> onClosed)
        : m_socket(socket), m_onClosed(std::move(onClosed))
    {
    }

    /// Triggers `source` when the caller closes the connection.
    ///
    /// \param owner keeps the watch and the socket alive while it waits
    void start(std::shared_ptr<CancelSource> source, const std::shared_ptr<void> &owner);
    /// Stops waiting, and other operations of the socket; without effect unless started.
    void stop();

private:
    void wait(const std::shared_ptr<void> &owner);
    /// \returns whether the caller has closed the connection, as far as is known
    [[nodiscard]] bool hasCallerClosed(const std::shared_ptr<void> &owner);

    boost::asio::ip::tcp::socket &m_socket;
    std::function<void()> m_onClosed;
    /// Triggered when the caller disconnects; null while not started.
    std::shared_ptr<CancelSource> m_source;
};

} // namespace bluebell::detail
