#pragma once

#include "core/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>

/// \file
/// Waiting inside coroutines of one thread.

namespace bluebell {

/// Wakes coroutines that wait for a change.
class Notifier
{
public:
    explicit Notifier(boost::asio::any_io_executor executor);

    /// Wakes everyone who waits now.
    void notify();

    /// Waits until notify() is called or `timeout` has passed.
    boost::asio::awaitable<void> wait(Duration timeout);

private:
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_nextWaiter = 0;
    std::map<std::uint64_t, boost::asio::steady_timer> m_waiters;
};

/// Waits for `d`.
boost::asio::awaitable<void> sleepFor(Duration d);

} // namespace bluebell
