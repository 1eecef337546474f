#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "membership/daemonstatus.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <vector>

/// \file
/// Exchange of daemon statuses as UDP datagrams.
///
/// UDP has no connections that could hang. A lost datagram is not sent again, because the next
/// status replaces it.

namespace bluebell {

namespace detail {
class StatusSocket;
} // namespace detail

/// Sends this daemon's status to its peers and receives theirs.
class StatusLink
{
public:
    using Handler = std::function<void(const DaemonStatus &)>;

    /// \param handler receives every valid status; malformed datagrams are logged and dropped
    StatusLink(const boost::asio::any_io_executor &executor, Handler handler);
    ~StatusLink();
    StatusLink(const StatusLink &) = delete;
    StatusLink &operator=(const StatusLink &) = delete;

    /// Binds the socket and starts receiving.
    ///
    /// \returns Unavailable when the address cannot be bound
    Result<void> open(const Endpoint &local);
    /// Sends without blocking; datagrams that the socket does not accept are dropped.
    void send(const std::vector<Endpoint> &peers, const DaemonStatus &status);

private:
    std::shared_ptr<detail::StatusSocket> m_socket;
};

} // namespace bluebell
