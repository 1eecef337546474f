#include "placement/planpace.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

/// Regression: a holder that was woken by each of 83 daemons planned without a pause, and its own
/// requests and configuration came seconds late.
TEST(PlanPace, APlanTakesAtMostAQuarterOfTheTime)
{
    for (const Duration took : { Duration(200us), Duration(4ms), Duration(30ms) }) {
        const auto share = toSeconds(took) / toSeconds(took + pauseAfterPlan(took));
        EXPECT_LE(share, 0.25 + 1e-9);
    }
}

TEST(PlanPace, NobodyWaitsLongForAPlan)
{
    EXPECT_LE(pauseAfterPlan(5s), 100ms);
    EXPECT_EQ(pauseAfterPlan(-1ms), Duration::zero());
}
