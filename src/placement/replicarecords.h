#pragma once

#include "placement/ledger.h"
#include "rules/ruleset.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

/// \file
/// What the rules, the rows and the reports say about targets and their replicas.

namespace bluebell {

/// A transaction on one target's ledger and one replica's places. It is conditional on the versions
/// of both rows, so that the number of replicas and the reserved memory change together.
struct LedgerChange
{
    TargetId target;
    ReplicaKey key;
    Ledger ledger;
    RowVersion ledgerVersion = 0;
    ReplicaPlaces places;
    RowVersion placesVersion = 0;
};

/// State of a target as of its ledger and its last report.
struct TargetState
{
    Ledger ledger;
    RowVersion version = 0;
    bool isLedgerKnown = false;
    std::optional<TargetReport> report;
    TimePoint reportedAt;
};

/// Keeps the latest rules, ledgers, places and reports, and answers questions about them.
class ReplicaRecords
{
public:
    /// \param reportLifetime maximum age of a report; a target with an older one is not usable
    explicit ReplicaRecords(Duration reportLifetime);

    // Events.

    void noteRules(std::shared_ptr<const RuleSet> rules);
    void noteLedger(const TargetId &target, Ledger ledger, RowVersion version);
    void notePlaces(const ReplicaKey &key, ReplicaPlaces places, RowVersion version);
    /// \returns whether the report is not older than the last one; otherwise it is ignored
    bool noteReport(const TargetId &target, TargetReport report, TimePoint now);
    /// Marks a target as unusable until its ledger has been noted again.
    void noteConflict(const TargetId &target);

    // Queries about rows and rules.

    [[nodiscard]] const RuleSet &rules() const noexcept { return *m_rules; }
    [[nodiscard]] const std::map<TargetId, TargetState> &targets() const noexcept
    {
        return m_targets;
    }
    /// \returns targets whose ledger must be read again after a conflict
    [[nodiscard]] const std::set<TargetId> &staleTargets() const noexcept { return m_stale; }
    /// \returns whether the places of the replica were noted
    [[nodiscard]] bool hasPlaces(const ReplicaKey &key) const { return m_places.contains(key); }
    /// \returns the targets that hold, or may hold, the replica
    [[nodiscard]] const ReplicaPlaces &placesOf(const ReplicaKey &key) const;
    [[nodiscard]] std::optional<Bytes> bytesOf(const ReplicaKey &key) const;
    [[nodiscard]] std::uint32_t replicaLimit(const ReplicaKey &key) const;
    /// \returns the slots of all targets that hold, or may hold, the replica
    [[nodiscard]] std::uint32_t slotsOf(const ReplicaKey &key) const;
    /// \returns the number of adapters, or else of models, being loaded from the weight store
    [[nodiscard]] std::size_t loadsInProgress(bool adapters) const;
    /// \returns a change of the two rows that changes nothing yet
    [[nodiscard]] LedgerChange makeChange(const TargetId &target, const ReplicaKey &key) const;

    // Queries about targets and reports.

    [[nodiscard]] bool isUsable(const TargetId &target, TimePoint now) const;
    /// \returns whether the target refused to load the replica within the last `period`
    [[nodiscard]] bool hasRefused(const TargetId &target, const ReplicaKey &key, Duration period,
                                  TimePoint now) const;
    [[nodiscard]] CacheTier tierOf(const TargetId &target, const ModelId &model) const;
    /// \returns the replica in the target's last report, or null
    [[nodiscard]] const ReportedReplica *reported(const TargetId &target,
                                                  const ReplicaKey &key) const;
    [[nodiscard]] bool isResident(const TargetId &target, const ReplicaKey &key) const;
    /// \returns bytes of `target` that are reserved in its ledger or held by replicas outside it
    [[nodiscard]] Bytes committedBytes(const TargetId &target) const;
    [[nodiscard]] Bytes freeBytes(const TargetId &target) const;
    /// \returns whether a replica can be unloaded: it is resident, runs no requests and, for a
    /// model, has no adapters on the target
    [[nodiscard]] bool canUnload(const TargetId &target, const ReplicaKey &key) const;
    /// \returns whether an entry no longer holds memory, so that it can be removed from the ledger
    [[nodiscard]] bool isObsolete(const TargetId &target, const ReplicaKey &key,
                                  const LedgerEntry &entry) const;
    /// \returns whether the target has taken the order of an entry
    [[nodiscard]] bool isConfirmed(const TargetId &target, const ReplicaKey &key,
                                   const LedgerEntry &entry) const;

private:
    struct KnownPlaces
    {
        ReplicaPlaces places;
        RowVersion version = 0;
    };

    Duration m_reportLifetime;
    std::shared_ptr<const RuleSet> m_rules;
    std::map<TargetId, TargetState> m_targets;
    std::map<ReplicaKey, KnownPlaces> m_places;
    /// Times at which a target refused to load a replica.
    std::map<std::pair<TargetId, ReplicaKey>, TimePoint> m_refusals;
    std::set<TargetId> m_stale;
};

} // namespace bluebell
