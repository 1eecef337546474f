#include "gatewayfixture.h"

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

class StopOfAGateway : public GatewayTest
{
};

} // namespace

TEST_F(StopOfAGateway, ARequestThatCannotEndInTimeIsAnsweredBeforeTheProcessEnds)
{
    auto &plain = addTarget("p1", "plain");
    plain.behaviour.workDuration = 4500ms;
    auto &daemon = addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto reply = send(0, "/order/x");
    ASSERT_TRUE(runUntil([&] { return !plain.runs.empty(); }));
    daemon.requestStop();
    ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }));
    EXPECT_EQ(reply->status(), 502U);
    EXPECT_NE(reply->body().find("outcome_unknown"), std::string::npos);
}
