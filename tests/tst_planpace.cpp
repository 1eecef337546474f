#include "placement/planpace.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

/// Regression: status messages of 83 daemons triggered the leader's planner without a pause, which
/// delayed its own requests and configuration updates by seconds.
TEST(PlanPace, PlanningTakesAtMostAQuarterOfTheTime)
{
    for (const Duration took : { Duration(200us), Duration(4ms), Duration(30ms) }) {
        const auto share = toSeconds(took) / toSeconds(took + pauseAfterPlan(took));
        EXPECT_LE(share, 0.25 + 1e-9);
    }
}

TEST(PlanPace, PauseIsBounded)
{
    EXPECT_LE(pauseAfterPlan(5s), 100ms);
    EXPECT_EQ(pauseAfterPlan(-1ms), Duration::zero());
}
