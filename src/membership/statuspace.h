#pragma once

#include "core/time.h"

#include <cstddef>

/// \file
/// How often the daemons of a fleet exchange statuses.

namespace bluebell {

/// Intervals and timeouts of the status exchange.
struct StatusPace
{
    /// Time between two statuses while nothing has changed.
    Duration every {};
    /// The same for the leader, whose failure must be detected quickly.
    Duration holderEvery {};
    /// Changes within this time are sent in one status.
    Duration gather {};
    /// A daemon counts as alive for this time after its last status.
    Duration heardFor {};
    /// The content of a status is used for this time.
    Duration validFor {};
};

/// \returns the timing for a fleet of `daemons`. Above 16 daemons the intervals grow in proportion
///          to the fleet, so that each daemon receives a constant number of statuses per second.
[[nodiscard]] StatusPace statusPaceOf(std::size_t daemons) noexcept;

} // namespace bluebell
