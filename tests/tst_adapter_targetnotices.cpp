#include "gatewayfixture.h"

#include <utility>

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

class TargetNoticesTest : public GatewayTest
{
protected:
    /// Sends a request, which the target with the lower cost gets.
    ///
    /// \returns that target and the other one
    std::pair<TargetStandIn &, TargetStandIn &> inOrderOfCost(TargetStandIn &a, TargetStandIn &b,
                                                              const std::string &path,
                                                              std::vector<HttpHeader> headers = {})
    {
        const auto runsBefore = a.runs.size();
        EXPECT_EQ(request(0, path, "key-1", std::move(headers)), 200U);
        return a.runs.size() > runsBefore ? std::pair<TargetStandIn &, TargetStandIn &>(a, b)
                                          : std::pair<TargetStandIn &, TargetStandIn &>(b, a);
    }
};

} // namespace

TEST_F(TargetNoticesTest, SendsNoRequestToATargetThatSaysItLeaves)
{
    auto &a = addTarget("p1", "plain");
    auto &b = addTarget("p2", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto byCost = inOrderOfCost(a, b, "/order/x");
    auto &first = byCost.first;
    auto &second = byCost.second;
    first.behaviour.isLeaving = true;
    // Each heartbeat says that the target is ready.
    for (int n = 0; n < 12; ++n) {
        EXPECT_EQ(request(0, "/order/x"), 200U);
        first.publishEntry();
        run(30ms);
    }
    EXPECT_EQ(first.runs.size(), 2U);
    EXPECT_EQ(second.runs.size(), 11U);
}

TEST_F(TargetNoticesTest, SendsNoRequestToALeavingTargetDuringAStoreOutage)
{
    auto &first = addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    store.faults().outage = true;
    run(300ms);
    first.behaviour.isLeaving = true;
    EXPECT_EQ(request(0, "/order/x"), 200U);
    const auto sentAt = BootClock::now();
    EXPECT_EQ(request(0, "/order/x"), 503U);
    EXPECT_LT(BootClock::now() - sentAt, 1s);
    EXPECT_EQ(first.runs.size(), 1U);
}

TEST_F(TargetNoticesTest, ALeavingTargetIsMarkedByTheHeadOfAStreamAndFinishesIt)
{
    auto &a = addTarget("e1", "engines", { "m0" });
    auto &b = addTarget("e2", "engines", { "m0" });
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    const auto byCost = inOrderOfCost(a, b, "/chat/x", ModelZero);
    auto &first = byCost.first;
    auto &second = byCost.second;
    first.behaviour.isLeaving = true;
    first.behaviour.workDuration = 200ms;
    const auto running = send(0, "/chat/x", "key-1", ModelZero);
    ASSERT_TRUE(runUntil([&] { return first.runs.size() == 2; }));
    run(300ms);
    ASSERT_FALSE(running->result.has_value());
    for (int n = 0; n < 8; ++n)
        (void)send(0, "/chat/x", "key-1", ModelZero);
    ASSERT_TRUE(runUntil([&] { return running->result.has_value(); }));
    EXPECT_EQ(running->body(), FiveEvents);
    EXPECT_EQ(first.runs.size(), 2U);
    EXPECT_EQ(second.runs.size(), 8U);
}

TEST_F(TargetNoticesTest, ARefusalOfALeavingTargetMarksIt)
{
    auto &a = addTarget("p1", "plain");
    auto &b = addTarget("p2", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto byCost = inOrderOfCost(a, b, "/order/x");
    auto &first = byCost.first;
    auto &second = byCost.second;
    first.behaviour.isLeaving = true;
    first.behaviour.isFull = true;
    const auto calls = first.calls;
    EXPECT_EQ(request(0, "/order/x"), 200U);
    first.behaviour.isFull = false;
    run(200ms);
    for (int n = 0; n < 8; ++n)
        EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_EQ(first.calls, calls + 1);
    EXPECT_EQ(second.runs.size(), 9U);
}

TEST_F(TargetNoticesTest, AReportOfALeavingEngineMarksIt)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.behaviour.isLeaving = true;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    ASSERT_TRUE(runUntil([&] { return engine.calls > 0; }));
    run(200ms);
    EXPECT_EQ(request(0, "/chat/x", "key-1", ModelZero), 503U);
    EXPECT_TRUE(engine.runs.empty());
}

TEST_F(TargetNoticesTest, TheNextRunOfALeavingTargetGetsRequests)
{
    auto &first = addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    first.behaviour.isLeaving = true;
    EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_EQ(request(0, "/order/x"), 503U);
    first.behaviour.isLeaving = false;
    first.startTimeMs = 2000;
    first.publishEntry();
    EXPECT_TRUE(runUntil([&] { return request(0, "/order/x") == 200; }, 3s));
    EXPECT_EQ(request(0, "/order/x"), 200U);
}
