#pragma once

#include "core/ids.h"
#include "placement/ledger.h"

#include <cstdint>

/// \file
/// Orders to engines, and what becomes of them.

namespace bluebell {

/// An order for a target. It takes effect only if no other order was accepted in between, so that a
/// late order cannot overcommit the target's memory.
struct PlacementOrder
{
    TargetId target;
    std::uint64_t born = 0;
    IntentAction action = IntentAction::Load;
    ReplicaKey key;
    /// Orders that the target must have accepted before.
    std::uint64_t expectedSequence = 0;

    [[nodiscard]] bool isForAdapter() const noexcept { return !key.adapter.isEmpty(); }
};

/// What became of an order.
enum class OrderOutcome : std::uint8_t {
    /// It is being carried out.
    Accepted,
    /// It is done, or there was nothing to do.
    Done,
    /// Another order is under way or was accepted before.
    Conflict,
    /// The target does not take it, or another target has the address.
    Refused,
    /// The connection was not established; the order was not sent.
    NotSent,
    /// No answer: it may have been accepted, or be accepted seconds later.
    Unknown,
};

} // namespace bluebell
