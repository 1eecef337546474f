#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "membership/roles.h"
#include "rules/rule.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// Decided and reported use of the targets' memory.

namespace bluebell {

/// A model, or a model with one of its adapters.
struct ReplicaKey
{
    ModelId model;
    /// Empty for the model itself.
    AdapterId adapter;

    friend auto operator<=>(const ReplicaKey &, const ReplicaKey &) = default;
};

/// \returns `MODEL` or `MODEL:ADAPTER`
[[nodiscard]] std::string toString(const ReplicaKey &key);

/// Parses `MODEL` or `MODEL:ADAPTER`; without a colon the adapter is empty.
[[nodiscard]] ReplicaKey parseReplicaKey(std::string_view text);

/// Identifies an order to a target; a resent order carries the same id.
using IntentId = Id<struct IntentTag>;

enum class IntentAction : std::uint8_t {
    Load,
    Unload,
};

/// One replica in a target's ledger. Its memory is reserved from the commit of the decision to load
/// until a report shows that the target no longer holds the replica.
struct LedgerEntry
{
    IntentId intent;
    IntentAction action = IntentAction::Load;
    Bytes bytes = 0;
    /// The fencing number under which the action was decided.
    Epoch epoch = 0;
    /// The run of the target for which the action was decided.
    IncarnationId incarnation;

    friend bool operator==(const LedgerEntry &, const LedgerEntry &) = default;
};

/// Row of one target: every replica that holds, or may hold, memory there.
using Ledger = std::map<ReplicaKey, LedgerEntry>;

/// Row of one model or adapter: the targets that hold, or may hold, a replica.
using ReplicaPlaces = std::set<TargetId>;

enum class ReplicaState : std::uint8_t {
    Loading,
    Resident,
    Unloading,
};

/// A replica as its target reports it.
struct ReportedReplica
{
    ReplicaKey key;
    ReplicaState state = ReplicaState::Loading;
    Bytes bytes = 0;
    IntentId intent;
    /// Requests running on the replica.
    std::uint32_t running = 0;
};

/// Where the weights of a model are stored, from fastest to slowest to load.
enum class CacheTier : std::uint8_t {
    Memory,
    Disk,
    Remote,
};

/// A target's own report.
struct TargetReport
{
    IncarnationId incarnation;
    /// Increases with every report of one incarnation.
    std::uint64_t sequence = 0;
    /// Whether the target is draining: it must get no new loads.
    bool isLeaving = false;
    /// Memory for replicas; 0 when the target does not state it.
    Bytes memory = 0;
    /// Requests running at the target.
    std::uint32_t running = 0;
    /// Requests queued at the target.
    std::uint32_t waiting = 0;
    std::vector<ReportedReplica> replicas;
    /// Where the target can load each model from; a model that is not listed is Remote.
    std::map<ModelId, CacheTier> tiers;
    /// Intents that the target refused or failed to execute, most recent last.
    std::vector<IntentId> refused;
};

} // namespace bluebell
