#include "routing/loadspreading.h"

#include <gtest/gtest.h>

using namespace bluebell;

/// \file
/// Tests of the distribution of requests over engines whose loads are known with a delay.

namespace {

constexpr double Slots = 16;

/// \returns how many of 1000 requests each candidate gets
std::vector<int> distribute(const std::vector<SpreadCandidate> &candidates, double arrivals)
{
    constexpr int Requests = 1000;
    std::vector<int> chosen(candidates.size());
    for (int n = 0; n < Requests; ++n)
        ++chosen[chooseSpread(candidates, arrivals, n / static_cast<double>(Requests))];
    return chosen;
}

} // namespace

// Load: an engine has just loaded a busy model, and all daemons learn that it is idle at once.
// Guards against it getting every request until the daemons know its load: before, it got 20
// requests within 0.3 s, and reading their prompts held up all of its streams for half a second.
TEST(LoadSpreading, AnEngineThatHasJustLoadedAModelDoesNotGetAllOfItsRequests)
{
    const auto chosen = distribute(
            { { 14 / Slots, Slots }, { 11 / Slots, Slots }, { 6 / Slots, Slots }, { 0, Slots } },
            16);
    // The idle engine and the one with 6 requests come to 11 each.
    EXPECT_NEAR(chosen[3], 688, 2);
    EXPECT_NEAR(chosen[2], 312, 2);
    EXPECT_EQ(chosen[0], 0);
}

// Guards against few requests reaching an engine that is more loaded than another one will be.
TEST(LoadSpreading, FewRequestsReachTheLeastLoadedEngineOnly)
{
    const auto chosen = distribute({ { 8 / Slots, Slots }, { 3 / Slots, Slots } }, 3);
    EXPECT_EQ(chosen[0], 0);
}

// Guards against engines with few slots getting as many requests as those with many.
TEST(LoadSpreading, EqualCostsAreSharedBySlots)
{
    const auto chosen = distribute({ { 0.5, 30 }, { 0.5, 10 } }, 8);
    EXPECT_NEAR(chosen[0], 750, 2);
}
