#include "relay/digest.h"
#include "routing/targetselector.h"
#include "site/targetregistry.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };
const ServiceId Plain("plain");

TargetEntry entry(const std::string &name, std::uint64_t heartbeat = 1,
                  std::uint64_t startTimeMs = 1)
{
    TargetEntry it;
    it.id = TargetId(name);
    it.service = Plain;
    it.heartbeat = heartbeat;
    it.startTimeMs = startTimeMs;
    return it;
}

/// A registry whose entries were read from the store in the order of the calls.
class OrderedRegistry : public TargetRegistry
{
public:
    void put(const std::string &key, std::optional<TargetEntry> it)
    {
        TargetRegistry::put(key, std::move(it), ++m_version);
    }
    void replaceAll(const std::map<std::string, std::optional<TargetEntry>> &entries, TimePoint now)
    {
        TargetRegistry::replaceAll(entries, ++m_version, now);
    }

private:
    RowVersion m_version = 0;
};

TargetRequirements requirements()
{
    TargetRequirements it;
    it.service = Plain;
    return it;
}

bool isDraining(const TargetRegistry &registry, const std::string &name = "t")
{
    const auto *it = registry.find(TargetId(name));
    return it && it->isDraining;
}

} // namespace

TEST(LeavingTargets, StatementOverridesLaterReadyEntries)
{
    OrderedRegistry registry;
    registry.put("t", entry("t"));
    EXPECT_TRUE(registry.noteLeaving(TargetId("t"), 1, Start));
    EXPECT_TRUE(isDraining(registry));
    registry.put("t", entry("t", 2));
    EXPECT_TRUE(isDraining(registry));
    registry.replaceAll({ { "t", entry("t", 3) } }, Start + 1s);
    EXPECT_TRUE(isDraining(registry));
    EXPECT_FALSE(registry.noteLeaving(TargetId("t"), 1, Start + 1s));
    EXPECT_EQ(registry.leavingSince(*registry.find(TargetId("t"))), Start);
}

TEST(LeavingTargets, StatementAfterADrainingEntryChangesNothing)
{
    OrderedRegistry registry;
    auto draining = entry("t", 2);
    draining.isDraining = true;
    registry.put("t", draining);
    registry.noteLeaving(TargetId("t"), 1, Start);
    registry.put("t", entry("t", 3));
    EXPECT_TRUE(isDraining(registry));
}

TEST(LeavingTargets, StatementOutlivesTheEntry)
{
    OrderedRegistry registry;
    registry.put("t", entry("t"));
    registry.noteLeaving(TargetId("t"), 1, Start);
    registry.remove("t", Start + 1s);
    EXPECT_EQ(registry.find(TargetId("t")), nullptr);
    registry.put("t", entry("t", 2));
    EXPECT_TRUE(isDraining(registry));
    registry.put("t", std::nullopt);
    registry.put("t", entry("t", 3));
    EXPECT_TRUE(isDraining(registry));
}

TEST(LeavingTargets, StatementOfATargetWithoutAnEntryIsKept)
{
    OrderedRegistry registry;
    EXPECT_TRUE(registry.noteLeaving(TargetId("t"), 1, Start));
    registry.put("t", entry("t"));
    EXPECT_TRUE(isDraining(registry));
}

TEST(LeavingTargets, NextRunStartsClean)
{
    OrderedRegistry registry;
    registry.put("t", entry("t", 9, 1));
    registry.noteLeaving(TargetId("t"), 1, Start);
    registry.put("t", entry("t", 1, 2));
    EXPECT_FALSE(isDraining(registry));
    registry.put("t", entry("t", 2, 2));
    EXPECT_FALSE(isDraining(registry));
}

TEST(LeavingTargets, LateResponseOfAnEarlierRunDoesNotMarkTheNextOne)
{
    OrderedRegistry registry;
    registry.put("t", entry("t", 1, 2));
    registry.noteLeaving(TargetId("t"), 1, Start);
    EXPECT_FALSE(isDraining(registry));
    registry.remove("t", Start);
    registry.noteLeaving(TargetId("t"), 1, Start);
    registry.put("t", entry("t", 1, 2));
    EXPECT_FALSE(isDraining(registry));
}

/// The clock of the VM on which the next run starts may be behind.
TEST(LeavingTargets, ARunWithAnEarlierStartTimeStartsClean)
{
    OrderedRegistry registry;
    registry.noteLeaving(TargetId("t"), 2, Start);
    registry.put("t", entry("t", 7, 1));
    EXPECT_FALSE(isDraining(registry));
    registry.noteLeaving(TargetId("t"), 1, Start);
    registry.put("t", entry("t", 1, 2));
    EXPECT_TRUE(isDraining(registry));
}

TEST(LeavingTargets, AnotherTargetAtTheSameAddressStartsClean)
{
    OrderedRegistry registry;
    auto first = entry("t");
    first.address = { "127.0.0.1", 4000 };
    registry.put("t", first);
    registry.noteLeaving(TargetId("t"), 1, Start);
    auto second = entry("u");
    second.address = first.address;
    registry.put("u", second);
    EXPECT_TRUE(isDraining(registry, "t"));
    EXPECT_FALSE(isDraining(registry, "u"));
}

TEST(LeavingTargets, ACopyFromARelayDoesNotOverrideTheStatement)
{
    OrderedRegistry registry;
    registry.put("t", entry("t", 4));
    registry.noteLeaving(TargetId("t"), 1, Start);
    const auto row = relayedRow(entry("t", 5));
    registry.put("t", row.entry);
    EXPECT_TRUE(isDraining(registry));
    EXPECT_FALSE(row.entry->isDraining);
}

TEST(LeavingTargets, StatementSurvivesAnOutageOfTheStore)
{
    OrderedRegistry registry;
    registry.noteContact(Start);
    registry.put("t", entry("t"));
    registry.noteLeaving(TargetId("t"), 1, Start);
    registry.noteContact(Start + 6s);
    registry.replaceAll({}, Start + 6s);
    registry.expire(Start + 9s);
    registry.put("t", entry("t", 2));
    EXPECT_TRUE(isDraining(registry));
}

TEST(LeavingTargets, OnlyTheOldestWithoutAnEntryAreForgotten)
{
    OrderedRegistry registry;
    registry.put("t", entry("t"));
    registry.noteLeaving(TargetId("t"), 1, Start);
    const auto nameOf = [](std::size_t n) {
        return "gone-" + std::to_string(n);
    };
    for (std::size_t n = 0; n < TargetRegistry::MaxLeavingTargets; ++n)
        registry.noteLeaving(TargetId(nameOf(n)), 1, Start + 1s * static_cast<int>(n + 1));
    registry.put("t", entry("t", 2));
    EXPECT_TRUE(isDraining(registry));
    registry.put(nameOf(0), entry(nameOf(0)));
    EXPECT_FALSE(isDraining(registry, nameOf(0)));
    registry.put(nameOf(1), entry(nameOf(1)));
    EXPECT_TRUE(isDraining(registry, nameOf(1)));
}

/// Statements, entries, removals and outdated copies arrive in random orders.
TEST(LeavingTargets, NoRequestIsSentToALeavingRunInAnyOrderOfEvents)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](unsigned n) {
            return static_cast<unsigned>(random() % n);
        };
        OrderedRegistry registry;
        TargetSelector selector(DataCentreId("a"), "vm-1");
        // The latest run that has started, and the runs that have stated that they are leaving.
        std::map<std::string, std::uint64_t> started;
        std::set<std::pair<std::string, std::uint64_t>> leaving;
        std::uint64_t heartbeat = 0;
        auto now = Start;
        registry.noteContact(now);
        for (int step = 0; step < 200; ++step) {
            now += 1ms * static_cast<int>(pick(1500));
            const auto name = "t" + std::to_string(pick(3));
            auto &run = started.try_emplace(name, 2).first->second;
            switch (pick(8)) {
            case 0:
                ++run;
                break;
            case 1: {
                const auto from = run - pick(2);
                leaving.emplace(name, from);
                registry.noteLeaving(TargetId(name), from, now);
                break;
            }
            case 2:
                registry.remove(name, now);
                break;
            case 3:
                registry.noteContact(now);
                break;
            case 4:
                registry.replaceAll({ { name, entry(name, ++heartbeat, run) } }, now);
                break;
            case 5:
                registry.expire(now);
                break;
            default:
                registry.put(name, entry(name, ++heartbeat, run - pick(2)));
                break;
            }
            for (const auto &[id, it] : registry.targets())
                ASSERT_EQ(it.isDraining, leaving.contains({ id.value(), it.startTimeMs }))
                        << "seed " << seed << ", step " << step << ", " << id.value();
            if (const auto chosen = selector.choose(requirements(), registry.targets(), {}, now)) {
                const auto &it = *registry.find(*chosen);
                ASSERT_FALSE(it.isDraining) << "seed " << seed << ", step " << step;
            }
        }
    }
}

TEST(HoldOffs, NothingIsSentUntilTheEnd)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    const std::map<TargetId, TargetEntry> all { { TargetId("t"), entry("t") } };
    EXPECT_TRUE(selector.noteHoldOff(TargetId("t"), 1, 1500ms, Start));
    EXPECT_FALSE(selector.choose(requirements(), all, {}, Start));
    EXPECT_FALSE(selector.choose(requirements(), all, {}, Start + 1499ms));
    EXPECT_EQ(selector.choose(requirements(), all, {}, Start + 1500ms), TargetId("t"));
}

TEST(HoldOffs, AShorterTimeDoesNotEndALongerOne)
{
    HoldOffs holdOffs;
    holdOffs.note(TargetId("t"), 1, 3s, Start);
    holdOffs.note(TargetId("t"), 1, 1s, Start + 1s);
    EXPECT_TRUE(holdOffs.find(entry("t"), Start + 2900ms));
    holdOffs.note(TargetId("t"), 1, 2s, Start + 2s);
    EXPECT_TRUE(holdOffs.find(entry("t"), Start + 3900ms));
    EXPECT_FALSE(holdOffs.find(entry("t"), Start + 4s));
}

TEST(HoldOffs, ALongerTimeThanTheLimitIsCut)
{
    HoldOffs holdOffs;
    EXPECT_FALSE(holdOffs.note(TargetId("t"), 1, 24h, Start));
    EXPECT_TRUE(holdOffs.find(entry("t"), Start + HoldOffs::MaxLength - 1ms));
    EXPECT_FALSE(holdOffs.find(entry("t"), Start + HoldOffs::MaxLength));
}

TEST(HoldOffs, NextRunStartsCleanAndLateResponsesDoNotHoldItOff)
{
    HoldOffs holdOffs;
    holdOffs.note(TargetId("t"), 1, 10s, Start);
    EXPECT_TRUE(holdOffs.find(entry("t", 1, 1), Start));
    EXPECT_FALSE(holdOffs.find(entry("t", 1, 2), Start));
    holdOffs.note(TargetId("t"), 2, 1s, Start);
    holdOffs.note(TargetId("t"), 1, 10s, Start);
    EXPECT_TRUE(holdOffs.find(entry("t", 1, 2), Start));
    EXPECT_FALSE(holdOffs.find(entry("t", 1, 2), Start + 2s));
    EXPECT_FALSE(holdOffs.find(entry("u", 1, 1), Start));
}

TEST(HoldOffs, TheSoonestEndIsKnownOnlyIfNothingElseKeepsTheTargets)
{
    TargetSelector selector(DataCentreId("a"), "vm-1");
    std::map<TargetId, TargetEntry> all { { TargetId("t"), entry("t") },
                                          { TargetId("u"), entry("u") } };
    auto wanted = requirements();
    selector.noteHoldOff(TargetId("t"), 1, 20s, Start);
    EXPECT_FALSE(selector.soonestHoldOff(wanted, all, {}, Start));
    wanted.excluded = { TargetId("u") };
    EXPECT_FALSE(selector.soonestHoldOff(wanted, all, {}, Start));
    selector.noteHoldOff(TargetId("u"), 1, 5s, Start);
    const auto soonest = selector.soonestHoldOff(wanted, all, {}, Start);
    ASSERT_TRUE(soonest);
    EXPECT_EQ(soonest->target, TargetId("u"));
    EXPECT_EQ(soonest->holdOff.until, Start + 5s);
    all.at(TargetId("u")).isDraining = true;
    EXPECT_EQ(selector.soonestHoldOff(wanted, all, {}, Start)->target, TargetId("t"));
    wanted.key = ReplicaKey { ModelId("m"), AdapterId() };
    EXPECT_FALSE(selector.soonestHoldOff(wanted, all, {}, Start));
}

/// Targets name times, restart and answer late in random orders.
TEST(HoldOffs, NoRequestIsSentWithinANamedTimeInAnyOrderOfEvents)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](unsigned n) {
            return static_cast<unsigned>(random() % n);
        };
        TargetSelector selector(DataCentreId("a"), "vm-1");
        std::map<TargetId, TargetEntry> all;
        for (const auto *name : { "t0", "t1", "t2" })
            all.emplace(TargetId(name), entry(name, 1, 10));
        // Ends of the times that each run has named.
        std::map<std::pair<TargetId, std::uint64_t>, TimePoint> named;
        auto now = Start;
        for (int step = 0; step < 300; ++step) {
            now += 1ms * static_cast<int>(pick(400));
            auto &target = all.at(TargetId("t" + std::to_string(pick(3))));
            const auto length = 1ms * static_cast<int>(pick(3000));
            switch (pick(6)) {
            case 0:
                ++target.startTimeMs;
                break;
            case 1:
                selector.noteHoldOff(target.id, target.startTimeMs - 1, length, now);
                break;
            case 2: {
                auto &end = named[{ target.id, target.startTimeMs }];
                end = std::max(end, now + length);
                selector.noteHoldOff(target.id, target.startTimeMs, length, now);
                break;
            }
            default:
                break;
            }
            const auto endOf = [&](const TargetEntry &it) {
                const auto end = named.find({ it.id, it.startTimeMs });
                return end == named.end() ? TimePoint() : end->second;
            };
            const auto chosen = selector.choose(requirements(), all, {}, now);
            const auto isFree = [&](const auto &it) {
                return endOf(it.second) <= now;
            };
            const bool hasFree = std::any_of(all.begin(), all.end(), isFree);
            ASSERT_EQ(chosen.has_value(), hasFree) << "seed " << seed << ", step " << step;
            if (chosen) {
                ASSERT_LE(endOf(all.at(*chosen)), now) << "seed " << seed << ", step " << step;
                continue;
            }
            auto soonest = TimePoint::max();
            for (const auto &[id, it] : all)
                soonest = std::min(soonest, endOf(it));
            const auto held = selector.soonestHoldOff(requirements(), all, {}, now);
            ASSERT_TRUE(held) << "seed " << seed << ", step " << step;
            ASSERT_EQ(held->holdOff.until, soonest) << "seed " << seed << ", step " << step;
        }
    }
}
