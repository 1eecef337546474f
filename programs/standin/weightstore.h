#pragma once

#include "core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>

/// \file
/// Stand-in of the weight store that all engines share.

namespace bluebell::standin {

struct WeightStoreSettings
{
    Duration modelLoad = std::chrono::milliseconds(400);
    Duration adapterLoad = std::chrono::milliseconds(7);
    /// Loads at full speed; beyond it all slow down in proportion.
    std::uint32_t concurrentLoads = 4;
    std::uint32_t concurrentAdapters = 30;
    /// Multiplies every load time, for a slow store.
    double slowdown = 1;
};

class WeightStore
{
public:
    WeightStore(boost::asio::io_context &context, WeightStoreSettings settings)
        : m_context(context), m_settings(settings)
    {
    }

    /// Waits as long as a load from the store takes now.
    boost::asio::awaitable<void> loadModel();
    boost::asio::awaitable<void> loadAdapter();

    void setSlowdown(double factor) { m_settings.slowdown = factor; }
    [[nodiscard]] const WeightStoreSettings &settings() const noexcept { return m_settings; }

private:
    boost::asio::awaitable<void> load(Duration base, std::uint32_t limit, std::uint32_t &active);

    boost::asio::io_context &m_context;
    WeightStoreSettings m_settings;
    std::uint32_t m_models = 0;
    std::uint32_t m_adapters = 0;
};

} // namespace bluebell::standin
