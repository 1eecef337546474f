#pragma once

#include "gateway/sitestate.h"
#include "platform/store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>

/// \file
/// Keeps the configuration, the targets and the daemons' rows up to date.

namespace bluebell::gateway {

/// Follows three tables of the platform's store, and asks other daemons while it is out of reach.
class StoreWatch
{
public:
    /// \param configChanged called after another configuration came into force
    StoreWatch(boost::asio::io_context &context, SiteState &state,
               std::function<void()> configChanged);

    void start();
    /// Puts changed settings into force.
    void noteSettings() { m_store.setEndpoint(m_state.settings.store); }
    /// Takes this daemon's row out of the store.
    [[nodiscard]] boost::asio::awaitable<void> leave();

    /// \returns the targets' entries in the form that other daemons ask for
    [[nodiscard]] std::string entriesForPeers() const;

private:
    using RowsHandler = std::function<void(const std::vector<platform::StoreRow> &, RowVersion)>;

    /// How often a feed is called.
    struct FeedPace
    {
        /// The longest time that the store holds a call.
        Duration wait {};
        /// The shortest time between two calls.
        Duration between {};
    };

    /// Follows one table for ever.
    ///
    /// \param paceNow asked before each call
    /// \param whole takes in all rows of the table
    /// \param changes takes in changed rows
    boost::asio::awaitable<void> follow(std::string table, std::function<FeedPace()> paceNow,
                                        RowsHandler whole, RowsHandler changes);
    [[nodiscard]] Duration configWait() const;
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<void> askForConfig(FleetMember peer);
    boost::asio::awaitable<void> askForEntries(FleetMember peer);
    /// Asks the holder of the role what all engines hold.
    boost::asio::awaitable<void> askForPlacement(FleetMember peer);
    boost::asio::awaitable<void> keepRegistered();
    boost::asio::awaitable<void> removeGoneMembers();

    void noteAnswered();
    void takeOperatorRow(const platform::StoreRow &row);
    bool takeConfig(const std::string &text);
    void takeEntry(const std::string &key, const std::string &value);
    void takeEntries(const std::vector<platform::StoreRow> &rows, RowVersion version);
    void takeMembers(const std::vector<platform::StoreRow> &rows);
    void takeMember(const platform::StoreRow &row);

    boost::asio::io_context &m_context;
    SiteState &m_state;
    platform::Store m_store;
    std::function<void()> m_configChanged;
    bool m_isRegistered = false;
    bool m_isLeaving = false;
};

} // namespace bluebell::gateway
