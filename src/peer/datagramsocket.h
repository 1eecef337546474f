#pragma once

#include "core/endpoint.h"
#include "core/result.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string_view>

/// \file
/// A UDP socket that receives in the background.

namespace bluebell {

namespace detail {
class DatagramReceiver;
} // namespace detail

/// Sends and receives datagrams.
///
/// UDP has no connections that could hang. Lost datagrams are not sent again.
class DatagramSocket
{
public:
    /// Called with the content and the sender's IP address of each datagram.
    using Handler = std::function<void(std::string_view bytes, const std::string &from)>;

    DatagramSocket(const boost::asio::any_io_executor &executor, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Binds the socket and starts receiving.
    ///
    /// \returns Unavailable when the address cannot be bound
    Result<void> open(const Endpoint &local);
    /// Sends without blocking; a datagram that the socket does not accept is dropped.
    void send(const Endpoint &peer, std::string_view bytes);

private:
    std::shared_ptr<detail::DatagramReceiver> m_receiver;
};

} // namespace bluebell
