#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "membership/daemonstatus.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <vector>

/// \file
/// Sends and receives the daemons' statuses as UDP datagrams.
///
/// Datagrams need no connection, so there is none that could go silent; a lost status is made up
/// for by the next.

namespace bluebell {

namespace detail {
class StatusSocket;
} // namespace detail

class StatusLink
{
public:
    using Handler = std::function<void(const DaemonStatus &)>;

    StatusLink(const boost::asio::any_io_executor &executor, Handler handler);
    ~StatusLink();
    StatusLink(const StatusLink &) = delete;
    StatusLink &operator=(const StatusLink &) = delete;

    /// Binds the socket and starts to receive.
    Result<void> open(const Endpoint &local);
    /// Sends without waiting; what the socket does not take is dropped.
    void send(const std::vector<Endpoint> &peers, const DaemonStatus &status);

private:
    std::shared_ptr<detail::StatusSocket> m_socket;
};

} // namespace bluebell
