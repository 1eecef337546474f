#include "gatewayfixture.h"

#include "rate/sharedrate.h"

/// Guards against requests that are denied because their key is held under another name than at
/// their arrival, and against targets that get the former name.

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

using nlohmann::json;

/// Tokens that a request counts for, see ModelZero.
constexpr int RequestTokens = 30;

class MovedKeys : public GatewayTest
{
protected:
    /// One model only, so that none is unloaded for another.
    MovedKeys() { setTenants(json::array({ tenant("first", { "key-1" }) })); }

    static json tenant(const std::string &name, const std::vector<std::string> &keys)
    {
        return { { "Name", name }, { "ApiKeys", keys } };
    }

    /// \returns a tenant with hardly any rate whose bucket starts with these tokens
    static json limited(const std::string &name, const std::vector<std::string> &keys, int tokens)
    {
        auto it = tenant(name, keys);
        it["Unit"] = "token_count";
        it["RatePerS"] = 1;
        it["Burst"] = tokens / SharedRate::InitialFraction;
        return it;
    }

    void setTenants(json tenants)
    {
        auto config = siteConfig(++m_version, 1);
        config["Tenants"] = std::move(tenants);
        setConfig(config);
    }

    TargetStandIn &addSlowEngine()
    {
        auto &it = addTarget("e1", "engines");
        it.loadTime = 1500ms;
        return it;
    }

    void start()
    {
        addGateway("vm-1");
        ASSERT_TRUE(awaitReady(0));
    }

    /// Sends a request that waits until its model is loaded.
    std::shared_ptr<Reply> sendWaiting()
    {
        auto reply = send(0, "/chat/x", "key-1", ModelZero);
        run(300ms);
        return reply;
    }

    [[nodiscard]] ::testing::AssertionResult awaitReply(const std::shared_ptr<Reply> &reply)
    {
        return runUntil([&] { return reply->result.has_value(); });
    }

    static std::string organisationOf(const TargetStandIn &target)
    {
        for (const auto &it : target.lastHeaders)
            if (it.name == "X-Tenant")
                return it.value;
        return {};
    }

private:
    std::uint64_t m_version = 1;
};

} // namespace

TEST_F(MovedKeys, AWaitingRequestIsServedUnderTheNewNameOfItsOrganisation)
{
    auto &engine = addSlowEngine();
    start();
    const auto reply = sendWaiting();
    setTenants(json::array({ tenant("second", { "key-1" }) }));
    ASSERT_TRUE(awaitReply(reply));
    EXPECT_EQ(reply->status(), 200U);
    EXPECT_EQ(organisationOf(engine), "second");
}

TEST_F(MovedKeys, AWaitingRequestIsServedAfterTwoRenamesAndOneBack)
{
    auto &engine = addSlowEngine();
    start();
    const auto reply = sendWaiting();
    for (const auto *name : { "second", "third", "first" }) {
        setTenants(json::array({ tenant(name, { "key-1" }) }));
        run(200ms);
    }
    ASSERT_TRUE(awaitReply(reply));
    EXPECT_EQ(reply->status(), 200U);
    EXPECT_EQ(organisationOf(engine), "first");
}

TEST_F(MovedKeys, AWaitingRequestIsServedForAnOrganisationThatTakesTheKeysOfARemovedOne)
{
    setTenants(json::array({ tenant("first", { "key-1" }), tenant("other", { "key-2" }) }));
    auto &engine = addSlowEngine();
    start();
    const auto reply = sendWaiting();
    setTenants(json::array({ tenant("other", { "key-2", "key-1" }) }));
    ASSERT_TRUE(awaitReply(reply));
    EXPECT_EQ(reply->status(), 200U);
    EXPECT_EQ(organisationOf(engine), "other");
}

TEST_F(MovedKeys, AWaitingRequestNeedsNoKeyWhenNoneIsNeededAnyMore)
{
    auto &engine = addSlowEngine();
    start();
    const auto reply = sendWaiting();
    setTenants(json::array());
    ASSERT_TRUE(awaitReply(reply));
    EXPECT_EQ(reply->status(), 200U);
    EXPECT_EQ(organisationOf(engine), "");
}

TEST_F(MovedKeys, AWaitingRequestIsDeniedOnlyWhenNobodyHoldsItsKey)
{
    auto &engine = addSlowEngine();
    start();
    const auto reply = sendWaiting();
    setTenants(json::array({ tenant("first", { "key-2" }) }));
    ASSERT_TRUE(awaitReply(reply));
    EXPECT_EQ(reply->status(), 401U);
    EXPECT_TRUE(engine.runs.empty());
}

TEST_F(MovedKeys, AWaitingRequestTakesTheRateOfTheOrganisationThatHoldsItsKeyNow)
{
    setTenants(json::array({ limited("first", { "key-1" }, 2 * RequestTokens),
                             limited("other", { "key-2" }, RequestTokens / 3) }));
    auto &engine = addSlowEngine();
    start();
    const auto reply = sendWaiting();
    setTenants(json::array({ limited("first", { "key-3" }, 2 * RequestTokens),
                             limited("other", { "key-2", "key-1" }, RequestTokens / 3) }));
    ASSERT_TRUE(awaitReply(reply));
    EXPECT_EQ(reply->status(), 429U);
    EXPECT_TRUE(engine.runs.empty());
    // What the request had taken is back, so both requests of the burst are admitted.
    run(2s);
    EXPECT_EQ(request(0, "/chat/x", "key-3", ModelZero), 200U);
    EXPECT_EQ(request(0, "/chat/x", "key-3", ModelZero), 200U);
    EXPECT_EQ(request(0, "/chat/x", "key-3", ModelZero), 429U);
}

TEST_F(MovedKeys, ANewNameBringsNoNewBurst)
{
    setTenants(json::array({ limited("first", { "key-1" }, 2 * RequestTokens) }));
    auto &engine = addTarget("e1", "engines", { "m0" });
    start();
    EXPECT_EQ(request(0, "/chat/x", "key-1", ModelZero), 200U);
    EXPECT_EQ(request(0, "/chat/x", "key-1", ModelZero), 200U);
    EXPECT_EQ(request(0, "/chat/x", "key-1", ModelZero), 429U);
    setTenants(json::array({ limited("second", { "key-1" }, 2 * RequestTokens) }));
    run(500ms);
    EXPECT_EQ(request(0, "/chat/x", "key-1", ModelZero), 429U);
    EXPECT_EQ(engine.runs.size(), 2U);
}

TEST_F(MovedKeys, AStreamThatResumesElsewhereDoesSoUnderTheNewName)
{
    auto &first = addTarget("e1", "engines", { "m0" });
    auto &second = addTarget("e2", "engines", { "m0" });
    for (auto *it : { &first, &second }) {
        it->behaviour.workDuration = 150ms;
        it->behaviour.cutAfterEvents = 4;
    }
    start();
    run(300ms);
    const auto reply = send(0, "/review/x", "key-1", ModelZero);
    ASSERT_TRUE(runUntil([&] { return first.runs.size() + second.runs.size() > 0; }));
    auto &resumed = first.runs.empty() ? first : second;
    auto &cut = first.runs.empty() ? second : first;
    resumed.behaviour.cutAfterEvents = 0;
    setTenants(json::array({ tenant("second", { "key-1" }) }));
    ASSERT_TRUE(awaitReply(reply));
    EXPECT_EQ(reply->body(), FiveEvents);
    EXPECT_EQ(organisationOf(cut), "first");
    EXPECT_EQ(organisationOf(resumed), "second");
}

TEST_F(MovedKeys, ARunningStreamIsNotCutEarlier)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    // The stream takes longer than three quarters of its route's timeout, which a request whose key
    // was withdrawn would get.
    engine.behaviour.workDuration = 800ms;
    start();
    run(300ms);
    const auto reply = send(0, "/chat/x", "key-1", ModelZero);
    run(200ms);
    setTenants(json::array({ tenant("second", { "key-1" }) }));
    ASSERT_TRUE(awaitReply(reply));
    EXPECT_EQ(reply->body(), FiveEvents);
    EXPECT_EQ(organisationOf(engine), "first");
}
