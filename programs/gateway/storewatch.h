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

    /// Follows one table for ever.
    ///
    /// \param whole takes in all rows of the table
    /// \param changes takes in changed rows
    /// \param pace the shortest time between two calls
    boost::asio::awaitable<void> follow(std::string table, Duration wait, Duration pace,
                                        RowsHandler whole, RowsHandler changes);
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
