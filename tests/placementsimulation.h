#pragma once

#include "placement/loadplanner.h"
#include "rules/parser.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

/// \file
/// Simulation of load planners with a fake table and fake targets, in virtual time and with faults.

namespace bluebell::tests {

/// The kinds of faults that a simulation injects at random.
struct PlacementFaults
{
    /// A successor takes over while the former role holder continues to act for a while.
    bool takeovers = false;
    /// Some orders arrive up to 30 s after they were sent.
    bool lateOrders = false;
    /// Some orders arrive twice or not at all.
    bool losesOrders = false;
    bool targetsRestart = false;
    bool loadsFail = false;
    /// Some commits take effect, but their replies are lost.
    bool losesReplies = false;
    bool targetsLeave = false;
    /// Some loads from the weight store take ten times as long.
    bool slowsStore = false;
};

/// Settings of one simulation.
struct PlacementScenario
{
    std::size_t targets = 4;
    std::size_t models = 12;
    std::size_t daemons = 8;
    Duration length = std::chrono::seconds(120);
    Duration loadTime = std::chrono::seconds(2);
    /// Request bursts per second over all models; one burst in five has six requests, others one.
    double requests = 2;
    bool checksFencing = true;
    PlacementKind placement = PlacementKind::TierAware;
    PlacementFaults faults;
    std::uint64_t seed = 1;
};

/// Results of one simulation.
struct PlacementOutcome
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t loads = 0;
    /// Number of simulation steps and targets at which a target held more than its memory.
    std::uint64_t overcommitted = 0;
    /// Number of simulation steps and models at which more replicas existed than the rules allow.
    std::uint64_t tooManyReplicas = 0;
    /// Waiting times of requests whose model was not resident on arrival.
    std::vector<Duration> coldStarts;
    /// Replica-seconds during which a resident replica ran no requests.
    double idleSeconds = 0;
};

/// Runs the scenario with load planners.
[[nodiscard]] PlacementOutcome runPlacementSimulation(const PlacementScenario &scenario);

/// Runs the same requests without a planner: every daemon loads what its own requests need, on the
/// target with the least memory in use.
[[nodiscard]] PlacementOutcome runUncoordinatedLoads(const PlacementScenario &scenario);

} // namespace bluebell::tests
