#include "gateway/siteupdates.h"
#include "gatewayfixture.h"

#include <nlohmann/json.hpp>

/// \file
/// Tests of gateways whose store comes back from an older copy of its data.

using namespace bluebell;
using namespace bluebell::testing;
using nlohmann::json;

namespace {

class StoreRestoreTest : public GatewayTest
{
protected:
    static constexpr std::size_t LargeFleet = Fleet::MaxMeshSize + 4;
    /// Longer than any test: nobody writes lost rows again.
    static constexpr Duration Never = 1h;

    void addLargeFleet()
    {
        for (std::size_t n = 0; n < LargeFleet; ++n)
            addGateway("vm-" + std::to_string(n));
        for (std::size_t n = 0; n < LargeFleet; ++n)
            ASSERT_TRUE(awaitReady(n)) << n;
        run(1500ms);
    }

    [[nodiscard]] std::string memberRow(std::size_t gateway) const
    {
        return store.value("bluebell-members", settings[gateway].vm.value());
    }

    [[nodiscard]] json role() const
    {
        const auto it = json::parse(store.value("bluebell-roles", "orders"), nullptr, false);
        return it.is_object() ? it : json { { "vm", "" }, { "epoch", 0 } };
    }
};

} // namespace

// Guards against an entry that is ignored for good because its version is lower than the known one,
// also by the daemons that hear of it from relays.
TEST_F(StoreRestoreTest, ALargeFleetTakesTargetsWhoseVersionsGoBack)
{
    auto &target = addTarget("p1", "plain");
    addLargeFleet();
    for (int n = 0; n < 50; ++n)
        target.publishEntry();
    run(1500ms);
    store.rollback(30s, 200ms);
    run(1500ms);
    target.stop();
    target.restart();
    run(2500ms);
    for (std::size_t n = 0; n < LargeFleet; ++n)
        EXPECT_EQ(request(n, "/order/x"), 200U) << n;
    for (std::size_t n = 0; n < LargeFleet; ++n)
        EXPECT_NE(memberRow(n), "") << n;
}

// Guards against a daemon that stays unregistered: its row was written and lost before any relay
// had read it, so no relay tells of its removal.
TEST_F(StoreRestoreTest, ARowThatNoRelayHasSeenIsFoundMissing)
{
    gateway::GatewayState state(context.get_executor(), settingsOf("vm-1", storeAddress));
    gateway::SiteUpdates updates(state, [] {});
    FleetDigest digest;
    digest.members = { 0, makeRowVersion(0, 50), {}, 0 };
    updates.applyDigest(digest, BootClock::now());
    EXPECT_FALSE(updates.isRegistered());
    updates.noteRegistered(makeRowVersion(0, 51));
    updates.applyDigest(digest, BootClock::now());
    EXPECT_TRUE(updates.isRegistered());
    digest.members = { makeRowVersion(0, 50), makeRowVersion(1, 45), {}, 0 };
    updates.applyDigest(digest, BootClock::now());
    EXPECT_FALSE(updates.isRegistered());
}

TEST_F(StoreRestoreTest, ADaemonThatHasJustStartedWritesItsRowAgain)
{
    addTarget("p1", "plain");
    addLargeFleet();
    const auto newcomer = settings.size();
    addGateway("vm-new");
    ASSERT_TRUE(runUntil([&] { return !memberRow(newcomer).empty(); }));
    store.rollback(30ms, 200ms);
    ASSERT_EQ(memberRow(newcomer), "");
    EXPECT_TRUE(runUntil([&] { return !memberRow(newcomer).empty(); }, 6s));
    EXPECT_TRUE(awaitReady(newcomer));
}

// Guards against two leaders and against a fencing number that is used by two of them.
TEST_F(StoreRestoreTest, OneLeaderOrdersOnUnderAHigherFencingNumber)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.onDisk = { "m0", "m1", "m2" };
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    ASSERT_TRUE(runUntil([&] { return role()["vm"] == "vm-1"; }));
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(1));
    processes[0]->isFrozen = true;
    std::map<std::uint64_t, std::set<std::string>> holders;
    const auto record = [&] {
        const auto it = role();
        holders[it["epoch"].get<std::uint64_t>()].insert(it["vm"].get<std::string>());
        return it["vm"] == "vm-2";
    };
    ASSERT_TRUE(runUntil(record));
    const auto takenOverAt = BootClock::now();
    const auto before = role()["epoch"].get<std::uint64_t>();
    ASSERT_TRUE(runUntil([&] { return record() && BootClock::now() - takenOverAt > 500ms; }));
    store.rollback(BootClock::now() - takenOverAt + 100ms);
    EXPECT_EQ(role()["vm"], "vm-1");
    processes[0]->isFrozen = false;
    const auto isNew = [&] {
        record();
        return role()["epoch"].get<std::uint64_t>() > before;
    };
    EXPECT_TRUE(runUntil(isNew));
    EXPECT_EQ(role()["vm"], "vm-2");
    EXPECT_EQ(request(1, "/chat/x", "key-1", ModelOne), 200U);
    const auto end = BootClock::now() + 2s;
    (void)runUntil([&] { return record() && BootClock::now() > end; }, 3s);
    for (const auto &[epoch, vms] : holders)
        EXPECT_EQ(vms.size(), 1U) << epoch;
}

TEST_F(StoreRestoreTest, TheLeaderWritesLostQuarantinesAgain)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(1s);
    const auto putAt = BootClock::now();
    store.put("bluebell-quarantine", "part-1", R"({"generation":3,"failed_trials":1})");
    run(1500ms);
    store.rollback(BootClock::now() - putAt + 10ms, 200ms);
    ASSERT_TRUE(store.value("bluebell-quarantine", "part-1").empty());
    EXPECT_TRUE(runUntil([&] { return !store.value("bluebell-quarantine", "part-1").empty(); }));
}

// Guards against a configuration that goes back, with a route or a key that was withdrawn.
TEST_F(StoreRestoreTest, TheConfigurationDoesNotGoBackAndPeersPassItOn)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    const auto putAt = BootClock::now();
    auto next = siteConfig(2);
    next["Routes"][3]["Prefix"] = "/new/";
    setConfig(next);
    ASSERT_TRUE(runUntil([&] { return request(0, "/new/x") == 200; }));
    store.rollback(BootClock::now() - putAt + 50ms, Never);
    ASSERT_EQ(json::parse(store.value("op", "config"))["Version"], 1);
    run(2s);
    EXPECT_EQ(request(0, "/new/x"), 200U);
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(1));
    EXPECT_TRUE(runUntil([&] { return request(1, "/new/x") == 200; }));
}

TEST_F(StoreRestoreTest, TheEraIsAMetric)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto has = [&](const std::string &line) {
        EXPECT_EQ(requestSystem(settings[0].control, "/metrics"), 200U);
        return lastBody.find(line + "\n") != std::string::npos;
    };
    EXPECT_TRUE(runUntil([&] { return has("bluebell_store_era 0"); }));
    store.rollback(100ms);
    EXPECT_TRUE(runUntil([&] { return has("bluebell_store_era 1"); }));
}
