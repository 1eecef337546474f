#pragma once

#include "controller/rolemanager.h"
#include "io/notifier.h"
#include "peer/messages.h"
#include "placement/loadplanner.h"
#include "records/table.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <set>

/// \file
/// Runs the load planners of the placement roles that this daemon holds.

namespace bluebell::controller {

/// Plans placement, commits it to the table service, sends orders to targets and polls their
/// reports.
class PlacementService
{
public:
    PlacementService(boost::asio::any_io_executor executor, RecordTable records,
                     const RoleManager &roles, LoadPlanner::Settings settings);

    /// Plans, commits and sends orders until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    /// Applies new rules. The rows of all shards are read again.
    void noteRules(std::shared_ptr<const RuleSet> rules);

    /// Records the demand in `question` and waits until the resident targets of the replica differ
    /// from those that the requesting daemon knows, for at most `question.longestWait` and never
    /// longer than 2 s.
    boost::asio::awaitable<WantAnswer> answer(WantQuestion question);

    /// \returns the state of the shards, their targets and the models with placed replicas
    [[nodiscard]] std::vector<StatusRow> status(TimePoint now) const;

private:
    /// The planner of one placement role.
    struct Shard
    {
        LoadPlanner planner;
        Epoch epoch = 0;
        RoleId role;
        /// Whether the rows of the ledgers and replica places have been read.
        bool isReady = false;
    };

    /// Creates and removes shards according to the role rows, and reads the rows of shards that are
    /// not ready.
    boost::asio::awaitable<void> refreshShards();
    /// \returns whether all rows could be read
    boost::asio::awaitable<bool> readRows(Shard &shard);
    /// Reads the rows again if a commit conflicted.
    boost::asio::awaitable<void> rereadIfStale(Shard &shard);
    /// Plans, commits the changes and sends the orders, once.
    boost::asio::awaitable<void> planShard(std::shared_ptr<Shard> shard);
    boost::asio::awaitable<void> commit(Shard &shard, LedgerChange change);
    boost::asio::awaitable<void> send(TargetOrder order);
    boost::asio::awaitable<void> poll(TargetId target, Endpoint address);
    /// \returns whether requests are waiting, so that the planner should run on the next tick
    static bool noteDemand(Shard &shard, const ReplicaKey &key, const Demand &demand);
    /// Starts a poll of every engine that is due for one.
    void startPolls(TimePoint now);
    /// \returns the shard of `model`, or null if it is not held here or not ready
    [[nodiscard]] std::shared_ptr<Shard> shardFor(const ModelId &model) const;
    [[nodiscard]] WantAnswer makeAnswer(const Shard &shard, const ReplicaKey &key,
                                        TimePoint now) const;

    boost::asio::any_io_executor m_executor;
    RecordTable m_records;
    const RoleManager &m_roles;
    LoadPlanner::Settings m_settings;
    std::shared_ptr<const RuleSet> m_rules = std::make_shared<const RuleSet>();
    std::map<std::size_t, std::shared_ptr<Shard>> m_shards;
    /// Latest report of each target, for new shards and for the load in responses.
    std::map<TargetId, TargetReport> m_reports;
    std::map<TargetId, TimePoint> m_nextPoll;
    std::set<TargetId> m_pollsInFlight;
    Notifier m_changeNotifier;
    /// Whether demand or an unconfirmed order requires planning on the next tick.
    bool m_hasPendingWork = false;
    TimePoint m_nextPlan;
    /// Targets with an order that no report has confirmed yet; they are polled more often.
    std::set<TargetId> m_unconfirmedTargets;
    bool m_isStopping = false;
};

} // namespace bluebell::controller
