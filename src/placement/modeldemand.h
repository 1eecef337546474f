#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/ledger.h"

#include <cstdint>

/// \file
/// Demand for models that daemons report to the leader, and load estimates that it reports back.

namespace bluebell {

/// Demand for one model or adapter at one daemon.
struct ModelDemand
{
    ServiceId service;
    ReplicaKey key;
    /// Requests waiting for the model or adapter to be loaded.
    std::uint32_t waiting = 0;
    /// Sum of the urgency of the waiting requests; see urgencyOf().
    double urgency = 0;
    /// How long the oldest waiting request has waited.
    Duration oldestWait {};
    /// Recent arrival rate, including requests that did not have to wait.
    double arrivalsPerSecond = 0;
};

/// Number of requests for one model that one daemon has in flight at one target.
struct ModelInFlight
{
    TargetId target;
    ReplicaKey key;
    std::uint32_t count = 0;
};

/// Time until a model that is being loaded can serve requests.
struct LoadEstimate
{
    ServiceId service;
    ModelId model;
    Duration readyIn {};
};

/// \returns the weight of a waiting request of this priority, which is clamped to 0 (most urgent)
/// to 4
///
/// Each step of priority changes the weight by a factor of 3; priority 2 has weight 1.
[[nodiscard]] double urgencyOf(int priority);

} // namespace bluebell
