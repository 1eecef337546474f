#pragma once

#include "gateway/gatewaystate.h"
#include "platform/store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>

/// \file
/// Synchronises the configuration, the target entries and the fleet members with the store.

namespace bluebell::gateway {

/// Watches three tables of the platform's store, and falls back to other daemons while the store is
/// unavailable.
class StoreWatch
{
public:
    /// \param configChanged called after a newer configuration has been applied
    StoreWatch(boost::asio::io_context &context, GatewayState &state,
               std::function<void()> configChanged);

    void start();
    /// Applies changed settings.
    void applySettings() { m_store.setEndpoint(m_state.settings.store); }
    /// Removes this daemon's row from the store and stops writing it.
    [[nodiscard]] boost::asio::awaitable<void> deregister();

    /// \returns all target entries as JSON, in the form that fetchEntries() of other daemons reads
    [[nodiscard]] std::string encodeEntries() const;

private:
    using RowsHandler = std::function<void(const std::vector<platform::StoreRow> &, RowVersion)>;

    /// Timing of the long-poll calls to a change feed.
    struct PollTiming
    {
        /// Maximum time that the store holds a call.
        Duration maxWait {};
        /// Minimum pause between two calls.
        Duration minInterval {};
    };

    /// Reads a table and then applies its changes, for as long as the daemon runs.
    ///
    /// \param currentTiming called before each call to the feed
    /// \param onSnapshot receives all rows, at the start and after the change history was lost
    /// \param onChanges receives the rows that changed
    boost::asio::awaitable<void> followTable(std::string table,
                                             std::function<PollTiming()> currentTiming,
                                             RowsHandler onSnapshot, RowsHandler onChanges);
    /// \returns the maximum hold time of a call to the feed of configurations, longer in a larger
    /// fleet
    [[nodiscard]] Duration configMaxWait() const;
    /// Fetches newer configurations and placements from peers, and newer target entries while the
    /// store is unavailable.
    boost::asio::awaitable<void> pollPeers();
    boost::asio::awaitable<void> fetchConfig(FleetMember peer);
    boost::asio::awaitable<void> fetchEntries(FleetMember peer);
    /// Fetches a full status with the placement of all engines from the leader.
    boost::asio::awaitable<void> fetchPlacement(FleetMember peer);
    /// Writes this daemon's row again whenever it is missing or outdated.
    boost::asio::awaitable<void> keepRegistered();
    /// Removes the rows of daemons that send no status any more, while this daemon is the leader.
    boost::asio::awaitable<void> removeTimedOutMembers();

    void noteStoreReply();
    void handleOperatorRow(const platform::StoreRow &row);
    /// \returns whether the configuration is valid and newer than the current one
    bool updateConfig(const std::string &text);
    void updateEntry(const std::string &key, const std::string &value);
    void replaceAllEntries(const std::vector<platform::StoreRow> &rows, RowVersion version);
    void replaceAllMembers(const std::vector<platform::StoreRow> &rows);
    void updateMember(const platform::StoreRow &row);

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    platform::Store m_store;
    std::function<void()> m_configChanged;
    bool m_isRegistered = false;
    bool m_isDeregistering = false;
};

} // namespace bluebell::gateway
