#pragma once

#include "controller/rolekeeper.h"
#include "io/notifier.h"
#include "peer/messages.h"
#include "placement/planner.h"
#include "records/table.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <set>

/// \file
/// Drives the load planners of the placement roles that this daemon holds.

namespace bluebell::controller {

class PlacementService
{
public:
    PlacementService(boost::asio::any_io_executor executor, RecordTable records,
                     const RoleKeeper &roles, LoadPlanner::Settings settings);

    /// Plans, commits and orders until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    void noteRules(std::shared_ptr<const RuleSet> rules);

    /// Notes the demand in `question` and waits for news of the replica.
    boost::asio::awaitable<WantAnswer> answer(WantQuestion question);

    [[nodiscard]] std::vector<StatusRow> status(TimePoint now) const;

private:
    struct Shard
    {
        LoadPlanner planner;
        Epoch epoch = 0;
        RoleId role;
        /// The ledgers have been read.
        bool isReady = false;
    };

    boost::asio::awaitable<void> refreshShards();
    boost::asio::awaitable<bool> readRows(Shard &shard);
    boost::asio::awaitable<void> readStale(Shard &shard);
    boost::asio::awaitable<void> work(std::shared_ptr<Shard> shard);
    boost::asio::awaitable<void> commit(Shard &shard, LedgerChange change);
    boost::asio::awaitable<void> send(TargetOrder order);
    boost::asio::awaitable<void> poll(TargetId target, Endpoint address);
    /// \returns whether the demand waits for a decision
    static bool noteDemand(Shard &shard, const ReplicaKey &key, const Demand &demand);
    void startPolls(TimePoint now);
    [[nodiscard]] std::shared_ptr<Shard> shardFor(const ModelId &model) const;
    [[nodiscard]] WantAnswer makeAnswer(const Shard &shard, const ReplicaKey &key,
                                        TimePoint now) const;

    boost::asio::any_io_executor m_executor;
    RecordTable m_records;
    const RoleKeeper &m_roles;
    LoadPlanner::Settings m_settings;
    std::shared_ptr<const RuleSet> m_rules = std::make_shared<const RuleSet>();
    std::map<std::size_t, std::shared_ptr<Shard>> m_shards;
    /// Latest reports, for new shards and for the load that answers carry.
    std::map<TargetId, TargetReport> m_reports;
    std::map<TargetId, TimePoint> m_nextPoll;
    std::set<TargetId> m_polling;
    Notifier m_changed;
    /// Something waits for a decision or a confirmation, so that every tick counts.
    bool m_isBusy = false;
    TimePoint m_nextWork;
    /// Targets whose next report confirms an order.
    std::set<TargetId> m_awaited;
    bool m_isStopping = false;
};

} // namespace bluebell::controller
