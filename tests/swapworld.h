#pragma once

#include "core/time.h"
#include "site/siteconfig.h"

#include <chrono>
#include <cstddef>

/// \file
/// A small world of engines and callers in virtual time, in which policies of loading are played.

namespace bluebell::tests {

/// The load and the engines, by default those of Needlepoint.
struct SwapWorldSettings
{
    unsigned seed = 1;
    int engines = 9;
    int models = 50;
    /// The first of the models, of which `busyNow` at a time are asked for by live chat.
    int busyModels = 5;
    int busyNow = 2;
    /// The last of the models, which only the weight store has at the start.
    int atHandNowhere = 8;
    Megabytes memory = 200000;
    double chatPerSecond = 29.6;
    double rarePerSecond = 4.47;
    /// Rare models are asked for at twice the rate within this time.
    Duration burstBegin = std::chrono::seconds(9);
    Duration burstEnd = std::chrono::seconds(15);
    /// The busy models change each time.
    Duration shiftEvery = std::chrono::seconds(12);
    Duration lead = std::chrono::seconds(10);
    Duration length = std::chrono::seconds(44);
    double storeLoadsPerSecond = 3.3;
    std::size_t storeFullSpeed = 4;
};

/// How callers of one kind fared.
struct CallerReport
{
    int asked = 0;
    int onTime = 0;
    int late = 0;
    int gone = 0;

    [[nodiscard]] double onTimeShare() const { return asked == 0 ? 1 : onTime / double(asked); }
};

struct SwapReport
{
    CallerReport chat;
    CallerReport rare;
    int orders = 0;
    int refusedOrders = 0;
    int storeLoads = 0;
    /// Most loads from the store that began within five seconds.
    int mostStoreLoads = 0;
    /// Accepted orders that an engine had no memory for.
    int overcommitted = 0;
};

/// Plays the product's planner.
[[nodiscard]] SwapReport playPlanner(const SwapWorldSettings &settings);

/// Plays the baseline that serves the model that has waited longest first, on the engine with the
/// fewest running requests, whatever that engine has at hand.
[[nodiscard]] SwapReport playLeastLoaded(const SwapWorldSettings &settings);

} // namespace bluebell::tests
