#pragma once

#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>

/// \file
/// Stand-in for the weight store that all engines share.

namespace bluebell::standin {

struct WeightStoreSettings
{
    /// Load times without contention.
    Duration modelLoad = std::chrono::milliseconds(400);
    Duration adapterLoad = std::chrono::milliseconds(7);
    /// Number of concurrent loads that run at full speed; more slow all of them down in proportion.
    std::uint32_t concurrentLoads = 4;
    std::uint32_t concurrentAdapters = 30;
    /// Factor on every load time, to simulate a slow store.
    double slowdown = 1;
};

class WeightStore
{
public:
    WeightStore(boost::asio::io_context &context, WeightStoreSettings settings)
        : m_context(context), m_settings(settings)
    {
    }

    /// Waits as long as a load takes under the current contention.
    boost::asio::awaitable<void> loadModel();
    boost::asio::awaitable<void> loadAdapter();

    void setSlowdown(double factor) { m_settings.slowdown = factor; }
    [[nodiscard]] const WeightStoreSettings &settings() const noexcept { return m_settings; }

private:
    boost::asio::awaitable<void> load(Duration base, std::uint32_t limit, std::uint32_t &active);

    boost::asio::io_context &m_context;
    WeightStoreSettings m_settings;
    std::uint32_t m_activeModelLoads = 0;
    std::uint32_t m_activeAdapterLoads = 0;
};

} // namespace bluebell::standin
