#include "gatewayfixture.h"

/// Guards against waiting requests that get no true answer in time when a new configuration drops
/// what they depend on.

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

/// Callers of these streams give up after two seconds without a byte.
constexpr Duration CallersTimeout = 2s;

class DroppedConfiguration : public GatewayTest
{
protected:
    /// Lets a request wait for a model that is being loaded.
    void beginWaiting()
    {
        config = siteConfig(1, 1);
        setConfig(config);
        addTarget("e1", "engines").loadTime = 1200ms;
        addGateway("vm-1");
        ASSERT_TRUE(awaitReady(0));
        sentAt = BootClock::now();
        reply = send(0, "/chat/x", "key-1", ModelZero);
        run(200ms);
        ASSERT_FALSE(reply->result);
    }

    void apply()
    {
        config["Version"] = 2;
        setConfig(config);
        EXPECT_TRUE(runUntil([&] { return reply->result.has_value(); }));
        EXPECT_LT(BootClock::now() - sentAt, CallersTimeout);
    }

    void expectTrueAnswer()
    {
        const auto &engine = *targets.front();
        if (reply->status() == 200) {
            EXPECT_EQ(reply->body(), FiveEvents);
            EXPECT_EQ(engine.runs.size(), 1U);
            return;
        }
        EXPECT_EQ(reply->status(), 503U);
        run(1500ms);
        EXPECT_TRUE(engine.runs.empty());
    }

    nlohmann::json config;
    TimePoint sentAt;
    std::shared_ptr<Reply> reply;
};

} // namespace

TEST_F(DroppedConfiguration, AnswersARequestWhoseRouteIsDropped)
{
    beginWaiting();
    config["Routes"].erase(0);
    apply();
    expectTrueAnswer();
}

TEST_F(DroppedConfiguration, AnswersARequestWhoseServiceIsDropped)
{
    beginWaiting();
    config["Routes"].erase(0);
    config["Routes"].erase(0);
    config["Services"].erase(0);
    apply();
    expectTrueAnswer();
}

TEST_F(DroppedConfiguration, AnswersARequestWhoseModelIsDropped)
{
    beginWaiting();
    config["Services"][0]["Engine"]["Models"] = nlohmann::json::array();
    apply();
    expectTrueAnswer();
}

TEST_F(DroppedConfiguration, AnswersARequestWhoseOrganisationIsDropped)
{
    beginWaiting();
    config["Tenants"][0] = { { "Name", "another" }, { "ApiKeys", { "key-2" } } };
    apply();
    EXPECT_EQ(reply->status(), 401U);
    run(1500ms);
    EXPECT_TRUE(targets.front()->runs.empty());
}

TEST_F(DroppedConfiguration, ARunningRequestKeepsItsRoutesTimeout)
{
    config = siteConfig(1, 1);
    setConfig(config);
    auto &plain = addTarget("p1", "plain");
    plain.behaviour.workDuration = 1500ms;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto running = send(0, "/order/x");
    run(200ms);
    for (const int timeoutMs : { 1000, 20000, 300 }) {
        config["Version"] = config["Version"].get<int>() + 1;
        config["Routes"][2]["TimeoutMs"] = timeoutMs;
        setConfig(config);
        run(100ms);
    }
    EXPECT_TRUE(runUntil([&] { return running->result.has_value(); }));
    EXPECT_EQ(running->status(), 200U);
}
