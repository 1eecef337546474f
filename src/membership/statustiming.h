#pragma once

#include "core/time.h"

#include <cstddef>

/// \file
/// How often the daemons of a fleet exchange statuses.

namespace bluebell {

/// Intervals and timeouts of the status exchange.
struct StatusTiming
{
    /// Time between two statuses while nothing has changed.
    Duration interval {};
    /// The same for the leader, whose failure must be detected quickly.
    Duration leaderInterval {};
    /// Changes within this time are sent in one status.
    Duration batchDelay {};
    /// A daemon counts as alive for this time after its last status.
    Duration livenessTimeout {};
    /// The content of a status is used for this time.
    Duration statusLifetime {};
};

/// \returns the timing for a fleet of `daemons`. Above 16 daemons the intervals grow in proportion
///          to the fleet, so that each daemon receives a constant number of statuses per second.
[[nodiscard]] StatusTiming statusTimingFor(std::size_t daemons) noexcept;

} // namespace bluebell
