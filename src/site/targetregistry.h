#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "membership/lease.h"
#include "placement/ledger.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// \file
/// The targets that are registered in the platform's store.

namespace bluebell {

/// What an engine holds, as reported by the engine.
struct EngineState
{
    /// Models and adapters that can serve requests.
    std::set<ReplicaKey> resident;
    /// Adapters that are being transferred to the target; they occupy adapter slots already.
    std::set<ReplicaKey> pendingAdapters;
    /// Models with a copy in the target's memory, the fastest source for a load.
    std::set<ModelId> inMemory;
    /// Models with a copy on the target's disk.
    std::set<ModelId> onDisk;
    /// Number of orders accepted since the target started. An order may be conditional on it.
    std::uint64_t sequence = 0;
    /// Whether an order for a model is being executed.
    bool isBusy = false;
};

/// The registration of one target.
struct TargetEntry
{
    TargetId id;
    ServiceId service;
    Endpoint address;
    DataCentreId dataCentre;
    /// Requests that the target runs at the same time.
    std::uint32_t slots = 1;
    /// Whether the target is shutting down and must get no new request.
    bool isDraining = false;
    /// Unix time in milliseconds at which the target's process started. It tells one run of the
    /// target from the next under the same id.
    std::uint64_t startTimeMs = 0;
    /// Number of heartbeats that the target says it has written in this run.
    std::uint64_t heartbeat = 0;
    /// How much longer the target was cold when the entry was written: it stands few requests then.
    Duration coldTime {};
    /// Until when the target is cold, as far as this daemon knows.
    TimePoint coldUntil;
    /// Set for engines.
    std::optional<EngineState> engine;

    [[nodiscard]] bool isCold(TimePoint now) const noexcept { return now < coldUntil; }
};

/// Sets TargetEntry::coldUntil of an entry that has just been read. The time since it was written
/// is unknown, so the target may count as cold for longer than it is, but never for less.
///
/// \param known the entry as known before, or null; if it is the same, its time is kept, so that
///        reading an old entry once more does not make its target cold again
/// \param left time for which the target is cold from now on
void setColdUntil(TargetEntry &entry, const TargetEntry *known, Duration left, TimePoint now);

/// The targets that may receive requests.
///
/// Targets cannot renew their entries during an outage of the store, so entries of live targets may
/// expire. Those targets register again soon after the store has recovered. Until then, entries
/// that are missing after an outage are kept for a short time.
///
/// A target may state in a response that it is leaving. It then counts as draining until its
/// process has ended, whatever its entry says: the statement belongs to the run of the target, not
/// to the entry, so it also outlives the removal of the entry.
class TargetRegistry
{
public:
    /// How long after the recovery of the store a missing entry is kept.
    static constexpr Duration RecoveryGrace = std::chrono::milliseconds(1900);
    /// Time without a reply of the store after which entries may have expired.
    static constexpr Duration OutageThreshold = std::chrono::milliseconds(2500);
    /// Number of remembered leaving targets above which those without an entry, or with an entry of
    /// another run, are forgotten, the oldest first.
    static constexpr std::size_t MaxLeavingTargets = 4096;

    // Events.

    /// Notes that the store has replied to a read of the entries, here or at a relay.
    ///
    /// \param now when it replied; times before the last one are ignored
    void noteContact(TimePoint now);
    /// Stores a new or changed entry, unless the known one was read at a later version of the
    /// store. What entries say of their own age is not considered.
    ///
    /// \param entry empty when the row is invalid; a known entry is then removed
    /// \param version version of the store at which the row was read, here or by another daemon
    void put(const std::string &key, std::optional<TargetEntry> entry, RowVersion version);
    /// Removes an entry, or keeps it as missing for a while if its target may be alive.
    void remove(const std::string &key, TimePoint now);
    /// Replaces all entries; known ones that are not in `entries` are removed as by remove().
    void replaceAll(const std::map<std::string, std::optional<TargetEntry>> &entries,
                    RowVersion version, TimePoint now);
    /// Notes that a target has stated in a response that it is leaving.
    ///
    /// \param startTimeMs start time of the run to which the request was sent, see
    ///        TargetEntry::startTimeMs; other runs are not affected
    /// \returns whether this run was not known to be leaving
    bool noteLeaving(const TargetId &id, std::uint64_t startTimeMs, TimePoint now);
    /// Takes the known entries for older than any other, after the store's version has gone back.
    void forgetVersions() { m_readAt.clear(); }
    /// Removes entries that have been missing for too long.
    ///
    /// \returns whether any was removed
    bool expire(TimePoint now);

    // Queries.

    [[nodiscard]] const std::map<TargetId, TargetEntry> &targets() const noexcept
    {
        return m_targets;
    }
    [[nodiscard]] const TargetEntry *find(const TargetId &id) const;
    /// \returns when the run of the target that `entry` describes has first stated that it is
    /// leaving, or nothing
    [[nodiscard]] std::optional<TimePoint> leavingSince(const TargetEntry &entry) const;

private:
    /// Forgets leaving targets that no entry shows while there are too many.
    void boundLeavingTargets();
    /// \returns whether the store recovered from an outage less than RecoveryGrace ago
    [[nodiscard]] bool isInRecoveryGrace(TimePoint now) const;
    void erase(const TargetId &id);

    std::map<TargetId, TargetEntry> m_targets;
    /// Version of the store at which each entry was read.
    std::map<TargetId, RowVersion> m_readAt;
    /// Targets whose rows are missing, and until when their entries are kept.
    std::map<TargetId, TimePoint> m_missing;
    /// Runs of targets, by id and start time, that have stated that they are leaving, and since
    /// when.
    std::map<std::pair<TargetId, std::uint64_t>, TimePoint> m_leaving;
    std::optional<TimePoint> m_lastContact;
    /// When the store recovered from the last outage.
    std::optional<TimePoint> m_recoveredAt;
};

} // namespace bluebell
