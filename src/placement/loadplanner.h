#pragma once

#include "placement/replicademand.h"
#include "placement/replicarecords.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Decides which replicas targets load and unload.

namespace bluebell {

/// An order to a target, recorded in the ledger before it is sent. Resending it is safe: the target
/// recognises the intent id.
struct TargetOrder
{
    TargetId target;
    ReplicaKey key;
    LedgerEntry entry;
};

/// State of a replica as reported to daemons whose requests wait for it.
struct ReplicaStatus
{
    std::set<TargetId> resident;
    std::set<TargetId> loading;
    /// Expected time until a replica is resident; set when none is.
    std::optional<Duration> estimate;
};

/// Decides on loads and unloads of the models of one placement role.
///
/// Used by the controller; SwapPlanner is its counterpart in the gateway.
///
/// A decision becomes an order in two steps: plan() proposes a ledger transaction; once it is
/// committed, orders() returns the order repeatedly until the target's report confirms it. A
/// successor that reads the rows resends the recorded orders. The memory of an unconfirmed order is
/// never released on a timeout: only a report of that very intent, a refusal of it, a new
/// incarnation of the target, or the target's removal from the rules releases it.
class LoadPlanner
{
public:
    struct Settings
    {
        /// Interval at which an unconfirmed order is resent.
        Duration resendInterval = std::chrono::seconds(2);
        /// Maximum age of a report; a target with an older one gets no loads.
        Duration reportLifetime = std::chrono::seconds(5);
        /// Demand that was not renewed for this long expires.
        Duration demandLifetime = std::chrono::seconds(5);
        /// A replica is unloaded after being idle for this many times its load time.
        int idleFactor = 10;
        /// Minimum idle time before a replica may be evicted for another.
        Duration evictionMinIdle = std::chrono::seconds(5);
        /// How long a target that refused a load is not considered for the same load again.
        Duration refusalBackoff = std::chrono::seconds(5);
        /// The shard of models that this planner is responsible for, out of `shards`.
        std::size_t shard = 0;
        /// The number of shards that the models are divided into.
        std::size_t shards = 1;
    };

    /// \param name prefix of intent ids; unique among planners
    /// \param now start time; replicas that are already resident count as last used then
    LoadPlanner(std::string name, Epoch epoch, Settings settings, TimePoint now);

    // Events.

    void noteRules(std::shared_ptr<const RuleSet> rules) { m_records.noteRules(std::move(rules)); }
    void noteLedger(const TargetId &target, Ledger ledger, RowVersion version)
    {
        m_records.noteLedger(target, std::move(ledger), version);
    }
    void notePlaces(const ReplicaKey &key, ReplicaPlaces places, RowVersion version)
    {
        m_records.notePlaces(key, std::move(places), version);
    }
    void noteReport(const TargetId &target, TargetReport report, TimePoint now);
    void noteDemand(const ReplicaKey &key, const Demand &demand, TimePoint now)
    {
        m_demand.noteDemand(key, demand, now);
    }
    /// Applies a committed change with the new version of its rows.
    void noteCommitted(const LedgerChange &change, RowVersion version);
    /// Records that a change failed on newer rows. The target gets no loads until its ledger has
    /// been read again and noted.
    void noteConflict(const LedgerChange &change) { m_records.noteConflict(change.target); }
    /// Records that an order was sent, so that it is not resent within Settings::resendInterval.
    void noteOrderSent(const TargetOrder &order, TimePoint now);

    // Decisions.

    /// \returns changes to commit now, at most one per target and one per replica
    [[nodiscard]] std::vector<LedgerChange> plan(TimePoint now);

    /// \returns orders to send now
    [[nodiscard]] std::vector<TargetOrder> orders(TimePoint now);

    // Queries.

    /// \returns the usable targets where `key` is resident or being loaded, with a load estimate
    [[nodiscard]] ReplicaStatus status(const ReplicaKey &key, TimePoint now) const;
    /// \returns bytes of `target` that are reserved in its ledger or held by replicas outside it
    [[nodiscard]] Bytes committedBytes(const TargetId &target) const
    {
        return m_records.committedBytes(target);
    }
    /// \returns the number of targets that hold, or may hold, a replica of `key`
    [[nodiscard]] std::size_t decidedReplicas(const ReplicaKey &key) const
    {
        return m_records.placesOf(key).size();
    }
    /// \returns targets whose ledger must be read again after a conflict
    [[nodiscard]] const std::set<TargetId> &staleTargets() const noexcept
    {
        return m_records.staleTargets();
    }
    /// \returns targets whose next report may confirm an order
    [[nodiscard]] std::set<TargetId> unconfirmedTargets() const;
    /// \returns the number of loads decided since the start
    [[nodiscard]] std::uint64_t loadsDecided() const noexcept { return m_loadsDecided; }

private:
    /// Rows that the current plan has already changed.
    struct Touched
    {
        std::set<TargetId> targets;
        std::set<ReplicaKey> keys;
    };

    /// Drops expired demand and what is too old to delay a load or an order.
    void forgetExpired(TimePoint now);
    /// \returns whether `waiting` requests justify one more replica of `key` and its limit allows
    /// it
    [[nodiscard]] bool needsReplica(const ReplicaKey &key, std::uint32_t waiting) const;
    /// \returns whether the weight store's limits allow to load `key` on `target` now
    [[nodiscard]] bool storeHasCapacity(const ReplicaKey &key, const TargetId &target,
                                        TimePoint now) const;
    /// \returns whether the model of `key` belongs to this planner's shard
    [[nodiscard]] bool owns(const ReplicaKey &key) const;
    /// \returns this shard's share of a weight store limit, at least 1
    [[nodiscard]] std::size_t perShard(std::uint32_t limit) const;
    /// \returns usable targets on which `key` may be placed, regardless of their free memory
    [[nodiscard]] std::vector<TargetId> candidates(const ReplicaKey &key, const Touched &touched,
                                                   TimePoint now) const;
    /// \returns the candidate with the most free memory among those that have enough of it and may
    /// load `key` now; under tier-aware placement, faster tiers come first
    [[nodiscard]] std::optional<TargetId> chooseTarget(const std::vector<TargetId> &candidates,
                                                       const ReplicaKey &key, Bytes bytes,
                                                       TimePoint now) const;
    /// \returns the least recently used replica on `target` that has been idle for `minIdle` and
    /// can be unloaded, if any
    [[nodiscard]] std::optional<ReplicaKey> evictable(const TargetId &target, Duration minIdle,
                                                      TimePoint now) const;
    /// \returns whether this planner is responsible for a replica that can be unloaded
    [[nodiscard]] bool canUnload(const TargetId &target, const ReplicaKey &key) const;
    /// \returns the idle time after which a replica is unloaded
    [[nodiscard]] Duration idleLimit(const ReplicaKey &key) const;

    /// Removes ledger entries of replicas that no longer hold memory.
    void planRemovals(std::vector<LedgerChange> &changes, Touched &touched);
    /// Unloads replicas that a target reports but that are not in its ledger.
    void planUnrecordedReplicas(std::vector<LedgerChange> &changes, Touched &touched);
    /// Unloads replicas that were idle for too long or whose target is draining.
    void planIdleUnloads(std::vector<LedgerChange> &changes, Touched &touched, TimePoint now);
    void planLoads(std::vector<LedgerChange> &changes, Touched &touched, TimePoint now);
    void planLoad(const WantedReplica &wanted, std::vector<LedgerChange> &changes, Touched &touched,
                  TimePoint now);
    /// Unloads the longest idle replica on the candidates, unless unloads in progress make room
    /// already.
    void planEviction(const std::vector<TargetId> &candidates, Bytes bytes,
                      std::vector<LedgerChange> &changes, Touched &touched, TimePoint now);
    void addUnload(const TargetId &target, const ReplicaKey &key,
                   std::vector<LedgerChange> &changes, Touched &touched);
    void addRemoval(const TargetId &target, const ReplicaKey &key,
                    std::vector<LedgerChange> &changes, Touched &touched);
    /// \returns whether the current plan has changed neither row yet
    [[nodiscard]] static bool isUntouched(const Touched &touched, const TargetId &target,
                                          const ReplicaKey &key);
    [[nodiscard]] IntentId nextIntent();

    std::string m_name;
    Epoch m_epoch;
    Settings m_settings;
    std::uint64_t m_nextIntent = 0;
    std::uint64_t m_loadsDecided = 0;
    ReplicaRecords m_records;
    ReplicaDemand m_demand;
    /// When each order was last sent.
    std::map<IntentId, TimePoint> m_sent;
    /// Times of the loads from the remote weight store within the last second.
    std::vector<TimePoint> m_storeLoads;
};

/// \returns the shard out of `shards` that is responsible for `model`
[[nodiscard]] std::size_t shardOf(const ModelId &model, std::size_t shards);

} // namespace bluebell
