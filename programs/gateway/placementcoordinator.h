#pragma once

#include "gateway/gatewaystate.h"
#include "platform/store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

/// \file
/// Competes for the leader's lease, and runs the placement planner while this daemon is the leader.

namespace bluebell::gateway {

/// Performs the I/O of Leadership and SwapPlanner: reads and writes the leader's row, sends orders
/// to engines and fetches their reports.
class PlacementCoordinator
{
public:
    PlacementCoordinator(boost::asio::io_context &context, GatewayState &state);

    void start();
    /// Applies changed settings.
    void applySettings() { m_store.setEndpoint(m_state.settings.store); }
    /// Passes the services of a new configuration to the planner.
    void applyConfig();
    /// Releases the lease, if this daemon holds it.
    [[nodiscard]] boost::asio::awaitable<void> release();

private:
    boost::asio::awaitable<void> keepLease();
    boost::asio::awaitable<void> readRole();
    boost::asio::awaitable<void> writeRole();
    boost::asio::awaitable<void> planOrders();
    /// Logs changes of leadership, and resets the planner when this daemon becomes the leader.
    void noteLeadership(bool isLeader);
    void runPlan(TimePoint now);
    /// \returns whether the engine may get an order or a report request
    [[nodiscard]] bool mayCall(const TargetEntry &target, TimePoint now) const;
    /// Updates the planner's metrics, and logs their changes.
    void notePlanMetrics(TimePoint now);
    boost::asio::awaitable<void> sendOrder(PlacementOrder order);
    boost::asio::awaitable<void> fetchReport(TargetId target);

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    platform::Store m_store;
    TimePoint m_planMetricsAt;
    std::size_t m_fullSpeedLoads = 0;
    std::size_t m_missingModels = 0;
    std::size_t m_reportsInFlight = 0;
    bool m_wasLeader = false;
};

} // namespace bluebell::gateway
