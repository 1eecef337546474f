#pragma once

#include "placement/planner.h"
#include "rules/parser.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

/// \file
/// Fakes of the table and of targets around load planners, with virtual time and faults.

namespace bluebell::tests {

struct PlacementFaults
{
    /// A successor takes over while the old holder goes on for a while.
    bool takeovers = false;
    /// Orders arrive late, up to many seconds after they were sent.
    bool lateOrders = false;
    /// Orders arrive twice or not at all.
    bool losesOrders = false;
    bool targetsRestart = false;
    bool loadsFail = false;
    /// A commit takes effect, but its reply is lost.
    bool losesReplies = false;
    bool targetsLeave = false;
    /// The weight store takes ten times as long, now and then.
    bool slowsStore = false;
};

struct PlacementScenario
{
    std::size_t targets = 4;
    std::size_t models = 12;
    std::size_t daemons = 8;
    Duration length = std::chrono::seconds(120);
    Duration loadTime = std::chrono::seconds(2);
    /// Requests a second over all models.
    double requests = 2;
    bool checksFencing = true;
    PlacementKind placement = PlacementKind::TierAware;
    PlacementFaults faults;
    std::uint64_t seed = 1;
};

struct PlacementOutcome
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t loads = 0;
    /// Times at which a target held more than its memory.
    std::uint64_t overcommitted = 0;
    /// Times at which more replicas were loaded than the rules allow.
    std::uint64_t tooManyReplicas = 0;
    /// Waits of requests that met a cold model.
    std::vector<Duration> coldStarts;
    /// Replica-seconds during which a resident replica ran nothing.
    double idleSeconds = 0;
};

[[nodiscard]] PlacementOutcome runPlacementWorld(const PlacementScenario &scenario);

/// The same requests where every daemon loads for itself on the least loaded target.
[[nodiscard]] PlacementOutcome runUncoordinatedLoads(const PlacementScenario &scenario);

} // namespace bluebell::tests
