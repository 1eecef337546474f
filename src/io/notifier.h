#pragma once

#include "core/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>

/// \file
/// Timed waits for coroutines that run on one thread.

namespace bluebell {

/// Wakes coroutines that wait for a change, like a condition variable. Not thread-safe.
class Notifier
{
public:
    explicit Notifier(boost::asio::any_io_executor executor);

    /// Wakes all coroutines that are currently waiting.
    void notify();

    /// Suspends until notify() is called or `timeout` has elapsed.
    boost::asio::awaitable<void> wait(Duration timeout);

private:
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_nextWaiter = 0;
    std::map<std::uint64_t, boost::asio::steady_timer> m_waiters;
};

/// Suspends the coroutine for `d`.
boost::asio::awaitable<void> sleepFor(Duration d);

} // namespace bluebell
