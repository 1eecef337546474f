#pragma once

#include "gateway/sitestate.h"
#include "platform/store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

/// \file
/// Drives the lease of the role that gives orders, and the planner while it is held.

namespace bluebell::gateway {

class Conductor
{
public:
    Conductor(boost::asio::io_context &context, SiteState &state);

    void start();
    /// Puts changed settings into force.
    void noteSettings() { m_store.setEndpoint(m_state.settings.store); }
    /// Puts changed services into force.
    void noteConfig();
    /// Gives the role back.
    [[nodiscard]] boost::asio::awaitable<void> release();

private:
    boost::asio::awaitable<void> keepLease();
    boost::asio::awaitable<void> readRole();
    boost::asio::awaitable<void> writeRole();
    boost::asio::awaitable<void> planOrders();
    void noteHolding(bool isHolder);
    void runPlan(TimePoint now);
    boost::asio::awaitable<void> sendOrder(PlacementOrder order);
    boost::asio::awaitable<void> fetchReport(TargetId target);

    boost::asio::io_context &m_context;
    SiteState &m_state;
    platform::Store m_store;
    bool m_wasHolder = false;
};

} // namespace bluebell::gateway
