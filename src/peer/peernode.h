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

using PeerHandler = std::function<boost::asio::awaitable<PeerAnswer>(PeerQuestion)>;

/// Asks other daemons and answers them.
///
/// The RPC library's event loop runs on a thread of its own; questions and answers cross to the
/// executor given at construction, on which the handler runs.
class PeerNode
{
public:
    /// \param handler answers other daemons; it may be empty in a process that only asks
    PeerNode(boost::asio::any_io_executor executor, PeerHandler handler);
    ~PeerNode();
    PeerNode(const PeerNode &) = delete;
    PeerNode &operator=(const PeerNode &) = delete;

    /// Starts to answer. Port 0 lets the system choose one.
    Result<Endpoint> listen(const Endpoint &endpoint);

    /// Asks the daemon at `endpoint`.
    ///
    /// A connection is kept for each daemon. When an answer does not come in time the connection is
    /// dropped, so that the next question uses a new one.
    ///
    /// \returns the answer; an Error of Unavailable or DeadlineExceeded when there is none
    [[nodiscard]] boost::asio::awaitable<PeerAnswer> ask(Endpoint endpoint, PeerQuestion question,
                                                         Duration timeout);

private:
    std::shared_ptr<detail::PeerLoop> m_loop;
};

/// \returns the answer as `Expected`, or the error that the peer or the transport gave
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
