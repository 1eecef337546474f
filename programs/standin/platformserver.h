#pragma once

#include "http/server.h"
#include "io/notifier.h"
#include "platform/storecodec.h"
#include "records/table.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

/// \file
/// In-memory stand-in for the platform's store: versioned rows, a change feed, conditional
/// transactions and objects. It implements the published protocol.

namespace bluebell::standin {

/// Faults that tests inject.
struct PlatformFaults
{
    /// Every call is answered with status 503.
    bool outage = false;
    /// Connections are accepted, but calls are not answered.
    bool silent = false;
    /// When this number rises, calls that are under way are never answered.
    int connectionLosses = 0;
    /// Delay before every response.
    Duration delay {};
    /// Number of further transactions that take effect but get no response.
    int lostReplies = 0;
};

/// Calls beyond these limits get status 429.
struct PlatformLimits
{
    std::uint32_t readsPerSecond = 2000;
    std::uint32_t writesPerSecond = 400;
};

/// Calls received and bytes of request and response bodies so far.
struct PlatformUsage
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    /// Calls refused because of the limits.
    std::uint64_t refused = 0;
    std::uint64_t bytes = 0;
};

class PlatformServer
{
public:
    /// Changes that rollback() can discard.
    static constexpr Duration MaxHistoryAge = std::chrono::seconds(30);
    static constexpr std::size_t MaxHistory = 20000;
    static constexpr Duration DefaultRewriteDelay = std::chrono::seconds(1);

    PlatformServer(boost::asio::io_context &context, PlatformLimits limits);

    Result<Endpoint> listen(const Endpoint &endpoint) { return m_server.listen(endpoint); }

    // Changes that operators and targets make.

    void put(const std::string &table, const std::string &key, std::string value);
    void remove(const std::string &table, const std::string &key);
    void setVm(const VmId &vm, VmState state);

    // Faults.

    [[nodiscard]] PlatformFaults &faults() noexcept { return m_faults; }
    /// Drops the change history, so that every feed has to read its table again. Earlier changes
    /// can't be rolled back any more.
    void compact();
    /// States `era` in the header of every response from now on, also if it is 0.
    void setEra(StoreEra era) noexcept { m_era = era; }
    /// Comes back from a copy of the data that is `age` old, or as old as the history that is kept,
    /// MaxHistoryAge and MaxHistory. Versions go back and are given out again; the era rises by
    /// one.
    ///
    /// \param rewriteDelay time after which operators and targets write again what they have lost,
    ///        unless they have written the row anew by then
    void rollback(Duration age, Duration rewriteDelay = DefaultRewriteDelay);

    // Queries.

    [[nodiscard]] StoreEra era() const noexcept { return m_era.value_or(0); }
    /// \returns the value of a row, or an empty string when the row does not exist
    [[nodiscard]] std::string value(const std::string &table, const std::string &key) const;
    [[nodiscard]] const PlatformUsage &usage() const noexcept { return m_usage; }

private:
    struct Row
    {
        std::string value;
        RowVersion version = 0;
        /// A deleted row is kept as a tombstone for the change feed.
        bool isDeleted = false;
    };
    /// Table and key.
    using RowId = std::pair<std::string, std::string>;

    /// A write, as it is undone.
    struct Change
    {
        TimePoint at;
        RowId id;
        /// The row before, or nothing if there was none.
        std::optional<Row> before;
        RowVersion versionBefore = 0;
    };

    void setRow(const RowId &id, Row row);
    /// Writes the rows of m_lost after a time, unless there was another rollback since.
    boost::asio::awaitable<void> writeAgain(Duration delay);
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    /// Delays a call of the change feed until there is a change or its wait time is over.
    boost::asio::awaitable<void> awaitChange(const platform::FollowRows &call);
    /// \returns whether a feed can resume after `version`
    [[nodiscard]] bool hasHistoryAfter(RowVersion version) const noexcept
    {
        return version >= m_oldestResumableVersion && version <= m_version;
    }
    [[nodiscard]] HttpResponse answer(const HttpRequest &request, const platform::StoreCall &call);
    [[nodiscard]] HttpResponse dispatch(const platform::StoreCall &call);
    [[nodiscard]] HttpResponse execute(const platform::ReadRows &call) const;
    [[nodiscard]] HttpResponse execute(const platform::FollowRows &call) const;
    [[nodiscard]] HttpResponse execute(const platform::Transact &call);
    [[nodiscard]] HttpResponse execute(const platform::PutObject &call);
    [[nodiscard]] HttpResponse execute(const platform::GetObject &call) const;
    [[nodiscard]] HttpResponse control(const std::string &body);
    [[nodiscard]] platform::StoreSnapshot changesAfter(const std::string &table,
                                                       RowVersion after) const;
    [[nodiscard]] RowVersion versionOf(const RowId &id) const;
    /// Counts a call.
    ///
    /// \returns whether it is within the limit of calls per second
    [[nodiscard]] bool admitCall(bool isWrite);

    boost::asio::io_context &m_context;
    PlatformLimits m_limits;
    PlatformFaults m_faults;
    PlatformUsage m_usage;
    std::map<RowId, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    /// Times of the reads and writes admitted within the last second.
    std::deque<TimePoint> m_recentReads;
    std::deque<TimePoint> m_recentWrites;
    RowVersion m_version = 1;
    std::deque<Change> m_history;
    /// Rows of operators and targets that a rollback has discarded and that they will write again.
    std::map<RowId, Row> m_lost;
    /// Stated in responses if it is set.
    std::optional<StoreEra> m_era;
    /// Oldest version from which a change feed can resume.
    RowVersion m_oldestResumableVersion = 0;
    Notifier m_changed;
    HttpServer m_server;
};

} // namespace bluebell::standin
