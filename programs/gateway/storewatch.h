#pragma once

#include "gateway/quarantineservice.h"
#include "gateway/siteupdates.h"
#include "io/notifier.h"
#include "platform/store.h"
#include "site/storecontact.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

/// \file
/// Follows the configuration, the target entries, the daemons' rows and the quarantines in the
/// store.

namespace bluebell::gateway {

/// Follows four tables of the platform's store while this daemon is a reader, and keeps this
/// daemon's own row.
///
/// After an outage of the store, or after a connection to it went silent, a change is read within
/// the time that a call may still be under way, Table::maxWait + Store::ReplyAllowance. While the
/// outage lasts, calls are not held, so that after a longer outage it is only the allowance.
class StoreWatch
{
public:
    StoreWatch(boost::asio::io_context &context, GatewayState &state, SiteUpdates &updates,
               QuarantineService &quarantine);

    void start();
    /// Applies changed settings.
    void applySettings() { m_store.setEndpoint(m_state.settings.store); }
    /// Removes this daemon's row from the store and stops writing it.
    [[nodiscard]] boost::asio::awaitable<void> deregister();

private:
    using RowsHandler = std::function<void(const std::vector<platform::StoreRow> &, RowVersion)>;

    /// How a table is followed.
    struct Table
    {
        std::string name;
        /// Maximum time that the store holds a call to the feed.
        Duration maxWait;
        /// Maximum time between two calls while the store does not answer.
        Duration maxRetryInterval;
        /// Whether the daemons' calls are spread over time after a change, which ends all of them
        /// at the same moment, so that an outage does not hit all in the same way.
        bool hasSpreadCalls = false;
        /// Minimum pause between two calls to the feed.
        std::function<Duration()> minInterval;
        /// Whether the table is read once at the start even if this daemon is no reader.
        bool isReadAtStart = false;
        /// Receives all rows, at the start and after the change history was lost.
        RowsHandler onSnapshot;
        /// Receives the rows that changed.
        RowsHandler onChanges;
        /// Called after each reply, if set.
        std::function<void()> onReply;
    };

    /// A call to the feed that the store may be holding.
    struct HeldCall
    {
        TimePoint sentAt;
        std::shared_ptr<CancelSource> cancel;
    };

    /// Reads a table and then applies its changes, while this daemon is a reader.
    boost::asio::awaitable<void> followTable(Table table);
    /// Waits for changes of a table.
    ///
    /// \returns nothing if the call has to be repeated at once, because the store was lost
    /// meanwhile
    boost::asio::awaitable<std::optional<Result<platform::FeedOutcome>>>
    awaitChanges(const Table &table, RowVersion version, Duration wait);
    /// Notes a reply; after an outage, the calls that may have been lost in it are repeated.
    void noteReply(TimePoint sentAt);
    /// Repeats the calls to the feeds that were sent before `sentAt`.
    void cancelCallsBefore(TimePoint sentAt);
    /// \returns a random time up to `wait`
    [[nodiscard]] Duration randomWait(Duration wait);
    /// Writes this daemon's row again whenever it is missing or outdated.
    boost::asio::awaitable<void> keepRegistered();
    /// Removes the rows of daemons that send no status any more, while this daemon is the leader.
    boost::asio::awaitable<void> removeTimedOutMembers();

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    SiteUpdates &m_updates;
    QuarantineService &m_quarantine;
    platform::Store m_store;
    StoreContact m_contact;
    /// Wakes the tasks that wait for the end of an outage.
    Notifier m_contactRegained;
    /// The calls to the feeds by table.
    std::map<std::string, HeldCall> m_heldCalls;
    std::minstd_rand m_random;
    bool m_isDeregistering = false;
};

} // namespace bluebell::gateway
