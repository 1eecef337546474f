#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/ledger.h"

#include <cstdint>

/// \file
/// What daemons tell the holder of the role of the models that are asked for, and what it tells
/// them.

namespace bluebell {

/// What one daemon tells of one model or adapter.
struct ModelDemand
{
    ServiceId service;
    ReplicaKey key;
    /// Requests that wait for it to be loaded.
    std::uint32_t waiting = 0;
    /// Sum of the urgency of those requests; see urgencyOf().
    double urgency = 0;
    /// How long the first of them has waited.
    Duration oldestWait {};
    /// Requests a second in the last seconds, whether they waited or not.
    double arrivalsPerSecond = 0;
};

/// Requests of one model that one daemon has at one target.
struct ModelInFlight
{
    TargetId target;
    ReplicaKey key;
    std::uint32_t count = 0;
};

/// When a model that is being loaded can serve.
struct LoadEstimate
{
    ServiceId service;
    ModelId model;
    Duration readyIn {};
};

/// \returns the weight of a waiting request by its rank; rank 0 is the most urgent
[[nodiscard]] double urgencyOf(int priority);

} // namespace bluebell
