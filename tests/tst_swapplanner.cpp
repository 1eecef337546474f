#include "placement/swapplanner.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

const ServiceId Engines("engines");
const VmId Vm("vm-1");
constexpr TimePoint Start { 100s };

/// A service with `models` models of 60 GB, two of which fit on a target.
Service makeService(int models)
{
    Service service;
    service.name = Engines;
    EngineSpec engine;
    engine.weights = 130000;
    engine.adapterSlots = 2;
    engine.storeLoadsPerSecond = 3;
    engine.slots = 64;
    for (int n = 0; n < models; ++n) {
        ModelSpec spec;
        spec.weights = 60000;
        spec.storeLoadTime = 6s;
        spec.memoryLoadTime = 500ms;
        spec.diskLoadTime = 800ms;
        spec.adapterWeights = 60;
        engine.models.emplace(ModelId("m" + std::to_string(n)), spec);
    }
    service.engine = engine;
    return service;
}

ReplicaKey model(const std::string &name)
{
    return { ModelId(name), AdapterId() };
}

/// A planner with engines whose reports are supplied by the test.
class PlannerFixture : public ::testing::Test
{
protected:
    void addTarget(const std::string &name, const std::vector<std::string> &resident,
                   const std::vector<std::string> &onDisk = {})
    {
        TargetEntry entry;
        entry.id = TargetId(name);
        entry.dataCentre = DataCentreId(name + "-dc");
        entry.service = Engines;
        entry.slots = 64;
        entry.startTimeMs = 1;
        EngineState state;
        for (const auto &it : resident)
            state.resident.insert(model(it));
        for (const auto &it : onDisk)
            state.onDisk.insert(ModelId(it));
        entry.engine = state;
        m_entries[entry.id] = entry;
    }

    void start(int models = 2)
    {
        m_planner.setServices({ { Engines, makeService(models) } });
        m_planner.noteTargets(m_entries, m_now);
        for (const auto &[id, entry] : m_entries)
            m_planner.noteReport(id, entry.startTimeMs, *entry.engine, m_now);
    }

    void addDemand(const ReplicaKey &key, std::uint32_t waiting = 1)
    {
        ModelDemand demand;
        demand.service = Engines;
        demand.key = key;
        demand.waiting = waiting;
        demand.urgency = 9.0 * waiting;
        m_planner.noteDemand(Vm, { demand }, {}, m_now);
    }

    /// Accepts the order and lets time pass without a report.
    void acceptAndWait(const PlacementOrder &order, Duration time)
    {
        m_planner.noteOutcome(order, OrderOutcome::Accepted, m_now);
        m_now += time;
        (void)m_planner.reportsDue(1000, m_now);
    }

    EngineState report(const std::string &target) { return *m_entries[TargetId(target)].engine; }

    TimePoint m_now = Start;
    std::map<TargetId, TargetEntry> m_entries;
    SwapPlanner m_planner;
};

using SwapPlannerTest = PlannerFixture;

} // namespace

TEST_F(SwapPlannerTest, LoadsAModelFromADiskCopy)
{
    addTarget("t1", {});
    addTarget("t2", {}, { "m0" });
    start();
    addDemand(model("m0"));
    const auto orders = m_planner.plan(m_now);
    const auto it = std::find_if(orders.begin(), orders.end(),
                                 [](const auto &order) { return order.key == model("m0"); });
    ASSERT_NE(it, orders.end());
    EXPECT_EQ(it->target, TargetId("t2"));
    EXPECT_EQ(it->action, IntentAction::Load);
}

TEST_F(SwapPlannerTest, ManyWaitingRequestsStartOneLoad)
{
    addTarget("t1", {}, { "m0" });
    addTarget("t2", {}, { "m0" });
    start(1);
    addDemand(model("m0"), 20);
    EXPECT_EQ(m_planner.plan(m_now).size(), 1U);
    m_now += 10ms;
    addDemand(model("m0"), 40);
    EXPECT_TRUE(m_planner.plan(m_now).empty());
}

TEST_F(SwapPlannerTest, SendsNoOrderWhileAFormerLeadersOrderIsInProgress)
{
    addTarget("t1", { "m0" });
    auto &state = *m_entries[TargetId("t1")].engine;
    state.isBusy = true;
    state.sequence = 26;
    start(3);
    addDemand(model("m1"));
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    // The former leader's model appears in a report after its load; no memory is left for another.
    state.isBusy = false;
    state.resident.insert(model("m2"));
    m_now += 100ms;
    m_planner.noteReport(TargetId("t1"), 1, state, m_now);
    addDemand(model("m1"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().action, IntentAction::Unload);
}

TEST_F(SwapPlannerTest, ResendsAnUnansweredOrderUnchanged)
{
    addTarget("t1", {}, { "m0" });
    start(1);
    addDemand(model("m0"));
    const auto first = m_planner.plan(m_now);
    ASSERT_EQ(first.size(), 1U);
    m_planner.noteOutcome(first.front(), OrderOutcome::Unknown, m_now);
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    m_now += 500ms;
    addDemand(model("m0"));
    const auto second = m_planner.plan(m_now);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second.front().expectedSequence, first.front().expectedSequence);
    EXPECT_EQ(second.front().key, first.front().key);
}

TEST_F(SwapPlannerTest, IgnoresAReportFromBeforeTheOrder)
{
    addTarget("t1", {}, { "m0", "m1" });
    start();
    addDemand(model("m0"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_FALSE(orders.empty());
    m_planner.noteOutcome(orders.front(), OrderOutcome::Accepted, m_now);
    m_now += 100ms;
    m_planner.noteReport(TargetId("t1"), 1, report("t1"), m_now);
    addDemand(model("m0"));
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    auto done = report("t1");
    done.sequence = 1;
    done.resident.insert(model("m0"));
    m_planner.noteReport(TargetId("t1"), 1, done, m_now + 900ms);
    EXPECT_TRUE(m_planner.residents().at(TargetId("t1")).contains(model("m0")));
}

TEST_F(SwapPlannerTest, UnloadsAVictimBeforeALoadAndStopsListingIt)
{
    addTarget("t1", { "m0", "m1" }, { "m2" });
    start(3);
    addDemand(model("m2"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().action, IntentAction::Unload);
    EXPECT_FALSE(m_planner.residents().at(TargetId("t1")).contains(orders.front().key));
}

TEST_F(SwapPlannerTest, KeepsAModelInDemandResident)
{
    addTarget("t1", { "m0", "m1" }, { "m2" });
    start(3);
    std::vector<ModelDemand> demand(3);
    for (int n = 0; n < 3; ++n) {
        demand[n].service = Engines;
        demand[n].key = model("m" + std::to_string(n));
    }
    demand[0].arrivalsPerSecond = 20;
    demand[2].waiting = 1;
    demand[2].urgency = 9;
    m_planner.noteDemand(Vm, demand, {}, m_now);
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().key, model("m1"));
}

TEST_F(SwapPlannerTest, LoadsAnAdapterWhereItsModelIsResident)
{
    addTarget("t1", {});
    addTarget("t2", { "m0" });
    start(1);
    const ReplicaKey adapter { ModelId("m0"), AdapterId("a3") };
    addDemand(adapter);
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().target, TargetId("t2"));
    EXPECT_EQ(orders.front().key, adapter);
    acceptAndWait(orders.front(), 50ms);
    EXPECT_TRUE(m_planner.residents().at(TargetId("t2")).contains(adapter));
}

TEST_F(SwapPlannerTest, UnloadsAnAdapterWhenTheSlotsAreTaken)
{
    addTarget("t1", { "m0" });
    auto &state = *m_entries[TargetId("t1")].engine;
    state.resident.insert({ ModelId("m0"), AdapterId("a1") });
    state.resident.insert({ ModelId("m0"), AdapterId("a2") });
    start(1);
    addDemand({ ModelId("m0"), AdapterId("a3") });
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().action, IntentAction::Unload);
    EXPECT_FALSE(orders.front().key.adapter.isEmpty());
}

TEST_F(SwapPlannerTest, LimitsConcurrentLoadsFromTheWeightStore)
{
    for (int n = 0; n < 8; ++n)
        addTarget("t" + std::to_string(n), {});
    start(20);
    EXPECT_LE(m_planner.plan(m_now).size(), 4U);
    std::size_t orders = 0;
    for (int n = 0; n < 40; ++n) {
        m_now += 25ms;
        orders += m_planner.plan(m_now).size();
    }
    EXPECT_LE(orders, 4U);
}

TEST_F(SwapPlannerTest, TargetWithMissedReportsIsUnavailable)
{
    addTarget("t1", { "m0" });
    addTarget("t2", {}, { "m0" });
    start(1);
    m_planner.noteReportFailed(TargetId("t1"), false);
    m_planner.noteReportFailed(TargetId("t1"), false);
    addDemand(model("m0"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().target, TargetId("t2"));
}

// Guards against requests for a model being sent to an engine that has crashed, as long as its
// entry is still listed.
TEST_F(SwapPlannerTest, AnEngineThatRefusesConnectionsIsPublishedWithoutModels)
{
    addTarget("t1", { "m0" });
    addTarget("t2", { "m0" });
    addTarget("t3", { "m0" });
    start(1);
    m_planner.noteReportFailed(TargetId("t1"), true);
    EXPECT_TRUE(m_planner.residents().at(TargetId("t1")).contains(model("m0")));
    m_planner.noteReportFailed(TargetId("t1"), true);
    EXPECT_TRUE(m_planner.residents().at(TargetId("t1")).empty());
    EXPECT_TRUE(m_planner.residents().at(TargetId("t2")).contains(model("m0")));
}

// Guards against the same after another run of an engine has taken over the address.
TEST_F(SwapPlannerTest, AnEngineWhoseAddressHasAnotherRunIsPublishedWithoutModels)
{
    addTarget("t1", { "m0" });
    addTarget("t2", { "m0" });
    start(1);
    m_planner.noteReport(TargetId("t1"), m_entries[TargetId("t1")].startTimeMs + 1, {}, m_now);
    EXPECT_TRUE(m_planner.residents().at(TargetId("t1")).empty());
    EXPECT_TRUE(m_planner.residents().at(TargetId("t2")).contains(model("m0")));
}

// Guards against the models of all engines being withdrawn when the leader's own network fails.
TEST_F(SwapPlannerTest, EnginesThatAllRefuseConnectionsKeepTheirModels)
{
    addTarget("t1", { "m0" });
    addTarget("t2", { "m0" });
    start(1);
    for (const auto *id : { "t1", "t2", "t1", "t2" })
        m_planner.noteReportFailed(TargetId(id), true);
    EXPECT_TRUE(m_planner.residents().at(TargetId("t1")).contains(model("m0")));
}

TEST_F(SwapPlannerTest, RestartedTargetNeedsAReportOfItsNewRun)
{
    addTarget("t1", { "m0", "m1" }, { "m2" });
    start(3);
    auto &entry = m_entries[TargetId("t1")];
    entry.startTimeMs = 2;
    entry.engine = EngineState();
    m_planner.noteTargets(m_entries, m_now);
    addDemand(model("m2"));
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    m_planner.noteReport(TargetId("t1"), 1, report("t1"), m_now);
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    m_planner.noteReport(TargetId("t1"), 2, EngineState(), m_now);
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().expectedSequence, 0U);
}

TEST_F(SwapPlannerTest, KeepsASecondCopyOfABusyModel)
{
    addTarget("t1", { "m0" });
    addTarget("t2", {}, { "m0", "m1" });
    start(2);
    ModelDemand busy;
    busy.service = Engines;
    busy.key = model("m0");
    busy.arrivalsPerSecond = 5;
    m_planner.noteDemand(Vm, { busy }, {}, m_now);
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().target, TargetId("t2"));
    EXPECT_EQ(orders.front().key, model("m0"));
}

TEST_F(SwapPlannerTest, CopyOnADrainingTargetDoesNotCount)
{
    addTarget("t1", { "m0" });
    addTarget("t2", {});
    m_entries[TargetId("t1")].isDraining = true;
    start(1);
    addDemand(model("m0"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().target, TargetId("t2"));
}

TEST_F(SwapPlannerTest, LoadFromDiskCompletesAfterItsFixedDuration)
{
    addTarget("t1", {}, { "m0" });
    start(1);
    addDemand(model("m0"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    m_planner.noteOutcome(orders.front(), OrderOutcome::Accepted, m_now);
    (void)m_planner.reportsDue(1000, m_now + 700ms);
    EXPECT_FALSE(m_planner.residents().at(TargetId("t1")).contains(model("m0")));
    (void)m_planner.reportsDue(1000, m_now + 900ms);
    EXPECT_TRUE(m_planner.residents().at(TargetId("t1")).contains(model("m0")));
}

TEST_F(SwapPlannerTest, LoadsRightAfterTheUnloadOfAnIdleModel)
{
    addTarget("t1", { "m0", "m1" }, { "m2" });
    start(3);
    addDemand(model("m2"));
    const auto unload = m_planner.plan(m_now);
    ASSERT_EQ(unload.size(), 1U);
    acceptAndWait(unload.front(), 60ms);
    addDemand(model("m2"));
    const auto load = m_planner.plan(m_now);
    ASSERT_EQ(load.size(), 1U);
    EXPECT_EQ(load.front().action, IntentAction::Load);
    EXPECT_EQ(load.front().expectedSequence, 1U);
    // The unload takes longer than expected: the load is ordered again only after a report shows
    // that the engine is no longer busy.
    m_planner.noteOutcome(load.front(), OrderOutcome::Conflict, m_now);
    auto state = report("t1");
    state.sequence = 1;
    state.isBusy = true;
    m_planner.noteReport(TargetId("t1"), 1, state, m_now + 100ms);
    addDemand(model("m2"));
    EXPECT_TRUE(m_planner.plan(m_now + 100ms).empty());
}

TEST_F(SwapPlannerTest, UnloadOfABusyModelCompletesOnlyByReport)
{
    addTarget("t1", { "m0", "m1" }, { "m2" });
    start(3);
    std::vector<ModelDemand> demand(1);
    demand[0].service = Engines;
    demand[0].key = model("m2");
    demand[0].waiting = 1;
    demand[0].urgency = 50;
    m_planner.noteDemand(Vm, demand,
                         { { TargetId("t1"), model("m0"), 2 }, { TargetId("t1"), model("m1"), 2 } },
                         m_now);
    const auto unload = m_planner.plan(m_now);
    ASSERT_EQ(unload.size(), 1U);
    acceptAndWait(unload.front(), 500ms);
    addDemand(model("m2"));
    EXPECT_TRUE(m_planner.plan(m_now).empty());
}

/// Regression: a load rejected because the preceding unload was still in progress made the planner
/// unload a model on another target as well.
TEST_F(SwapPlannerTest, ConflictDoesNotMakeAnotherTargetUnload)
{
    addTarget("t1", { "m0", "m1" }, { "m4" });
    addTarget("t2", { "m2", "m3" }, { "m4" });
    start(5);
    addDemand(model("m4"));
    const auto unload = m_planner.plan(m_now);
    ASSERT_EQ(unload.size(), 1U);
    acceptAndWait(unload.front(), 60ms);
    addDemand(model("m4"));
    const auto load = m_planner.plan(m_now);
    ASSERT_EQ(load.size(), 1U);
    m_planner.noteOutcome(load.front(), OrderOutcome::Conflict, m_now);
    m_now += 10ms;
    EXPECT_TRUE(m_planner.plan(m_now).empty());
}

/// Regression: a report from the time when an adapter was still being loaded hid the slot that it
/// takes.
TEST_F(SwapPlannerTest, AdapterBeingLoadedTakesASlot)
{
    addTarget("t1", { "m0" });
    auto &state = *m_entries[TargetId("t1")].engine;
    state.resident.insert({ ModelId("m0"), AdapterId("a1") });
    start(1);
    const ReplicaKey second { ModelId("m0"), AdapterId("a2") };
    addDemand(second);
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    m_planner.noteOutcome(orders.front(), OrderOutcome::Accepted, m_now);
    auto late = state;
    late.sequence = 1;
    late.pendingAdapters.insert(second);
    m_planner.noteReport(TargetId("t1"), 1, late, m_now + 1ms);
    m_now += 30ms;
    (void)m_planner.reportsDue(1000, m_now);
    addDemand({ ModelId("m0"), AdapterId("a3") });
    const auto next = m_planner.plan(m_now);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next.front().action, IntentAction::Unload);
}

TEST_F(SwapPlannerTest, RequestsAReportOfATargetThatShouldServeWaitingRequests)
{
    addTarget("t1", { "m0" });
    addTarget("t2", {}, { "m0" });
    start(1);
    m_now += 500ms;
    EXPECT_TRUE(m_planner.reportsDue(1000, m_now).empty());
    addDemand(model("m0"));
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    const auto due = m_planner.reportsDue(1000, m_now);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due.front(), TargetId("t1"));
}

/// Regression: a busy leader got the reports of 3,000 engines too late and requested all of them
/// again after 300 ms, which kept it busy.
TEST_F(SwapPlannerTest, RequestsFewIdleReportsAtOnceAndThoseThatAreWantedFirst)
{
    constexpr std::size_t Engines = 400;
    for (std::size_t n = 0; n < Engines; ++n)
        addTarget("t" + std::to_string(1000 + n), { "m0" });
    start(1);
    m_now += 20s;
    const auto idle = m_planner.reportsDue(1000, m_now);
    EXPECT_LE(idle.size(), 8U);
    std::size_t requested = idle.size();
    const auto end = m_now + 10s;
    while (m_now < end) {
        m_now += 25ms;
        for (const auto &it : m_planner.reportsDue(1000, m_now)) {
            m_planner.noteReport(it, 1, EngineState(), m_now);
            ++requested;
        }
    }
    EXPECT_LE(requested, 2 * Engines);
    addDemand(model("m0"));
    (void)m_planner.plan(m_now);
    EXPECT_LE(m_planner.reportsDue(5, m_now).size(), 5U);
}

/// Regression: an adapter with an accepted unload counted as unloaded while requests still used it.
TEST_F(SwapPlannerTest, UnloadingAdapterInUseKeepsItsSlot)
{
    addTarget("t1", { "m0" });
    auto &state = *m_entries[TargetId("t1")].engine;
    state.resident.insert({ ModelId("m0"), AdapterId("a1") });
    state.resident.insert({ ModelId("m0"), AdapterId("a2") });
    start(1);
    const ReplicaKey third { ModelId("m0"), AdapterId("a3") };
    addDemand(third);
    const auto unload = m_planner.plan(m_now);
    ASSERT_EQ(unload.size(), 1U);
    ASSERT_EQ(unload.front().action, IntentAction::Unload);
    // Accepted, not done: a request that no daemon reports any more still uses it.
    m_planner.noteOutcome(unload.front(), OrderOutcome::Accepted, m_now);
    auto busy = state;
    busy.sequence = 1;
    for (int n = 0; n < 5; ++n) {
        m_now += 100ms;
        (void)m_planner.reportsDue(1000, m_now);
        addDemand(third);
        EXPECT_TRUE(m_planner.plan(m_now).empty());
        m_planner.noteReport(TargetId("t1"), 1, busy, m_now);
    }
    auto free = busy;
    free.resident.erase(unload.front().key);
    m_planner.noteReport(TargetId("t1"), 1, free, m_now);
    const auto load = m_planner.plan(m_now);
    ASSERT_EQ(load.size(), 1U);
    EXPECT_EQ(load.front().action, IntentAction::Load);
    EXPECT_EQ(load.front().key, third);
}

/// Regression: the adapters of an unloading model counted as unloaded after a fixed time, without a
/// report.
TEST_F(SwapPlannerTest, AdaptersOfAnUnloadingModelKeepTheirSlotsUntilAReport)
{
    addTarget("t1", { "m0", "m1" }, { "m2" });
    auto &state = *m_entries[TargetId("t1")].engine;
    state.resident.insert({ ModelId("m0"), AdapterId("a1") });
    state.resident.insert({ ModelId("m0"), AdapterId("a2") });
    start(3);
    addDemand(model("m2"));
    const auto unload = m_planner.plan(m_now);
    ASSERT_EQ(unload.size(), 1U);
    ASSERT_EQ(unload.front().key, model("m0"));
    acceptAndWait(unload.front(), 60ms);
    addDemand({ ModelId("m1"), AdapterId("a5") });
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    auto unloaded = state;
    unloaded.sequence = 1;
    unloaded.resident = { model("m1") };
    m_planner.noteReport(TargetId("t1"), 1, unloaded, m_now);
    const auto load = m_planner.plan(m_now);
    ASSERT_EQ(load.size(), 1U);
    EXPECT_EQ(load.front().key, (ReplicaKey { ModelId("m1"), AdapterId("a5") }));
}

/// An accepted model order shows that the preceding unload has completed.
TEST_F(SwapPlannerTest, AcceptedModelOrderCompletesThePreviousUnload)
{
    addTarget("t1", { "m0", "m1" }, { "m2" });
    auto &state = *m_entries[TargetId("t1")].engine;
    state.resident.insert({ ModelId("m0"), AdapterId("a1") });
    state.resident.insert({ ModelId("m0"), AdapterId("a2") });
    start(3);
    addDemand(model("m2"));
    const auto unload = m_planner.plan(m_now);
    ASSERT_EQ(unload.size(), 1U);
    acceptAndWait(unload.front(), 60ms);
    addDemand(model("m2"));
    const auto load = m_planner.plan(m_now);
    ASSERT_EQ(load.size(), 1U);
    acceptAndWait(load.front(), 900ms);
    addDemand({ ModelId("m2"), AdapterId("a5") });
    const auto adapter = m_planner.plan(m_now);
    ASSERT_EQ(adapter.size(), 1U);
    EXPECT_EQ(adapter.front().action, IntentAction::Load);
}

/// Regression: a model was loaded from the weight store although an engine with a copy on its disk
/// was only busy.
TEST_F(SwapPlannerTest, WaitsForABusyEngineWithACopyBeforeLoadingFromTheStore)
{
    addTarget("t1", { "m0", "m1" }, { "m2" });
    addTarget("t2", {});
    start(3);
    const auto planAfterWait = [&](Duration waited) {
        std::vector<ModelDemand> all(3);
        for (int n = 0; n < 3; ++n) {
            all[n].service = Engines;
            all[n].key = model("m" + std::to_string(n));
            all[n].arrivalsPerSecond = n < 2 ? 1.5 : 0.1;
        }
        all[2].waiting = 1;
        all[2].urgency = 0.5;
        all[2].oldestWait = waited;
        m_planner.noteDemand(Vm, all, {}, m_now);
        return m_planner.plan(m_now);
    };
    for (const auto &order : planAfterWait(500ms))
        EXPECT_NE(order.key, model("m2"));
    const auto later = planAfterWait(5s);
    const auto it = std::find_if(later.begin(), later.end(),
                                 [](const auto &order) { return order.key == model("m2"); });
    ASSERT_NE(it, later.end());
    EXPECT_EQ(it->target, TargetId("t2"));
}

TEST_F(SwapPlannerTest, AnEngineWithAHoldOffGetsNoOrdersAndNoReportRequests)
{
    addTarget("t1", {}, { "m0", "m1" });
    start();
    m_planner.noteHoldOffs({ { TargetId("t1"), m_now + 1s } }, m_now);
    addDemand(model("m0"));
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    m_now += 900ms;
    m_planner.noteHoldOffs({ { TargetId("t1"), m_now + 100ms } }, m_now);
    EXPECT_TRUE(m_planner.reportsDue(10, m_now + 10s).empty());
    m_planner.noteHoldOffs({}, m_now);
    addDemand(model("m0"));
    EXPECT_FALSE(m_planner.reportsDue(10, m_now + 10s).empty());
    EXPECT_FALSE(m_planner.plan(m_now).empty());
}

TEST_F(SwapPlannerTest, AnUnansweredOrderIsNotResentDuringAHoldOff)
{
    addTarget("t1", {}, { "m0", "m1" });
    start();
    addDemand(model("m0"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    m_planner.noteOutcome(orders.front(), OrderOutcome::Unknown, m_now);
    m_now += 500ms;
    m_planner.noteHoldOffs({ { TargetId("t1"), m_now + 1s } }, m_now);
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    m_planner.noteHoldOffs({}, m_now);
    EXPECT_EQ(m_planner.plan(m_now).size(), 1U);
}

TEST_F(SwapPlannerTest, AModelIsLoadedElsewhereOnlyDuringALongHoldOff)
{
    addTarget("t1", { "m0", "m1" }, { "m0", "m1" });
    addTarget("t2", {}, { "m0", "m1" });
    start();
    m_planner.noteHoldOffs({ { TargetId("t1"), m_now + 500ms } }, m_now);
    addDemand(model("m0"));
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    m_planner.noteHoldOffs({ { TargetId("t1"), m_now + 60s } }, m_now);
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().target, TargetId("t2"));
    EXPECT_EQ(orders.front().key, model("m0"));
}

TEST_F(SwapPlannerTest, ALoadAtALeavingEngineIsNotPromisedToWaitingRequests)
{
    addTarget("t1", {}, { "m0" });
    addTarget("t2", {});
    start(1);
    addDemand(model("m0"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    ASSERT_EQ(orders.front().target, TargetId("t1"));
    EXPECT_EQ(m_planner.estimates(m_now).size(), 1U);
    m_entries[TargetId("t1")].isDraining = true;
    m_planner.noteTargets(m_entries, m_now);
    EXPECT_TRUE(m_planner.estimates(m_now).empty());
}

/// Guards against orders to an evacuated data centre, and against a model that is available only
/// there.
TEST_F(SwapPlannerTest, WhatAnEvacuatedEngineHoldsIsLoadedElsewhere)
{
    addTarget("t1", { "m0" });
    addTarget("t2", {}, { "m0" });
    start();
    m_planner.noteEvacuated({ DataCentreId("t1-dc") }, m_now);
    addDemand(model("m0"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_FALSE(orders.empty());
    for (const auto &it : orders)
        EXPECT_EQ(it.target, TargetId("t2"));
    EXPECT_EQ(orders.front().key, model("m0"));
    m_now += 1min;
    const auto due = m_planner.reportsDue(1000, m_now);
    EXPECT_EQ(due, std::vector<TargetId>({ TargetId("t2") }));
}

/// Guards against orders that rely on what an engine reported before its evacuation.
TEST_F(SwapPlannerTest, AnEngineGetsOrdersAfterAnEvacuationOnlyWithANewReport)
{
    addTarget("t1", {}, { "m0" });
    start();
    m_planner.noteEvacuated({ DataCentreId("t1-dc") }, m_now);
    addDemand(model("m0"));
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    m_planner.noteEvacuated({}, m_now);
    EXPECT_TRUE(m_planner.plan(m_now).empty());
    EXPECT_EQ(m_planner.reportsDue(1000, m_now).size(), 1U);
    m_planner.noteReport(TargetId("t1"), 1, report("t1"), m_now);
    EXPECT_FALSE(m_planner.plan(m_now).empty());
}

TEST_F(SwapPlannerTest, AnUnansweredOrderIsNotResentDuringAnEvacuation)
{
    addTarget("t1", {}, { "m0" });
    start(1);
    addDemand(model("m0"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    m_planner.noteOutcome(orders.front(), OrderOutcome::Unknown, m_now);
    m_planner.noteEvacuated({ DataCentreId("t1-dc") }, m_now);
    m_now += 200ms;
    EXPECT_TRUE(m_planner.plan(m_now).empty());
}

TEST_F(SwapPlannerTest, PrefersAWarmEngineWhenBothAreEquallySuitable)
{
    addTarget("t1", {}, { "m0" });
    addTarget("t2", {}, { "m0" });
    m_entries[TargetId("t1")].coldUntil = Start + 3s;
    start(1);
    addDemand(model("m0"));
    const auto orders = m_planner.plan(m_now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().target, TargetId("t2"));
}
