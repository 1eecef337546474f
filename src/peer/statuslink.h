#pragma once

#include "membership/daemonstatus.h"
#include "peer/datagramsocket.h"

#include <functional>
#include <vector>

/// \file
/// Exchange of daemon statuses as UDP datagrams.

namespace bluebell {

/// Sends this daemon's status to its peers and receives theirs. A lost status is not sent again,
/// because the next one replaces it.
class StatusLink
{
public:
    using Handler = std::function<void(const DaemonStatus &)>;

    /// \param handler receives every valid status; malformed datagrams are logged and dropped
    StatusLink(const boost::asio::any_io_executor &executor, Handler handler);

    /// Binds the socket and starts receiving.
    ///
    /// \returns Unavailable when the address cannot be bound
    Result<void> open(const Endpoint &local) { return m_socket.open(local); }
    /// Sends without blocking; datagrams that the socket does not accept are dropped.
    void send(const std::vector<Endpoint> &peers, const DaemonStatus &status);

private:
    DatagramSocket m_socket;
};

} // namespace bluebell
