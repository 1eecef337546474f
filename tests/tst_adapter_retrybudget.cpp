#include "gatewayfixture.h"

using namespace bluebell;
using namespace bluebell::testing;

namespace {

class RetryBudgetOfAGateway : public GatewayTest
{
};

} // namespace

/// Regression: each retry was taken twice, and the target's own response was lost in between.
TEST_F(RetryBudgetOfAGateway, IsChargedOnceAndTheTargetsLastResponseIsKept)
{
    auto &first = addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    first.behaviour.failureStatus = 500;
    second.behaviour.failureStatus = 500;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    for (int n = 0; n < 4; ++n)
        EXPECT_EQ(request(0, "/look/x"), 500U) << n;
    EXPECT_EQ(first.runs.size() + second.runs.size(), 8U);
    for (int n = 0; n < 10; ++n)
        EXPECT_EQ(request(0, "/look/x"), 500U) << n;
}
