#pragma once

#include "http/server.h"
#include "io/notifier.h"
#include "platform/storecodec.h"
#include "records/table.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <string>
#include <utility>

/// \file
/// Stand-in of the platform's store, in memory: rows with versions, a feed of their changes,
/// transactions under conditions, objects. It speaks the published protocol.

namespace bluebell::standin {

/// Faults that tests switch on.
struct PlatformFaults
{
    /// Every call is answered with status 503.
    bool outage = false;
    /// Connections are taken but never answered.
    bool silent = false;
    /// Every answer waits this long.
    Duration delay {};
    /// So many transactions take effect without an answer.
    int lostReplies = 0;
};

struct PlatformLimits
{
    std::uint32_t readsPerSecond = 2000;
    std::uint32_t writesPerSecond = 400;
};

/// Calls taken so far.
struct PlatformUsage
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t refused = 0;
    std::uint64_t bytes = 0;
};

class PlatformServer
{
public:
    PlatformServer(boost::asio::io_context &context, PlatformLimits limits);

    Result<Endpoint> listen(const Endpoint &endpoint) { return m_server.listen(endpoint); }

    // What operators and targets do.

    void put(const std::string &table, const std::string &key, std::string value);
    void remove(const std::string &table, const std::string &key);
    void setVm(const VmId &vm, VmState state);

    // Faults.

    [[nodiscard]] PlatformFaults &faults() noexcept { return m_faults; }
    /// Forgets the history, so that every feed must read anew.
    void compact();

    // Questions.

    /// \returns the value of a row, or an empty text
    [[nodiscard]] std::string value(const std::string &table, const std::string &key) const;
    [[nodiscard]] const PlatformUsage &usage() const noexcept { return m_usage; }

private:
    struct Row
    {
        std::string value;
        RowVersion version = 0;
        /// Kept for the feed.
        bool isDeleted = false;
    };
    /// Table and key.
    using RowId = std::pair<std::string, std::string>;

    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    /// Holds a call of the feed until there is a change.
    boost::asio::awaitable<void> awaitChange(const platform::FollowRows &call);
    [[nodiscard]] HttpResponse answer(const platform::StoreCall &call);
    [[nodiscard]] HttpResponse answerTo(const platform::ReadRows &call) const;
    [[nodiscard]] HttpResponse answerTo(const platform::FollowRows &call) const;
    [[nodiscard]] HttpResponse answerTo(const platform::Transact &call);
    [[nodiscard]] HttpResponse answerTo(const platform::PutObject &call);
    [[nodiscard]] HttpResponse answerTo(const platform::GetObject &call) const;
    [[nodiscard]] HttpResponse control(const std::string &body);
    [[nodiscard]] platform::StoreSnapshot changesAfter(const std::string &table,
                                                       RowVersion after) const;
    [[nodiscard]] RowVersion versionOf(const RowId &id) const;
    [[nodiscard]] bool takeRate(bool isWrite);

    boost::asio::io_context &m_context;
    PlatformLimits m_limits;
    PlatformFaults m_faults;
    PlatformUsage m_usage;
    std::map<RowId, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::deque<TimePoint> m_reads;
    std::deque<TimePoint> m_writes;
    RowVersion m_version = 1;
    /// A feed can go on from here or later.
    RowVersion m_oldest = 0;
    Notifier m_changed;
    HttpServer m_server;
};

} // namespace bluebell::standin
