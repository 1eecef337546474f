#include "tests/placementsimulation.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace bluebell::tests;
using std::chrono::seconds;

namespace {

const TargetId Target("t");
const ReplicaKey Model { ModelId("m"), AdapterId() };
const ReplicaKey Adapter { ModelId("m"), AdapterId("a") };
constexpr Bytes GiB = 1ULL << 30U;

TimePoint at(int s)
{
    return TimePoint(seconds(1000 + s));
}

std::shared_ptr<const RuleSet> rules()
{
    const auto parsed = parseRules("f",
                                   "class c weight=1 timeout=60s # t\n"
                                   "target t address=127.0.0.1:1 datacentre=d kind=engine "
                                   "memory=80GiB fencing=no slots=4 # t\n"
                                   "model m memory=50GiB replicas=1 # t\n"
                                   "model n memory=50GiB replicas=1 # t\n"
                                   "adapter a model=m memory=1GiB # t\n");
    return std::make_shared<const RuleSet>(parsed.value().rules);
}

TargetReport report(std::uint64_t sequence, std::vector<ReportedReplica> replicas = {},
                    const std::string &incarnation = "run-1")
{
    TargetReport it;
    it.incarnation = IncarnationId(incarnation);
    it.sequence = sequence;
    it.memory = 80 * GiB;
    it.replicas = std::move(replicas);
    return it;
}

LoadPlanner planner(Epoch epoch = 1, int start = 0)
{
    LoadPlanner it("p", epoch, {}, at(start));
    it.noteRules(rules());
    it.noteLedger(Target, {}, 0);
    it.noteReport(Target, report(1), at(start));
    return it;
}

void addDemand(LoadPlanner &it, const ReplicaKey &key, int now)
{
    it.noteDemand(key, { VmId("d"), OrganisationId("o"), 1, 0, seconds(1) }, at(now));
}

/// Commits all planned changes and returns them.
std::vector<LedgerChange> commitAll(LoadPlanner &it, int now)
{
    static RowVersion version = 1;
    const auto changes = it.plan(at(now));
    for (const auto &change : changes)
        it.noteCommitted(change, ++version);
    return changes;
}

ReportedReplica resident(const ReplicaKey &key, const IntentId &intent)
{
    return { key, ReplicaState::Resident, 50 * GiB, intent, 0 };
}

} // namespace

TEST(Placement, DemandAtManyDaemonsStartsOneLoad)
{
    auto it = planner();
    for (int n = 0; n < 8; ++n)
        it.noteDemand(Model, { VmId("d" + std::to_string(n)), OrganisationId("o"), 1, 0, {} },
                      at(0));
    EXPECT_EQ(commitAll(it, 0).size(), 1U);
    EXPECT_TRUE(commitAll(it, 0).empty());
    EXPECT_EQ(it.orders(at(0)).size(), 1U);
    EXPECT_EQ(it.status(Model, at(0)).loading.size(), 1U);
}

TEST(Placement, OrderIsSentOnlyAfterTheCommit)
{
    auto it = planner();
    addDemand(it, Model, 0);
    EXPECT_EQ(it.plan(at(0)).size(), 1U);
    EXPECT_TRUE(it.orders(at(0)).empty());
}

TEST(Placement, SuccessorResendsTheRecordedOrderWithItsOwnEpoch)
{
    auto first = planner(1);
    addDemand(first, Model, 0);
    const auto change = commitAll(first, 0).front();
    auto second = planner(2);
    second.noteLedger(Target, change.ledger, 7);
    second.notePlaces(Model, change.places, 7);
    const auto orders = second.orders(at(0));
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].entry.intent, change.ledger.at(Model).intent);
    EXPECT_EQ(orders[0].entry.epoch, 2U);
}

TEST(Placement, UnconfirmedOrderHoldsItsMemoryWithoutTimeout)
{
    auto it = planner();
    addDemand(it, Model, 0);
    (void)commitAll(it, 0);
    for (int s = 1; s < 600; s += 2) {
        it.noteReport(Target, report(static_cast<std::uint64_t>(s) + 1), at(s));
        addDemand(it, { ModelId("n"), AdapterId() }, s);
        EXPECT_TRUE(commitAll(it, s).empty());
    }
    EXPECT_EQ(it.committedBytes(Target), 50 * GiB);
    // A new incarnation of the target releases the memory.
    it.noteReport(Target, report(1, {}, "run-2"), at(600));
    EXPECT_EQ(commitAll(it, 600).size(), 1U);
    EXPECT_EQ(it.committedBytes(Target), 0U);
}

TEST(Placement, RefusedLoadIsFreedAndNotRetriedAtOnce)
{
    auto it = planner();
    addDemand(it, Model, 0);
    const auto intent = commitAll(it, 0).front().ledger.at(Model).intent;
    auto refused = report(2);
    refused.refused.push_back(intent);
    it.noteReport(Target, refused, at(1));
    EXPECT_EQ(commitAll(it, 1).size(), 1U);
    EXPECT_EQ(it.decidedReplicas(Model), 0U);
    addDemand(it, Model, 2);
    EXPECT_TRUE(commitAll(it, 2).empty());
}

TEST(Placement, ReplicaWithRunningRequestsIsNotEvicted)
{
    auto it = planner();
    addDemand(it, Model, 0);
    const auto intent = commitAll(it, 0).front().ledger.at(Model).intent;
    auto busy = resident(Model, intent);
    busy.running = 1;
    const ReplicaKey other { ModelId("n"), AdapterId() };
    for (int s = 1; s < 100; ++s) {
        it.noteReport(Target, report(static_cast<std::uint64_t>(s) + 1, { busy }), at(s));
        addDemand(it, other, s);
        EXPECT_TRUE(commitAll(it, s).empty());
    }
    it.noteReport(Target, report(200, { resident(Model, intent) }), at(110));
    addDemand(it, other, 110);
    const auto changes = commitAll(it, 110);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].ledger.at(Model).action, IntentAction::Unload);
    // The memory is reused only after a report shows the target without the replica.
    addDemand(it, other, 111);
    EXPECT_TRUE(commitAll(it, 111).empty());
}

TEST(Placement, UnrecordedReplicaIsUnloaded)
{
    auto it = planner();
    it.noteReport(Target, report(2, { resident(Model, IntentId("x")) }), at(0));
    const auto changes = commitAll(it, 0);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].ledger.at(Model).action, IntentAction::Unload);
    EXPECT_EQ(it.orders(at(0)).size(), 1U);
}

TEST(Placement, SuccessorCountsIdleTimeFromItsStart)
{
    auto it = planner(2, 0);
    const LedgerEntry entry { IntentId("x"), IntentAction::Load, 50 * GiB, 1,
                              IncarnationId("run-1") };
    it.noteLedger(Target, { { Model, entry } }, 5);
    it.notePlaces(Model, { Target }, 5);
    it.noteReport(Target, report(2, { resident(Model, IntentId("x")) }), at(0));
    EXPECT_TRUE(commitAll(it, 1).empty());
    it.noteReport(Target, report(3, { resident(Model, IntentId("x")) }), at(300));
    EXPECT_EQ(commitAll(it, 300).size(), 1U);
}

TEST(Placement, AdapterWaitsForItsModel)
{
    auto it = planner();
    addDemand(it, Adapter, 0);
    const auto first = commitAll(it, 0);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].key, Model);
    const auto intent = first[0].ledger.at(Model).intent;
    it.noteReport(Target, report(2, { resident(Model, intent) }), at(1));
    addDemand(it, Adapter, 1);
    const auto second = commitAll(it, 1);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].key, Adapter);
}

TEST(Placement, LeavingTargetGetsNoLoads)
{
    auto it = planner();
    auto leaving = report(2);
    leaving.isLeaving = true;
    it.noteReport(Target, leaving, at(0));
    addDemand(it, Model, 0);
    EXPECT_TRUE(commitAll(it, 0).empty());
}

TEST(Placement, LeavingTargetKeepsReplicasWithRunningRequests)
{
    auto it = planner();
    addDemand(it, Model, 0);
    const auto intent = commitAll(it, 0).front().ledger.at(Model).intent;
    auto busy = report(2, { resident(Model, intent) });
    busy.isLeaving = true;
    busy.replicas[0].running = 1;
    it.noteReport(Target, busy, at(1));
    EXPECT_TRUE(commitAll(it, 1).empty());
    busy.replicas[0].running = 0;
    ++busy.sequence;
    it.noteReport(Target, busy, at(2));
    EXPECT_EQ(commitAll(it, 2).size(), 1U);
}

TEST(Placement, ReplicasOfOtherShardsCountAgainstMemory)
{
    std::size_t shards = 2;
    while (shardOf(ModelId("n"), shards) == shardOf(Model.model, shards))
        ++shards;
    const auto shard = shardOf(ModelId("n"), shards);
    LoadPlanner it("p", 1, { .shard = shard, .shards = shards }, at(0));
    it.noteRules(rules());
    it.noteLedger(Target, {}, 0);
    it.noteReport(Target, report(1, { resident(Model, IntentId("x")) }), at(0));
    addDemand(it, { ModelId("n"), AdapterId() }, 0);
    EXPECT_TRUE(commitAll(it, 0).empty());
    EXPECT_TRUE(it.orders(at(0)).empty());
}

TEST(Placement, ConflictBlocksPlanningUntilTheRowsAreReadAgain)
{
    auto it = planner();
    addDemand(it, Model, 0);
    it.noteConflict(it.plan(at(0)).front());
    addDemand(it, Model, 0);
    EXPECT_TRUE(it.plan(at(0)).empty());
    it.noteLedger(Target, {}, 3);
    EXPECT_EQ(it.plan(at(0)).front().ledgerVersion, 3U);
}

/// Random simulations: no fault, each kind of fault alone, and all but restarts together, each with
/// and without fencing checks.
class PlacementFaultMatrix : public testing::TestWithParam<std::tuple<int, bool>>
{
};

TEST_P(PlacementFaultMatrix, NeitherReplicasNorMemoryExceedTheirLimits)
{
    const auto [fault, checksFencing] = GetParam();
    PlacementScenario scenario;
    scenario.checksFencing = checksFencing;
    auto &faults = scenario.faults;
    constexpr int All = 8;
    faults.takeovers = fault == 1 || fault == All;
    faults.lateOrders = fault == 2 || fault == All;
    faults.losesOrders = fault == 3 || fault == All;
    faults.targetsRestart = fault == 4;
    faults.loadsFail = fault == 5 || fault == All;
    faults.losesReplies = fault == 6 || fault == All;
    faults.targetsLeave = fault == 7 || fault == All;
    faults.slowsStore = fault == 9 || fault == All;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        scenario.seed = seed;
        const auto outcome = runPlacementSimulation(scenario);
        EXPECT_EQ(outcome.overcommitted, 0U) << "seed " << seed;
        EXPECT_EQ(outcome.tooManyReplicas, 0U) << "seed " << seed;
        EXPECT_GT(outcome.served, 0U) << "seed " << seed;
    }
}

/// A late order reaches a restarted target. Only a target that checks fencing numbers and
/// incarnations can detect it; see docs/FAULTS.md.
TEST(Placement, FencingTargetRefusesOrdersForAnEarlierRun)
{
    PlacementScenario scenario;
    scenario.faults = { true, true, true, true, true, true, true, true };
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        scenario.seed = seed;
        const auto outcome = runPlacementSimulation(scenario);
        EXPECT_EQ(outcome.overcommitted, 0U) << "seed " << seed;
        EXPECT_EQ(outcome.tooManyReplicas, 0U) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, PlacementFaultMatrix,
                         testing::Combine(testing::Range(0, 10), testing::Bool()));
