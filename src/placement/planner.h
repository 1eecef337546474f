#pragma once

#include "placement/ledger.h"
#include "rules/ruleset.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Decides which target loads and unloads what.

namespace bluebell {

/// A transaction on one target's ledger and one replica's places. It conditions on both rows, so
/// that the decided count and the memory move together.
struct LedgerChange
{
    TargetId target;
    ReplicaKey key;
    Ledger ledger;
    RowVersion ledgerVersion = 0;
    ReplicaPlaces places;
    RowVersion placesVersion = 0;
};

/// An order to a target, recorded before it goes out. Sending it again is harmless: the target
/// knows the intent.
struct TargetOrder
{
    TargetId target;
    ReplicaKey key;
    LedgerEntry entry;
};

/// Requests of one organisation that wait for a replica at one daemon.
struct Demand
{
    VmId daemon;
    OrganisationId organisation;
    std::uint32_t waiting = 0;
    /// Requests that run on the replica now.
    std::uint32_t running = 0;
    /// How long the oldest request has waited.
    Duration oldestWait {};
};

/// What a daemon that waits for a replica is told.
struct ReplicaStatus
{
    std::set<TargetId> resident;
    std::set<TargetId> loading;
    /// Expected time until a replica is resident, when none is.
    std::optional<Duration> estimate;
};

/// Decides on the loads of the models of one placement role.
///
/// Decisions become orders in two steps: plan() proposes a ledger transaction; once it is
/// committed, orders() returns the order, again and again until the target's report confirms it. A
/// successor that reads the rows repeats the recorded orders. Memory of an order that is not
/// confirmed is never given away on a timeout: only a report of that very intent, a refusal of it,
/// a new incarnation of the target, or the target's removal from the rules frees it.
class LoadPlanner
{
public:
    struct Settings
    {
        /// How often an order that is not confirmed is sent again.
        Duration repeatEvery = std::chrono::seconds(2);
        /// A report older than this says nothing about free memory.
        Duration reportLifetime = std::chrono::seconds(5);
        /// Demand that was not renewed for this long is forgotten.
        Duration demandLifetime = std::chrono::seconds(5);
        /// A replica leaves after being idle for this many times its load time.
        int idleFactor = 10;
        /// A replica that was used within this time is not evicted for another.
        Duration evictionFloor = std::chrono::seconds(5);
        /// A target that refused a load is not asked for the same again for this long.
        Duration refusalPause = std::chrono::seconds(5);
        /// The shard whose models this planner decides on, out of `shards`.
        std::size_t shard = 0;
        std::size_t shards = 1;
    };

    /// \param name a prefix for intent ids that no other planner has
    /// \param now what is resident counts as used at this time
    LoadPlanner(std::string name, Epoch epoch, Settings settings, TimePoint now);

    // Events.

    void noteRules(std::shared_ptr<const RuleSet> rules);
    void noteLedger(const TargetId &target, Ledger ledger, RowVersion version);
    void notePlaces(const ReplicaKey &key, ReplicaPlaces places, RowVersion version);
    void noteReport(const TargetId &target, TargetReport report, TimePoint now);
    void noteDemand(const ReplicaKey &key, const Demand &demand, TimePoint now);
    /// Notes a committed change with the new version of its rows.
    void noteCommitted(const LedgerChange &change, RowVersion version);
    /// Notes that a change met newer rows; they must be read and noted before the next plan.
    void noteConflict(const LedgerChange &change);
    /// Notes that a target took an order, so that it is not sent again before the next report.
    void noteOrderSent(const TargetOrder &order, TimePoint now);

    // Decisions.

    /// \returns changes to commit now, at most one for each row
    [[nodiscard]] std::vector<LedgerChange> plan(TimePoint now);

    /// \returns orders to send now
    [[nodiscard]] std::vector<TargetOrder> orders(TimePoint now);

    // Questions.

    [[nodiscard]] ReplicaStatus status(const ReplicaKey &key, TimePoint now) const;
    /// \returns bytes of `target` that are held by decisions and by replicas that it reports
    [[nodiscard]] Bytes committedBytes(const TargetId &target) const;
    /// \returns the number of places of `key`, whatever their state
    [[nodiscard]] std::size_t decidedReplicas(const ReplicaKey &key) const;
    /// \returns targets whose ledger must be read again after a conflict
    [[nodiscard]] const std::set<TargetId> &staleTargets() const noexcept { return m_stale; }
    /// \returns targets of which a report is awaited that confirms an order
    [[nodiscard]] std::set<TargetId> unconfirmedTargets() const;
    /// \returns load orders decided since the start
    [[nodiscard]] std::uint64_t loadsDecided() const noexcept { return m_loadsDecided; }

private:
    struct TargetState
    {
        Ledger ledger;
        RowVersion version = 0;
        bool isLedgerKnown = false;
        std::optional<TargetReport> report;
        TimePoint reportedAt;
    };

    struct DemandKey
    {
        VmId daemon;
        OrganisationId organisation;
        friend auto operator<=>(const DemandKey &, const DemandKey &) = default;
    };

    struct DemandState
    {
        Demand demand;
        TimePoint notedAt;
    };

    struct ReplicaInfo
    {
        ReplicaPlaces places;
        RowVersion version = 0;
        std::map<DemandKey, DemandState> demand;
        TimePoint lastUsed;
        /// Time that the last load took.
        Duration loadTime = std::chrono::seconds(5);
        std::optional<TimePoint> loadStartedAt;
    };

    /// A replica that someone waits for.
    struct Wanted
    {
        ReplicaKey key;
        Duration oldestWait {};
        OrganisationId organisation;
        std::uint32_t waiting = 0;
    };

    /// Rows that one plan has already changed.
    struct Touched
    {
        std::set<TargetId> targets;
        std::set<ReplicaKey> keys;
    };

    void forgetDemand(TimePoint now);
    [[nodiscard]] std::vector<Wanted> wantedReplicas(TimePoint now) const;
    [[nodiscard]] bool needsReplica(const ReplicaKey &key, std::uint32_t waiting) const;
    [[nodiscard]] std::optional<Bytes> bytesOf(const ReplicaKey &key) const;
    [[nodiscard]] std::uint32_t replicaLimit(const ReplicaKey &key) const;
    [[nodiscard]] std::size_t loadsUnderWay(bool adapters) const;
    [[nodiscard]] bool storeHasRoom(const ReplicaKey &key, const TargetId &target,
                                    TimePoint now) const;
    [[nodiscard]] bool owns(const ReplicaKey &key) const;
    /// \returns this shard's part of a limit of the weight store
    [[nodiscard]] std::size_t perShard(std::uint32_t limit) const;
    [[nodiscard]] bool isUsable(const TargetId &target, TimePoint now) const;
    [[nodiscard]] CacheTier tierOf(const TargetId &target, const ModelId &model) const;
    [[nodiscard]] const ReportedReplica *reported(const TargetId &target,
                                                  const ReplicaKey &key) const;
    [[nodiscard]] bool isResident(const TargetId &target, const ReplicaKey &key) const;
    [[nodiscard]] Bytes freeBytes(const TargetId &target) const;
    /// \returns usable targets on which `key` may be placed, whatever their free memory
    [[nodiscard]] std::vector<TargetId> candidates(const ReplicaKey &key, const Touched &touched,
                                                   TimePoint now) const;
    [[nodiscard]] std::optional<TargetId> chooseTarget(const std::vector<TargetId> &candidates,
                                                       const ReplicaKey &key, Bytes bytes,
                                                       TimePoint now) const;
    /// \returns the replica on `target` that was used least recently and may leave, if any
    [[nodiscard]] std::optional<ReplicaKey> evictable(const TargetId &target, Duration idle,
                                                      TimePoint now) const;
    [[nodiscard]] bool mayLeave(const TargetId &target, const ReplicaKey &key) const;
    [[nodiscard]] Duration idleTime(const ReplicaKey &key, TimePoint now) const;
    [[nodiscard]] Duration idleLimit(const ReplicaKey &key) const;
    [[nodiscard]] bool isGone(const TargetId &target, const ReplicaKey &key,
                              const LedgerEntry &entry) const;
    [[nodiscard]] bool isConfirmed(const TargetId &target, const ReplicaKey &key,
                                   const LedgerEntry &entry) const;

    void planRemovals(std::vector<LedgerChange> &changes, Touched &touched);
    void planStrays(std::vector<LedgerChange> &changes, Touched &touched);
    void planIdle(std::vector<LedgerChange> &changes, Touched &touched, TimePoint now);
    void planLoads(std::vector<LedgerChange> &changes, Touched &touched, TimePoint now);
    void planLoad(const Wanted &wanted, std::vector<LedgerChange> &changes, Touched &touched,
                  TimePoint now);
    void planEviction(const std::vector<TargetId> &candidates, Bytes bytes,
                      std::vector<LedgerChange> &changes, Touched &touched, TimePoint now);
    void addUnload(const TargetId &target, const ReplicaKey &key,
                   std::vector<LedgerChange> &changes, Touched &touched);
    void addRemoval(const TargetId &target, const ReplicaKey &key,
                    std::vector<LedgerChange> &changes, Touched &touched);
    [[nodiscard]] LedgerChange makeChange(const TargetId &target, const ReplicaKey &key) const;
    [[nodiscard]] static bool isFree(const Touched &touched, const TargetId &target,
                                     const ReplicaKey &key);
    [[nodiscard]] IntentId nextIntent();

    std::string m_name;
    Epoch m_epoch;
    Settings m_settings;
    TimePoint m_startedAt;
    std::uint64_t m_nextIntent = 0;
    std::uint64_t m_loadsDecided = 0;
    std::shared_ptr<const RuleSet> m_rules;
    std::map<TargetId, TargetState> m_targets;
    std::map<ReplicaKey, ReplicaInfo> m_replicas;
    std::map<IntentId, TimePoint> m_sent;
    /// Times at which a target refused to load a replica.
    std::map<std::pair<TargetId, ReplicaKey>, TimePoint> m_refusals;
    std::map<OrganisationId, double> m_recentLoads;
    TimePoint m_recentLoadsAt;
    std::set<TargetId> m_stale;
    /// Times of the latest loads from the remote store.
    std::vector<TimePoint> m_storeLoads;
};

/// \returns the shard out of `shards` that decides on `model`
[[nodiscard]] std::size_t shardOf(const ModelId &model, std::size_t shards);

} // namespace bluebell
