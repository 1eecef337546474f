#include "gatewayfixture.h"

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

class EvacuationTest : public GatewayTest
{
protected:
    TargetStandIn &addTargetIn(const std::string &zone, const std::string &id)
    {
        auto &it = addTarget(id, "plain");
        it.zone = zone;
        it.publishEntry();
        return it;
    }

    void evacuate(const std::string &zone) { store.put("op", "evacuate/" + zone, "{}"); }

    std::shared_ptr<Reply> ask(std::size_t gateway)
    {
        auto reply = send(gateway, "/order/x");
        EXPECT_TRUE(runUntil([&] { return reply->result.has_value(); }));
        return reply;
    }
};

} // namespace

/// Guards against requests to an evacuated data centre, and against one that is cut there.
TEST_F(EvacuationTest, SendsNoNewRequestToAnEvacuatedDataCentreAndFinishesRunningOnes)
{
    auto &own = addTargetIn("leicester", "p1");
    auto &other = addTargetIn("derby", "p2");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    own.behaviour.workDuration = 1500ms;
    const auto running = send(0, "/order/x");
    ASSERT_TRUE(runUntil([&] { return own.runs.size() == 1; }));
    evacuate("leicester");
    run(500ms);
    for (int n = 0; n < 8; ++n)
        EXPECT_EQ(ask(0)->status(), 200U);
    EXPECT_EQ(own.calls, 1U);
    EXPECT_EQ(other.runs.size(), 8U);
    ASSERT_TRUE(runUntil([&] { return running->result.has_value(); }));
    EXPECT_EQ(running->status(), 200U);
}

TEST_F(EvacuationTest, RefusesAtOnceWhenAllTargetsOfAServiceAreEvacuatedUntilTheRowIsRemoved)
{
    auto &target = addTargetIn("leicester", "p1");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    evacuate("leicester");
    run(500ms);
    const auto sentAt = BootClock::now();
    const auto reply = ask(0);
    EXPECT_LT(BootClock::now() - sentAt, 500ms);
    EXPECT_EQ(reply->status(), 503U);
    EXPECT_FALSE(std::string(reply->result->value().header("Retry-After")).empty());
    EXPECT_EQ(target.calls, 0U);
    store.remove("op", "evacuate/leicester");
    EXPECT_TRUE(runUntil([&] { return ask(0)->status() == 200; }, 3s));
}

/// Guards against a daemon that does not read the store itself and hears of no evacuation.
TEST_F(EvacuationTest, ADaemonThatCannotReadTheStoreHearsOfAnEvacuationFromOthers)
{
    auto &own = addTargetIn("leicester", "p1");
    auto &other = addTargetIn("derby", "p2");
    addGateway("vm-1");
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(0));
    ASSERT_TRUE(awaitReady(1));
    run(1s);
    auto changed = settings[1];
    changed.store = { "127.0.0.1", freePort() };
    processes[1]->daemon.applySettings(changed);
    run(2s);
    evacuate("leicester");
    run(1500ms);
    for (int n = 0; n < 6; ++n)
        EXPECT_EQ(ask(1)->status(), 200U);
    EXPECT_EQ(own.calls, 0U);
    EXPECT_EQ(other.runs.size(), 6U);
}

/// Guards against more requests than a target stands that has just started.
TEST_F(EvacuationTest, AColdTargetGetsFewRequestsAndTheOthersAreRefusedWithItsTime)
{
    auto config = siteConfig(2);
    for (auto &it : config["Services"])
        it["ColdPerS"] = 2;
    setConfig(config);
    auto &target = addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(4s);
    target.coldLeftMs = 20000;
    target.publishEntry();
    run(1500ms);
    std::vector<std::shared_ptr<Reply>> replies;
    for (int n = 0; n < 20; ++n)
        replies.push_back(send(0, "/order/x"));
    run(900ms);
    EXPECT_GE(target.calls, 1U);
    EXPECT_LE(target.calls, 2U);
    target.coldLeftMs = 0;
    target.publishEntry();
    EXPECT_TRUE(runUntil([&] { return ask(0)->status() == 200; }, 3s));
}
