#pragma once

#include "core/ids.h"
#include "placement/ledger.h"

#include <cstdint>

/// \file
/// Load and unload orders for engines, and their outcomes.

namespace bluebell {

/// A load or unload order for a target.
///
/// The target accepts it only if its sequence still equals `expectedSequence`, so that an order
/// that arrives late cannot overcommit the target's memory.
struct PlacementOrder
{
    TargetId target;
    /// Unix time in milliseconds at which the target's process started. It identifies the run of
    /// the target that the order is for; see TargetEntry::startTimeMs.
    std::uint64_t startTimeMs = 0;
    IntentAction action = IntentAction::Load;
    ReplicaKey key;
    /// Number of orders that the target must have accepted before this one.
    std::uint64_t expectedSequence = 0;

    [[nodiscard]] bool isForAdapter() const noexcept { return !key.adapter.isEmpty(); }
};

/// Outcome of sending an order.
enum class OrderOutcome : std::uint8_t {
    /// The target accepted the order and is executing it.
    Accepted,
    /// The order was completed at once, or there was nothing to do.
    Done,
    /// Rejected: another order is in progress, or the sequence did not match.
    Conflict,
    /// Rejected by the target, or another target now listens on the address.
    Refused,
    /// The connection was not established; the order was not sent.
    NotSent,
    /// No response, or one that does not tell: the target may have accepted the order, or may still
    /// accept it seconds later.
    Unknown,
};

} // namespace bluebell
