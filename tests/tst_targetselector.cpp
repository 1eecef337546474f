#include "routing/targetselector.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };
const ServiceId Plain("plain");

std::map<TargetId, TargetEntry> targets(std::initializer_list<std::string> names)
{
    std::map<TargetId, TargetEntry> all;
    for (const auto &name : names) {
        TargetEntry it;
        it.id = TargetId(name);
        it.service = Plain;
        it.slots = 6;
        it.dataCentre = DataCentreId(name.substr(0, 1));
        all.emplace(it.id, it);
    }
    return all;
}

TargetRequirements requirements()
{
    TargetRequirements it;
    it.service = Plain;
    return it;
}

} // namespace

TEST(TargetSelector, PrefersOwnDataCentreUntilItIsBusier)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    const auto all = targets({ "a1", "b1" });
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start), TargetId("a1"));
    for (int n = 0; n < 3; ++n)
        selector.noteStarted(TargetId("a1"), std::nullopt);
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start), TargetId("b1"));
}

TEST(TargetSelector, CountsRequestsOfOtherDaemons)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    const auto all = targets({ "a1", "a2" });
    const auto first = *selector.choose(requirements(), all, {}, Start);
    selector.notePeerCounts(VmId("vm-2"), { { first, 4 } }, Start);
    EXPECT_NE(selector.choose(requirements(), all, {}, Start), first);
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start + 5s), first);
}

TEST(TargetSelector, BacksOffFromBrokenTargetAndReturns)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    const auto all = targets({ "a1", "b1" });
    selector.noteOutcome(TargetId("a1"), TargetOutcome::Broken, Start);
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start), TargetId("b1"));
    for (int n = 0; n < 30; ++n)
        selector.noteOutcome(TargetId("a1"), TargetOutcome::Answered, Start + 1s);
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start + 5s), TargetId("a1"));
}

TEST(TargetSelector, UsesBrokenTargetWhenThereIsNoOther)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    selector.noteOutcome(TargetId("a1"), TargetOutcome::Broken, Start);
    EXPECT_EQ(selector.choose(requirements(), targets({ "a1" }), {}, Start), TargetId("a1"));
}

TEST(TargetSelector, SkipsDrainingExcludedAndNonResidentTargets)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    auto all = targets({ "a1", "a2", "a3" });
    all[TargetId("a1")].isDraining = true;
    auto it = requirements();
    it.excluded.insert(TargetId("a2"));
    it.key = ReplicaKey { ModelId("m"), AdapterId() };
    EXPECT_FALSE(selector.choose(it, all, {}, Start));
    std::map<TargetId, std::set<ReplicaKey>> residents;
    for (const auto &[id, entry] : all)
        residents[id].insert(*it.key);
    EXPECT_EQ(selector.choose(it, all, residents, Start), TargetId("a3"));
    selector.noteNotResident(TargetId("a3"), *it.key, Start);
    EXPECT_FALSE(selector.choose(it, all, residents, Start));
}

TEST(TargetSelector, UnreachableTargetIsSkippedForAShortTime)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    const auto all = targets({ "a1" });
    selector.noteOutcome(TargetId("a1"), TargetOutcome::Unreachable, Start);
    EXPECT_FALSE(selector.choose(requirements(), all, {}, Start + 100ms));
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start + 400ms), TargetId("a1"));
}

/// Guards against requests to an evacuated data centre, also when nothing else is left.
TEST(TargetSelector, NeverChoosesATargetOfAnEvacuatedDataCentre)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    auto all = targets({ "a1", "a2", "b1" });
    selector.setEvacuated({ DataCentreId("a") });
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start), TargetId("b1"));
    EXPECT_FALSE(selector.isEvacuated(Plain, all));
    auto tried = requirements();
    tried.excluded.insert(TargetId("b1"));
    EXPECT_EQ(selector.choose(tried, all, {}, Start), std::nullopt);
    all.at(TargetId("b1")).isDraining = true;
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start), std::nullopt);
    EXPECT_TRUE(selector.isEvacuated(Plain, all));
    EXPECT_FALSE(selector.isEvacuated(ServiceId("other"), all));
    selector.setEvacuated({});
    EXPECT_TRUE(selector.choose(requirements(), all, {}, Start));
}

/// Guards against a request that waits for the hold-off of an evacuated target.
TEST(TargetSelector, TheHoldOffOfAnEvacuatedTargetIsNotAwaited)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    const auto all = targets({ "a1", "b1" });
    selector.noteHoldOff(TargetId("a1"), 0, 1s, Start);
    selector.noteHoldOff(TargetId("b1"), 0, 9s, Start);
    selector.setEvacuated({ DataCentreId("a") });
    const auto soonest = selector.soonestHoldOff(requirements(), all, {}, Start);
    ASSERT_TRUE(soonest);
    EXPECT_EQ(soonest->target, TargetId("b1"));
}

/// Guards against more requests to a cold target than this daemon may send, whatever their kind.
TEST(TargetSelector, AColdTargetGetsOnlyThisDaemonsShare)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    auto all = targets({ "a1", "b1" });
    all.at(TargetId("a1")).coldUntil = Start + 3s;
    selector.coldLimits().setRates({ { Plain, 1 } });
    selector.coldLimits().setDaemons({ VmId("vm-1") }, Start - 1h);
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start), TargetId("b1"));
    all.erase(TargetId("b1"));
    ASSERT_EQ(selector.choose(requirements(), all, {}, Start), TargetId("a1"));
    selector.noteSent(all.at(TargetId("a1")), Start);
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start), std::nullopt);
    const auto soonest = selector.soonestHoldOff(requirements(), all, {}, Start);
    ASSERT_TRUE(soonest);
    EXPECT_TRUE(soonest->isCold);
    EXPECT_EQ(soonest->holdOff.until, Start + ColdLimits::Window);
    EXPECT_TRUE(selector.choose(requirements(), all, {}, Start + 3s));
}

// Load: many daemons send requests for one model, and their counts of each other are half a second
// old. Guards against all of them choosing the engine that was the least loaded then.
TEST(TargetSelector, DaemonsWithTheSameOldCountsSpreadOverEngines)
{
    const ReplicaKey key { ModelId("m"), AdapterId() };
    auto all = targets({ "a1", "a2", "a3", "a4" });
    ResidentReplicas residents;
    for (auto &[id, it] : all) {
        it.slots = 16;
        it.engine.emplace();
        residents[id] = { key };
    }
    std::map<TargetId, int> chosen;
    constexpr int Daemons = 40;
    for (int n = 1; n <= Daemons; ++n) {
        TargetSelector selector(DataCentreId("a"), "vm-" + std::to_string(n));
        const std::map<TargetId, std::uint32_t> counts { { TargetId("a1"), 5 },
                                                         { TargetId("a2"), 6 },
                                                         { TargetId("a3"), 6 },
                                                         { TargetId("a4"), 15 } };
        selector.notePeerCounts(VmId("*"), counts, Start);
        auto it = requirements();
        it.key = key;
        it.spread = static_cast<std::uint64_t>(n);
        ++chosen[*selector.choose(it, all, residents, Start)];
    }
    EXPECT_LT(chosen[TargetId("a1")], Daemons * 3 / 4);
    EXPECT_GT(chosen[TargetId("a2")], 0);
    EXPECT_GT(chosen[TargetId("a3")], 0);
    EXPECT_EQ(chosen[TargetId("a4")], 0);
}

// Guards against a local engine that is full while one in another data centre has free slots.
TEST(TargetSelector, AFullEngineIsLeftForAnotherDataCentre)
{
    const ReplicaKey key { ModelId("m"), AdapterId() };
    auto all = targets({ "a1", "b1" });
    ResidentReplicas residents;
    for (auto &[id, it] : all) {
        it.slots = 16;
        it.engine.emplace();
        residents[id] = { key };
    }
    TargetSelector selector(DataCentreId("a"), "vm-1");
    selector.notePeerCounts(VmId("*"), { { TargetId("a1"), 16 }, { TargetId("b1"), 15 } }, Start);
    auto it = requirements();
    it.key = key;
    EXPECT_EQ(selector.choose(it, all, residents, Start), TargetId("b1"));
}
