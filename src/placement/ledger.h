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
/// What is decided and what is seen about the memory of targets.

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

/// Reads `MODEL` or `MODEL:ADAPTER`.
[[nodiscard]] ReplicaKey parseReplicaKey(std::string_view text);

/// Names an order to a target; a repeat of the order carries the same id.
using IntentId = Id<struct IntentTag>;

enum class IntentAction : std::uint8_t {
    Load,
    Unload,
};

/// One replica in a target's ledger. It holds its memory from the commit of the decision to load
/// until the target is seen without it.
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

/// Row of one target: every replica that holds or may hold memory there.
using Ledger = std::map<ReplicaKey, LedgerEntry>;

/// Row of one model or adapter: the targets that hold or may hold a replica.
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
    /// Requests that run on the replica.
    std::uint32_t running = 0;
};

/// Where a checkpoint is cached, from near to far.
enum class CacheTier : std::uint8_t {
    Memory,
    Disk,
    Remote,
};

/// A target's own report.
struct TargetReport
{
    IncarnationId incarnation;
    /// Rises with every report of one incarnation.
    std::uint64_t sequence = 0;
    /// The target asks for no new work.
    bool isLeaving = false;
    Bytes memory = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::vector<ReportedReplica> replicas;
    std::map<ModelId, CacheTier> tiers;
    /// Intents that the target refused or failed to carry out, most recent last.
    std::vector<IntentId> refused;
};

} // namespace bluebell
