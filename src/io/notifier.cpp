#include "io/notifier.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace asio = boost::asio;

namespace bluebell {

Notifier::Notifier(asio::any_io_executor executor) : m_executor(std::move(executor)) { }

void Notifier::notify()
{
    for (auto &[id, timer] : m_waiters)
        timer.cancel();
}

asio::awaitable<void> Notifier::wait(Duration timeout)
{
    const auto id = m_nextWaiter++;
    auto &timer = m_waiters.try_emplace(id, m_executor).first->second;
    timer.expires_after(timeout);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_waiters.erase(id);
}

asio::awaitable<void> sleepFor(Duration d)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(d);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace bluebell
