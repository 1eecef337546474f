#include "tests/placementfixture.h"

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

using PlacementCoverage = tests::PlacementFixture;

/// Twelve models that fill a disk of 300 GB.
std::vector<std::string> fullDisk(int first)
{
    std::vector<std::string> models;
    for (int n = 0; n < 12; ++n)
        models.push_back("m" + std::to_string(first + n));
    return models;
}

} // namespace

/// Load: 66 rare requests per second over 248 models. A model that only the weight store has costs
/// its callers 10.2 s, a copy on any disk 0.4 s.
TEST_F(PlacementCoverage, AModelWithoutACopyComesBeforeASecondCopy)
{
    addEngine("t1", { "m0" });
    addEngine("t2", {});
    start(spec(2));
    const auto orders = plan({ demand(model("m0"), 0, 20), demand(model("m1"), 0, 0.2) });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().key, model("m1"));
}

/// Of several models without a copy, the one that is requested most often comes first.
TEST_F(PlacementCoverage, TheMostRequestedModelWithoutACopyComesFirst)
{
    addEngine("t1", {});
    start(spec(4));
    const auto orders = plan({ demand(model("m2"), 0, 0.5), demand(model("m1"), 0, 0.1) });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().key, model("m2"));
}

/// A full disk evicts its least recently used copy for a load from the store. The engine whose
/// copies exist nowhere else must not get the load, although it is idle.
TEST_F(PlacementCoverage, ALoadFromTheStoreDoesNotEvictTheLastCopyOfAnotherModel)
{
    addEngine("t1", {}, fullDisk(0));
    addEngine("t2", {}, fullDisk(12));
    addEngine("t3", {}, fullDisk(12));
    start(spec(25));
    const auto orders = plan({ demand(model("m24"), 3, 0.3) });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().key, model("m24"));
    EXPECT_NE(orders.front().target, TargetId("t1"));
}

/// Two loads at the same time must not evict the two copies of one model.
TEST_F(PlacementCoverage, TwoLoadsDoNotEvictBothCopiesOfAModel)
{
    addEngine("t1", {}, fullDisk(0));
    addEngine("t2", {}, fullDisk(0));
    start(spec(14));
    const auto orders = plan({ demand(model("m12"), 3, 0.3), demand(model("m13"), 3, 0.3) });
    EXPECT_EQ(orders.size(), 1U);
}

/// No engine can take the load without the loss of a last copy: nothing is gained by it.
TEST_F(PlacementCoverage, LoadsNothingWhenEachEngineWouldLoseALastCopy)
{
    addEngine("t1", {}, fullDisk(0));
    start(spec(13));
    EXPECT_TRUE(plan({ demand(model("m12"), 3, 0.3) }).empty());
}

/// An engine with room on its disk is preferred over one that evicts a resident model.
TEST_F(PlacementCoverage, PrefersAnEngineWithRoom)
{
    addEngine("t1", { "m0", "m1", "m2" }, { "m0", "m1", "m2" });
    addEngine("t2", { "m0" }, { "m0", "m1", "m2" });
    start(spec(4));
    const auto orders = plan({ demand(model("m3"), 0, 0.3) });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().target, TargetId("t2"));
}

/// Where DiskMb is not stated, loads go on as before.
TEST_F(PlacementCoverage, WithoutAStatedDiskNothingIsHeldBack)
{
    auto engine = spec(13);
    engine.disk = 0;
    addEngine("t1", {}, fullDisk(0));
    start(engine);
    EXPECT_EQ(plan({ demand(model("m12"), 3, 0.3) }).size(), 1U);
}

/// An operator sees from the metrics how many models only the weight store has.
TEST_F(PlacementCoverage, CountsModelsWithoutACopy)
{
    addEngine("t1", { "m0" }, { "m1" });
    start(spec(4));
    (void)plan({});
    EXPECT_EQ(m_planner.missingModels(), 1U); // m2 is being loaded, m3 is not.
}

/// A small disk has evicted the copy of a resident model; an unload would lose the model.
TEST_F(PlacementCoverage, DoesNotUnloadAModelThatIsNowhereElse)
{
    addEngine("t1", { "m0", "m1", "m2" }, { "m1", "m2", "m3" });
    start(spec(4));
    const auto orders = plan({ demand(model("m3"), 3) });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().action, IntentAction::Unload);
    EXPECT_NE(orders.front().key, model("m0"));
}
