#include "gatewayfixture.h"

/// Guards against refusals that belong to another request: they promise nothing to this one.

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

class StaleRefusals : public GatewayTest
{
protected:
    /// Adds two targets that refuse every request with the id of another attempt.
    void addTargets()
    {
        for (const auto *id : { "p1", "p2" }) {
            auto &it = addTarget(id, "plain").behaviour;
            it.isFull = true;
            it.usesWrongAttemptId = true;
        }
        addGateway("vm-1");
    }

    [[nodiscard]] std::size_t refusals() const
    {
        return targets[0]->refusals + targets[1]->refusals;
    }
};

} // namespace

TEST_F(StaleRefusals, ANonIdempotentRequestIsNotSentAgainNorToldThatItDidNotRun)
{
    addTargets();
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/order/x"), 502U);
    EXPECT_EQ(refusals(), 1U);
}

TEST_F(StaleRefusals, AnIdempotentRequestCountsThemAsRuns)
{
    addTargets();
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/look/x"), 502U);
    EXPECT_EQ(refusals(), 2U);
}

TEST_F(StaleRefusals, ARefusalWithoutAnIdIsTheTargetsOwn)
{
    addTargets();
    targets[0]->behaviour.usesWrongAttemptId = false;
    targets[0]->behaviour.omitsAttemptId = true;
    targets[1]->behaviour = {};
    ASSERT_TRUE(awaitReady(0));
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_EQ(targets[1]->runs.size(), 3U);
}
