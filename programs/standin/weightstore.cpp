#include "standin/weightstore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace bluebell::standin {

asio::awaitable<void> WeightStore::loadModel()
{
    return load(m_settings.modelLoad, m_settings.concurrentLoads, m_activeModelLoads);
}

asio::awaitable<void> WeightStore::loadAdapter()
{
    return load(m_settings.adapterLoad, m_settings.concurrentAdapters, m_activeAdapterLoads);
}

asio::awaitable<void> WeightStore::load(Duration base, std::uint32_t limit, std::uint32_t &active)
{
    // The contention is evaluated again in each step, because other loads start and end meanwhile.
    constexpr int Steps = 10;
    asio::steady_timer timer(m_context);
    ++active;
    for (int n = 0; n < Steps; ++n) {
        const auto contention = std::max(1.0, static_cast<double>(active) / limit);
        const auto step = std::chrono::duration<double, std::nano>(
                static_cast<double>(base.count()) * m_settings.slowdown * contention / Steps);
        timer.expires_after(std::chrono::duration_cast<Duration>(step));
        co_await timer.async_wait(asio::use_awaitable);
    }
    --active;
}

} // namespace bluebell::standin
