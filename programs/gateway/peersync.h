#pragma once

#include "gateway/siteupdates.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

/// \file
/// Fetches from other daemons what this one has missed or cannot read from the store.

namespace bluebell::gateway {

/// Fetches newer configurations, missed changes of relayed tables and placements, and newer target
/// entries while the store does not reply to this daemon.
class PeerSync
{
public:
    PeerSync(boost::asio::io_context &context, GatewayState &state, SiteUpdates &updates)
        : m_context(context), m_state(state), m_updates(updates)
    {
    }

    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> fetchConfig(FleetMember peer);
    boost::asio::awaitable<void> fetchEntries(FleetMember peer);
    /// Fetches a full status with the placement of all engines from the leader.
    boost::asio::awaitable<void> fetchPlacement(FleetMember peer);
    /// Fetches a digest with the complete tables from a relay.
    boost::asio::awaitable<void> fetchDigest(FleetMember peer);
    /// \returns a relay that can be asked for a digest, another one at each call
    [[nodiscard]] std::optional<FleetMember> nextRelay();

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    SiteUpdates &m_updates;
    std::size_t m_nextRelay = 0;
};

} // namespace bluebell::gateway
