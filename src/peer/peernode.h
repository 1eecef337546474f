#pragma once

#include "peer/messages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

/// \file
/// Cap'n Proto RPC between the system's own processes.

namespace bluebell {

namespace detail {
class PeerLoop;
} // namespace detail

/// Handles a request of another daemon.
using PeerHandler = std::function<boost::asio::awaitable<PeerAnswer>(PeerQuestion)>;

/// RPC client and server of a daemon.
///
/// The event loop of the RPC library runs on its own thread. The handler and the continuations of
/// ask() run on the executor that is passed to the constructor.
class PeerNode
{
public:
    /// \param handler handles requests of other daemons; may be empty in a process that only sends
    ///                requests
    PeerNode(boost::asio::any_io_executor executor, PeerHandler handler);
    ~PeerNode();
    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    /// Starts accepting requests. With port 0 the operating system chooses a free port.
    ///
    /// \returns the bound address, or the error of the transport
    Result<Endpoint> listen(const Endpoint &endpoint);

    /// Sends a request to the daemon at `endpoint` and waits for the response.
    ///
    /// One connection per daemon is kept open. It is dropped when a request fails or times out, so
    /// that the next request uses a new connection.
    ///
    /// \returns the response, or an Error of Unavailable or DeadlineExceeded
    [[nodiscard]] boost::asio::awaitable<PeerAnswer> ask(Endpoint endpoint, PeerQuestion question,
                                                         Duration timeout);

private:
    std::shared_ptr<detail::PeerLoop> m_loop;
};

/// \returns the response as `Expected`, or the error from the peer or the transport, or
///          InvalidArgument when the response has another type
template<typename Expected>
[[nodiscard]] Result<Expected> expectAnswer(PeerAnswer answer)
{
    if (auto *it = std::get_if<Expected>(&answer))
        return std::move(*it);
    if (auto *error = std::get_if<Error>(&answer))
        return std::move(*error);
    return makeError(ErrorCode::InvalidArgument, "the peer answered another question");
}

} // namespace bluebell
