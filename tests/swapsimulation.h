#pragma once

#include "core/time.h"
#include "site/siteconfig.h"

#include <chrono>
#include <cstddef>

/// \file
/// Simulation of engines and callers in virtual time, to compare loading policies.

namespace bluebell::tests {

/// Engines and request load; the defaults are those of the Needlepoint site.
struct SwapSimulationSettings
{
    unsigned seed = 1;
    int engines = 9;
    int models = 50;
    /// Number of models used by live chat, the first ones; chat uses `busyNow` of them at a time.
    int busyModels = 5;
    int busyNow = 2;
    /// Number of models that only the weight store has at the start, the last ones.
    int storeOnlyModels = 8;
    Megabytes memory = 200000;
    double chatPerSecond = 29.6;
    double rarePerSecond = 4.47;
    /// Requests for rare models arrive at twice the rate from `burstBegin` to `burstEnd`.
    Duration burstBegin = std::chrono::seconds(9);
    Duration burstEnd = std::chrono::seconds(15);
    /// Interval at which the set of busy models shifts by one.
    Duration shiftInterval = std::chrono::seconds(12);
    /// Time before the first requests.
    Duration warmUp = std::chrono::seconds(10);
    Duration length = std::chrono::seconds(44);
    /// Smallest and largest model; with 0 the sizes are those of the Needlepoint site.
    Megabytes smallestModel = 0;
    Megabytes largestModel = 0;
    /// Memory and disk for copies of one engine; with 0 the memory has two copies and the disk has
    /// room for all models.
    Megabytes hostMemory = 0;
    Megabytes disk = 0;
    /// Engines that have each model on their disk at the start; with 0 as at the Needlepoint site.
    int diskCopies = 0;
    Duration storeLoad = std::chrono::seconds(6);
    /// Shortest and longest load from an engine's disk and from its memory, by model.
    Duration shortestDiskLoad = std::chrono::milliseconds(550);
    Duration longestDiskLoad = std::chrono::milliseconds(550);
    Duration shortestMemoryLoad = std::chrono::milliseconds(440);
    Duration longestMemoryLoad = std::chrono::milliseconds(440);
    Duration chatGoal = std::chrono::milliseconds(250);
    Duration rareGoal = std::chrono::milliseconds(2500);
    /// Requests of a second kind for the busy models, and their goal.
    double secondPerSecond = 0;
    Duration secondGoal = std::chrono::milliseconds(1500);
    /// Load starts that the weight store allows per second.
    double storeLoadsPerSecond = 3.3;
    /// Concurrent loads from the weight store that run at full speed.
    std::size_t storeFullSpeed = 4;
};

/// \returns the larger deployment: 90 engines with little memory and few weight store loads at full
/// speed, and half of the value in requests for 248 rare models
[[nodiscard]] SwapSimulationSettings largeSite();

/// Results of the requests of one kind of caller.
struct CallerReport
{
    /// Number of requests sent.
    int requestCount = 0;
    int onTime = 0;
    int late = 0;
    /// Requests whose caller gave up waiting.
    int timedOut = 0;

    [[nodiscard]] double onTimeShare() const
    {
        return requestCount == 0 ? 1 : onTime / double(requestCount);
    }
};

struct SwapSimulationReport
{
    CallerReport chat;
    CallerReport second;
    CallerReport rare;
    int orders = 0;
    int refusedOrders = 0;
    int storeLoads = 0;
    /// Maximum number of loads from the weight store that started within 5 s.
    int maxStoreLoads = 0;
    /// Accepted loads that exceeded the memory of their engine.
    int overcommitted = 0;
    /// Models without a copy at any engine at the end.
    int uncovered = 0;
};

/// Simulates SwapPlanner.
[[nodiscard]] SwapSimulationReport simulatePlanner(const SwapSimulationSettings &settings);

/// Simulates a baseline that loads the model with the longest waiting request first, on the engine
/// with the fewest running requests, whether or not that engine has a local copy.
[[nodiscard]] SwapSimulationReport simulateLeastLoaded(const SwapSimulationSettings &settings);

} // namespace bluebell::tests
