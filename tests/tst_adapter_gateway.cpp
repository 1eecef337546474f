#include "gatewayfixture.h"
#include "relay/relaygroups.h"
#include "relay/subscription.h"

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

TEST_F(GatewayTest, RelaysEachKindOfRequest)
{
    addTarget("e1", "engines", { "m0" });
    auto &plain = addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/chat/x", "key-1", ModelZero), 200U);
    EXPECT_EQ(lastBody, FiveEvents);
    EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_EQ(lastBody, "answer of p1");
    EXPECT_EQ(request(0, "/look/x"), 200U);
    EXPECT_EQ(request(0, "/open/x", ""), 200U);
    EXPECT_EQ(plain.runs.size(), 3U);
}

TEST_F(GatewayTest, DoesNotForwardTheCallersKey)
{
    auto &plain = addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/look/x", "key-1", { { "X-Tenant", "forged" }, { "X-Hold", "7" } }),
              200U);
    HttpRequest seen;
    seen.headers = plain.lastHeaders;
    EXPECT_EQ(seen.header("Authorization"), "");
    EXPECT_EQ(seen.header("X-Hold"), "");
    EXPECT_EQ(seen.header("X-Tenant"), "leicester-hifi");
    EXPECT_EQ(seen.header("X-Expect-Instance"), "p1");
}

TEST_F(GatewayTest, RefusesUnknownKeysAndRoutes)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/look/x", "key-2"), 401U);
    EXPECT_EQ(request(0, "/look/x", ""), 401U);
    EXPECT_EQ(request(0, "/nowhere/x"), 404U);
}

TEST_F(GatewayTest, RespondsUnavailableWithoutAConfiguration)
{
    store.remove("op", "config");
    addGateway("vm-1");
    run(200ms);
    EXPECT_EQ(requestSystem(settings[0].readiness, "/-/ready"), 503U);
    EXPECT_EQ(request(0, "/look/x"), 503U);
}

TEST_F(GatewayTest, ListsTheAddressesOfAllGateways)
{
    addGateway("vm-1");
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_TRUE(runUntil([&] {
        requestSystem(settings[0].directory, "/-/resolve?Name=shop.example&Region=r&Zone=z");
        return nlohmann::json::parse(lastBody)["Addresses"].size() == 2;
    }));
}

TEST_F(GatewayTest, LoadsAColdModelOnceForAllWaitingRequests)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.onDisk = { "m0", "m1", "m2" };
    addGateway("vm-1");
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(0));
    ASSERT_TRUE(awaitReady(1));
    std::vector<std::shared_ptr<Reply>> replies;
    for (int n = 0; n < 6; ++n)
        replies.push_back(send(n % 2, "/chat/x", "key-1", ModelOne));
    for (const auto &it : replies) {
        EXPECT_TRUE(runUntil([&] { return it->result.has_value(); }));
        EXPECT_EQ(it->body(), FiveEvents);
    }
    EXPECT_EQ(std::count(engine.orders.begin(), engine.orders.end(), "load m1"), 1);
}

TEST_F(GatewayTest, RejectsAWithdrawnKey)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/look/x"), 200U);
    auto next = siteConfig(2);
    next["Tenants"][0]["ApiKeys"] = nlohmann::json::array({ "key-9" });
    setConfig(next);
    run(300ms);
    EXPECT_EQ(request(0, "/look/x"), 401U);
    EXPECT_EQ(request(0, "/look/x", "key-9"), 200U);
}

TEST_F(GatewayTest, CancelsAWaitingRequestWhenItsKeyIsWithdrawn)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.onDisk = { "m0", "m1", "m2" };
    engine.loadTime = 1500ms;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto reply = send(0, "/chat/x", "key-1", ModelOne);
    run(200ms);
    auto next = siteConfig(2);
    next["Tenants"][0]["ApiKeys"] = nlohmann::json::array();
    setConfig(next);
    EXPECT_TRUE(runUntil([&] { return reply->result.has_value(); }, 1s));
    EXPECT_EQ(reply->status(), 401U);
    EXPECT_TRUE(engine.runs.empty());
}

/// Regression: streams were cut 4 s after their key was withdrawn, even long before their deadline.
TEST_F(GatewayTest, FinishesARunningStreamAfterItsKeyIsWithdrawn)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.behaviour.workDuration = 1000ms;
    auto first = siteConfig(1);
    first["Routes"][0]["TimeoutMs"] = 12000;
    store.put("op", "config", first.dump());
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto reply = send(0, "/chat/x", "key-1", ModelZero);
    run(300ms);
    auto next = siteConfig(2);
    next["Tenants"][0]["ApiKeys"] = nlohmann::json::array();
    // Later versions must not shorten the deadline again.
    for (int version = 2; version < 8; ++version) {
        next["Version"] = version;
        setConfig(next);
        run(50ms);
    }
    EXPECT_TRUE(runUntil([&] { return reply->result.has_value(); }, 8s));
    EXPECT_EQ(reply->body(), FiveEvents);
}

TEST_F(GatewayTest, IgnoresAnOlderConfiguration)
{
    addTarget("p1", "plain");
    auto first = siteConfig(7);
    first["Routes"][3]["Prefix"] = "/new/";
    setConfig(first);
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    setConfig(siteConfig(6));
    run(200ms);
    EXPECT_EQ(request(0, "/new/x"), 200U);
    EXPECT_EQ(request(0, "/look/x"), 404U);
}

TEST_F(GatewayTest, ResumesAnInterruptedStreamAtAnotherTarget)
{
    auto &first = addTarget("e1", "engines", { "m0" });
    auto &second = addTarget("e2", "engines", { "m0" });
    first.behaviour.cutAfterEvents = 2;
    second.behaviour.cutAfterEvents = 2;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    EXPECT_EQ(request(0, "/review/x", "key-1", ModelZero), 200U);
    EXPECT_EQ(lastBody, FiveEvents);
    EXPECT_EQ(first.runs.size() + second.runs.size(), 3U);
}

TEST_F(GatewayTest, AbortsAnInterruptedStreamThatIsNotResumable)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.behaviour.cutAfterEvents = 2;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto reply = send(0, "/chat/x", "key-1", ModelZero);
    ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }));
    EXPECT_FALSE(*reply->result);
    EXPECT_EQ(engine.runs.size(), 1U);
}

TEST_F(GatewayTest, ExecutesANonIdempotentRequestOnlyOnce)
{
    auto &first = addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    first.behaviour.dropsRequests = true;
    second.behaviour.dropsRequests = true;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/order/x"), 502U);
    EXPECT_EQ(first.runs.size() + second.runs.size(), 1U);
}

TEST_F(GatewayTest, RefundsTheRateOfRequestsThatDidNotRun)
{
    auto limited = siteConfig(2);
    limited["Tenants"][0]["Unit"] = "token_count";
    limited["Tenants"][0]["RatePerS"] = 1;
    limited["Tenants"][0]["Burst"] = 200;
    setConfig(limited);
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const std::vector<HttpHeader> eighty { { "X-Token-Counts", "60,20" } };
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(request(0, "/order/x", "key-1", eighty), 503U);
    addTarget("p1", "plain");
    run(900ms);
    EXPECT_EQ(request(0, "/order/x", "key-1", eighty), 200U);
    EXPECT_EQ(request(0, "/order/x", "key-1", eighty), 429U);
}

TEST_F(GatewayTest, RetriesANonIdempotentRequestWhenATargetIsFull)
{
    auto &first = addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    first.behaviour.isFull = true;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_EQ(second.runs.size(), 3U);
    EXPECT_TRUE(first.runs.empty());
}

TEST_F(GatewayTest, RetriesAnIdempotentRequestAfterAFailure)
{
    auto &first = addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    first.behaviour.failureStatus = 500;
    second.behaviour.usesWrongAttemptId = true;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto status = request(0, "/look/x");
    EXPECT_TRUE(status == 500U || status == 502U);
    EXPECT_EQ(first.runs.size() + second.runs.size(), 2U);
}

TEST_F(GatewayTest, SendsNoRequestsToADrainingTarget)
{
    auto &first = addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    first.publishEntry("draining");
    run(800ms);
    for (int n = 0; n < 5; ++n)
        EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_TRUE(first.runs.empty());
    EXPECT_EQ(second.runs.size(), 5U);
}

TEST_F(GatewayTest, IgnoresMalformedEntries)
{
    addTarget("p1", "plain");
    store.put("servers", "x1", "not json");
    store.put("servers", "x2", R"({"Service":"plain","Address":7})");
    store.put("servers", "x3",
              R"({"Service":"plain","Address":"127.0.0.1:1","Zone":"z","Slots":1,"State":"odd",)"
              R"("Sequence":1})");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    for (int n = 0; n < 5; ++n)
        EXPECT_EQ(request(0, "/order/x"), 200U);
}

TEST_F(GatewayTest, KeepsServingDuringAStoreOutage)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    store.faults().outage = true;
    run(1500ms);
    EXPECT_EQ(request(0, "/order/x"), 200U);
    store.faults().outage = false;
    auto next = siteConfig(2);
    next["Routes"][3]["Prefix"] = "/new/";
    setConfig(next);
    EXPECT_TRUE(runUntil([&] { return request(0, "/new/x") == 200; }, 3s));
}

TEST_F(GatewayTest, ReadsTheTableAgainWhenTheStoreLosesItsHistory)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    store.compact();
    auto next = siteConfig(2);
    next["Routes"][3]["Prefix"] = "/new/";
    setConfig(next);
    EXPECT_TRUE(runUntil([&] { return request(0, "/new/x") == 200; }, 3s));
}

/// Regression: the end of an outage was noticed only when the complete table was read again, so
/// entries that had expired during the outage were dropped at once.
TEST_F(GatewayTest, KeepsEntriesThatExpiredDuringAnOutageForAGracePeriod)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(900ms);
    store.faults().outage = true;
    run(3500ms);
    store.remove("servers", "p1");
    store.faults().outage = false;
    run(700ms);
    EXPECT_EQ(request(0, "/order/x"), 200U);
    run(2500ms);
    const auto sentAt = BootClock::now();
    EXPECT_EQ(request(0, "/order/x"), 503U);
    EXPECT_LT(BootClock::now() - sentAt, 1s);
}

/// Regression: entries missing after a loss of the change history were kept as if after an outage.
TEST_F(GatewayTest, DropsMissingEntriesAtOnceAfterLostHistory)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(3s);
    store.remove("servers", "p1");
    store.compact();
    run(1000ms);
    EXPECT_EQ(request(0, "/order/x"), 503U);
}

TEST_F(GatewayTest, AnotherDaemonTakesOverAsLeader)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.onDisk = { "m0", "m1", "m2" };
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(500ms);
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(1));
    processes[0]->isFrozen = true;
    EXPECT_TRUE(runUntil([&] { return request(1, "/chat/x", "key-1", ModelOne) == 200; }, 8s));
    EXPECT_NE(store.value("bluebell-roles", "orders").find("vm-2"), std::string::npos);
}

/// Only relays read the store in a fleet of this size; the others hear of changes from them. Relays
/// that stop responding are replaced.
TEST_F(GatewayTest, ALargeFleetFollowsChangesThroughRelays)
{
    constexpr std::size_t Size = Fleet::MaxMeshSize + 4;
    addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    for (std::size_t n = 0; n < Size; ++n)
        addGateway("vm-" + std::to_string(n));
    const auto servesAt = [&](std::size_t gateway, const std::string &path) {
        return request(gateway, path) == 200;
    };
    for (std::size_t n = 0; n < Size; ++n)
        ASSERT_TRUE(awaitReady(n)) << n;
    run(1500ms);
    auto next = siteConfig(2);
    next["Routes"][3]["Prefix"] = "/new/";
    setConfig(next);
    run(1000ms);
    for (std::size_t n = 0; n < Size; ++n)
        EXPECT_TRUE(servesAt(n, "/new/x")) << n;

    std::vector<VmId> vms;
    for (std::size_t n = 0; n < Size; ++n)
        vms.emplace_back("vm-" + std::to_string(n));
    std::vector<RelayCandidate> daemons;
    for (const auto &vm : vms)
        daemons.push_back({ vm, DataCentreId("leicester"), 0 });
    const RelayGroups groups(daemons);
    std::set<VmId> frozen;
    for (std::size_t rank = 0; rank < Subscription::RelayCount; ++rank)
        frozen.insert(groups.ranking(0).at(rank));
    for (std::size_t n = 0; n < Size; ++n)
        processes[n]->isFrozen = frozen.contains(vms[n]);
    run(2500ms);
    second.publishEntry("draining");
    next["Version"] = 3;
    next["Routes"][3]["Prefix"] = "/newer/";
    setConfig(next);
    run(2000ms);
    const auto runsBefore = second.runs.size();
    for (std::size_t n = 0; n < Size; ++n)
        if (!frozen.contains(vms[n])) {
            EXPECT_TRUE(servesAt(n, "/newer/x")) << n;
        }
    EXPECT_EQ(second.runs.size(), runsBefore);
}

TEST_F(GatewayTest, ServesUntilCallersDisconnectAndRemovesItsRowOnStop)
{
    addTarget("p1", "plain");
    auto &daemon = addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_NE(store.value("bluebell-members", "vm-1"), "");
    daemon.requestStop();
    EXPECT_EQ(requestSystem(settings[0].readiness, "/-/ready"), 503U);
    EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_TRUE(runUntil([&] { return store.value("bluebell-members", "vm-1").empty(); }, 4s));
    EXPECT_TRUE(runUntil([&] { return daemon.stoppedGracefully(); }, 4s));
}
