#include "tests/placementfixture.h"

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

using PlacementSwaps = tests::PlacementFixture;

} // namespace

/// Load: 66 rare requests per second. The engine with the copy is busy for 0.4 s with another load;
/// a load from the store on an idle engine would take 10.2 s and one of few loads at full speed.
TEST_F(PlacementSwaps, WaitsForTheEngineWithTheCopyWhenThatIsSooner)
{
    addEngine("t1", {}, { "m0", "m1" });
    addEngine("t2", {});
    start(spec(2));
    const auto first = plan({ demand(model("m0"), 1) });
    ASSERT_TRUE(contains(first, "t1", IntentAction::Load, model("m0")));
    m_planner.noteOutcome(first.front(), OrderOutcome::Accepted, m_now);
    m_now += 25ms;
    EXPECT_TRUE(plan({ demand(model("m1"), 1) }).empty());
    m_now += 500ms;
    (void)m_planner.reportsDue(100, m_now);
    EXPECT_TRUE(contains(plan({ demand(model("m1"), 1) }), "t1", IntentAction::Load, model("m1")));
}

/// Requests that run on a model delay its unload by up to seconds, so of two models that are
/// requested as often the one without any is evicted.
TEST_F(PlacementSwaps, EvictsAModelWithoutRunningRequestsFirst)
{
    addEngine("t1", { "m0", "m1", "m2" }, { "m0", "m1", "m2", "m3" });
    start(spec(4));
    const std::vector<ModelDemand> all { demand(model("m3"), 2), demand(model("m0"), 0, 1),
                                         demand(model("m1"), 0, 1), demand(model("m2"), 0, 1) };
    const auto orders =
            plan(all, { { TargetId("t1"), model("m0"), 2 }, { TargetId("t1"), model("m2"), 1 } });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_TRUE(contains(orders, "t1", IntentAction::Unload, model("m1")));
}

/// Of equal candidates, the one that was used longest ago is evicted.
TEST_F(PlacementSwaps, EvictsTheModelThatWasUsedLongestAgo)
{
    addEngine("t1", { "m0", "m1", "m2" }, { "m0", "m1", "m2", "m3" });
    start(spec(4));
    (void)plan({}, { { TargetId("t1"), model("m0"), 1 }, { TargetId("t1"), model("m1"), 1 } });
    m_now += 1s;
    (void)plan({}, { { TargetId("t1"), model("m2"), 1 }, { TargetId("t1"), model("m0"), 1 } });
    m_now += 1s;
    EXPECT_TRUE(
            contains(plan({ demand(model("m3"), 1) }), "t1", IntentAction::Unload, model("m1")));
}

/// A model that only the weight store has cannot be ready in 4 s; it must not take the engine from
/// one that is ready in 0.4 s, although its requests have waited longer.
TEST_F(PlacementSwaps, AModelThatCanBeReadyInTimeComesFirst)
{
    addEngine("t1", {}, { "m1" });
    start(spec(2));
    const auto orders = plan({ demand(model("m0"), 5), demand(model("m1"), 1) });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().key, model("m1"));
}

/// Load: a model is asked for 8 times a second. Its second copy is made in the other data centre.
TEST_F(PlacementSwaps, ABusyModelGetsItsSecondCopyInAnotherDataCentre)
{
    addEngine("t1", { "m0" }, { "m0" }, "a");
    addEngine("t2", {}, { "m0" }, "a");
    addEngine("t3", {}, { "m0" }, "b");
    start(spec(1));
    EXPECT_TRUE(plan({ demand(model("m0"), 0, 1.9) }).empty());
    m_now += 1s;
    const auto orders = plan({ demand(model("m0"), 0, 8) });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().target, TargetId("t3"));
}

/// Load: an engine has twice as many requests for one model as it has slots, and a single request
/// waits for another model, both with a copy on the disk of the only free engine. Guards against
/// the full engine getting no relief as long as single requests wait for rare models.
TEST_F(PlacementSwaps, AModelWhoseEngineIsFullGetsACopyBeforeARareModel)
{
    addEngine("t1", { "m0" }, { "m0" });
    addEngine("t2", {}, { "m0", "m1" });
    start(spec(2));
    const auto orders = plan({ demand(model("m1"), 1, 0.2), demand(model("m0"), 0, 40) },
                             { { TargetId("t1"), model("m0"), 128 } });
    ASSERT_FALSE(orders.empty());
    EXPECT_TRUE(contains(orders, "t2", IntentAction::Load, model("m0")));
    EXPECT_FALSE(contains(orders, "t2", IntentAction::Load, model("m1")));
}

/// A draining engine still serves its requests. Its only copy is loaded elsewhere meanwhile, before
/// requests wait for it.
TEST_F(PlacementSwaps, LoadsElsewhereWhatOnlyADrainingEngineServes)
{
    auto &leaving = addEngine("t1", { "m0", "m1" });
    addEngine("t2", { "m1" }, { "m0" });
    start(spec(2));
    EXPECT_TRUE(plan({ demand(model("m0"), 0, 0.3) }).empty());
    leaving.isDraining = true;
    m_now += 25ms;
    refresh();
    const auto orders = plan({ demand(model("m0"), 0, 0.3) });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_TRUE(contains(orders, "t2", IntentAction::Load, model("m0")));
}

/// What only a lost engine had on its disk is loaded from the store before requests wait for it.
TEST_F(PlacementSwaps, LoadsFromTheStoreWhatOnlyALostEngineHad)
{
    addEngine("t1", {}, { "m0" });
    addEngine("t2", {});
    start(spec(1));
    EXPECT_TRUE(plan({}).empty());
    m_entries.erase(TargetId("t1"));
    m_now += 25ms;
    refresh();
    EXPECT_TRUE(contains(plan({}), "t2", IntentAction::Load, model("m0")));
}

/// One engine cannot serve all requests for a busy adapter; another engine with its model takes it.
TEST_F(PlacementSwaps, AnAdapterWithManyWaitingRequestsHasASecondEngine)
{
    const ReplicaKey adapter { ModelId("m0"), AdapterId("a") };
    addEngine("t1", { "m0" }).engine->resident.insert(adapter);
    addEngine("t2", { "m0" });
    start(spec(1));
    EXPECT_TRUE(plan({ demand(adapter, 2) }).empty());
    m_now += 25ms;
    const auto orders = plan({ demand(adapter, 40) });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_TRUE(contains(orders, "t2", IntentAction::Load, adapter));
}
