#include "membership/fleet.h"
#include "placement/demandtracker.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };

FleetMember member(const std::string &vm)
{
    FleetMember it;
    it.vm = VmId(vm);
    it.incarnation = IncarnationId(vm + "-1");
    it.callers = { vm, 1 };
    it.peers = { vm, 2 };
    return it;
}

DaemonStatus status(const std::string &vm, Duration uptime = 10s)
{
    DaemonStatus it;
    it.vm = VmId(vm);
    it.incarnation = IncarnationId(vm + "-1");
    it.uptime = uptime;
    it.isReady = true;
    return it;
}

} // namespace

TEST(Fleet, CountsMembersAndLiveDaemons)
{
    Fleet fleet(member("a"));
    fleet.replaceMembers({ member("a"), member("b"), member("c") }, Start);
    EXPECT_EQ(fleet.size(), 3U);
    fleet.noteStatus(status("b"), Start);
    EXPECT_EQ(fleet.liveCount(Start), 2U);
    EXPECT_EQ(fleet.liveCount(Start + 5s), 1U);
}

TEST(Fleet, CallerAddressesAreReadyDaemonsOrItself)
{
    Fleet fleet(member("a"));
    fleet.replaceMembers({ member("b"), member("c") }, Start);
    fleet.noteStatus(status("b"), Start);
    auto leaving = status("c");
    leaving.isReady = false;
    fleet.noteStatus(leaving, Start);
    const std::vector both { member("a"), member("b") };
    EXPECT_EQ(fleet.callerDaemons(true, Start), both);
    EXPECT_EQ(fleet.callerDaemons(false, Start), std::vector { member("b") });
    EXPECT_EQ(fleet.callerDaemons(false, Start + 5s), std::vector { member("a") });
}

/// Guards against an address lookup that names a daemon that has been gone for more than
/// StableWindowMs + 3 s, beside running ones, in a fleet without relays.
TEST(Fleet, ADaemonThatIsGoneIsNotNamedAfterSevenSeconds)
{
    for (const int count : { 2, 8, 15 }) {
        Fleet fleet(member("self"));
        std::vector<FleetMember> members;
        for (int n = 0; n < count; ++n)
            members.push_back(member("vm-" + std::to_string(n)));
        fleet.replaceMembers(members, Start);
        for (auto now = Start; now < Start + 30s; now += 100ms) {
            for (int n = now < Start + 10s ? 0 : 1; n < count; ++n)
                fleet.noteStatus(status("vm-" + std::to_string(n)), now);
            const auto named = fleet.callerDaemons(true, now);
            const bool isNamed = std::count(named.begin(), named.end(), member("vm-0")) > 0;
            if (now < Start + 10s) {
                ASSERT_TRUE(isNamed) << count;
            }
            if (now >= Start + 17s) {
                ASSERT_FALSE(isNamed) << count;
            }
        }
    }
}

TEST(Fleet, LateStatusOfFormerIncarnationIsIgnored)
{
    Fleet fleet(member("a"));
    fleet.replaceMembers({ member("b") }, Start);
    auto restarted = status("b", 100ms);
    restarted.incarnation = IncarnationId("b-2");
    EXPECT_TRUE(fleet.noteStatus(restarted, Start));
    EXPECT_FALSE(fleet.noteStatus(status("b", 30s), Start + 10ms));
}

TEST(Fleet, FindsNewestConfigurationAndLeader)
{
    Fleet fleet(member("a"));
    fleet.replaceMembers({ member("b"), member("c") }, Start);
    auto b = status("b");
    b.configVersion = 5;
    b.leaderEpoch = 3;
    b.placement = { 0, 1, { { TargetId("t"), { { ModelId("m"), AdapterId() } } } } };
    b.estimates.push_back({ ServiceId("s"), ModelId("n"), 2s });
    auto c = status("c");
    c.configVersion = 7;
    fleet.noteStatus(b, Start);
    fleet.noteStatus(c, Start);
    EXPECT_EQ(fleet.peerWithConfig(5, Start)->vm, VmId("c"));
    EXPECT_FALSE(fleet.peerWithConfig(7, Start));
    ASSERT_NE(fleet.residents(Start), nullptr);
    EXPECT_EQ(fleet.residents(Start + 5s), nullptr);
    EXPECT_EQ(fleet.readyAt(ServiceId("s"), ModelId("n"), Start), Start + 2s);
    EXPECT_FALSE(fleet.readyAt(ServiceId("s"), ModelId("x"), Start));
}

TEST(Fleet, FetchesMissedPlacementFromLeader)
{
    Fleet fleet(member("a"));
    fleet.replaceMembers({ member("b") }, Start);
    auto b = status("b");
    b.leaderEpoch = 3;
    b.placement = { 7, 8, { { TargetId("t"), { { ModelId("m"), AdapterId() } } } } };
    fleet.noteStatus(b, Start);
    EXPECT_EQ(fleet.residents(Start), nullptr);
    ASSERT_TRUE(fleet.peerWithPlacement(Start));
    EXPECT_EQ(fleet.peerWithPlacement(Start)->vm, VmId("b"));
    b.placement.base = 0;
    fleet.notePlacement(b.incarnation, b.leaderEpoch, b.placement);
    ASSERT_NE(fleet.residents(Start), nullptr);
    EXPECT_FALSE(fleet.peerWithPlacement(Start));
    EXPECT_EQ(fleet.leaderMember(Start)->vm, VmId("b"));
    EXPECT_FALSE(fleet.leaderMember(Start + 5s));
}

/// Regression: all daemons of a fleet fetched a new configuration from the same peer.
TEST(Fleet, ConfigurationFetchesSpreadOverPeers)
{
    constexpr int Size = 60;
    std::vector<FleetMember> members;
    for (int n = 0; n < Size; ++n)
        members.push_back(member("vm-" + std::to_string(n)));
    std::map<VmId, int> fetches;
    for (const auto &self : members) {
        Fleet fleet(self);
        fleet.replaceMembers(members, Start);
        for (int n = 0; n < Size; ++n) {
            auto it = status("vm-" + std::to_string(n));
            it.configVersion = n % 2 == 0 ? 7 : 6;
            fleet.noteStatus(it, Start);
        }
        const auto peer = fleet.peerWithConfig(6, Start);
        ASSERT_TRUE(peer);
        ++fetches[peer->vm];
    }
    for (const auto &[vm, count] : fetches)
        EXPECT_LE(count, 10) << vm.value();
}

TEST(StatusTiming, ReceivedStatusRateDoesNotGrowWithFleet)
{
    const auto small = statusTimingFor(8);
    EXPECT_EQ(small.interval, statusTimingFor(16).interval);
    for (const std::size_t n : { 16U, 60U, 84U, 400U }) {
        const auto statusTiming = statusTimingFor(n);
        const auto received = static_cast<double>(n) / toSeconds(statusTiming.interval);
        EXPECT_LE(received, 16 / toSeconds(small.interval) * 1.01) << n;
        // A daemon still counts as alive after four consecutive statuses were lost.
        EXPECT_GT(statusTiming.livenessTimeout, 4 * statusTiming.interval);
        EXPECT_GT(statusTiming.statusLifetime, statusTiming.livenessTimeout);
    }
}

TEST(Fleet, MemberWithoutStatusTimesOut)
{
    Fleet fleet(member("a"));
    fleet.replaceMembers({ member("b") }, Start);
    EXPECT_TRUE(fleet.timedOutMembers(Start + 10s).empty());
    EXPECT_EQ(fleet.timedOutMembers(Start + 25s).size(), 1U);
    fleet.noteStatus(status("b"), Start + 24s);
    EXPECT_TRUE(fleet.timedOutMembers(Start + 25s).empty());
}

TEST(DemandTracker, CountsWaitingRequestsUntilTheyEnd)
{
    DemandTracker tracker;
    const ReplicaKey key { ModelId("m"), AdapterId() };
    const auto wait = tracker.startWait(ServiceId("s"), key, 9, Start);
    (void)tracker.startWait(ServiceId("s"), key, 3, Start + 1s);
    auto demand = tracker.demand(Start + 2s);
    ASSERT_EQ(demand.size(), 1U);
    EXPECT_EQ(demand[0].waiting, 2U);
    EXPECT_EQ(demand[0].urgency, 12);
    EXPECT_EQ(demand[0].oldestWait, 2s);
    tracker.endWait(wait);
    EXPECT_EQ(tracker.demand(Start + 2s)[0].oldestWait, 1s);
}

TEST(DemandTracker, KeepsDemandOfRequestUntilItsRetry)
{
    DemandTracker tracker;
    const ReplicaKey key { ModelId("m"), AdapterId() };
    tracker.keepUntil(tracker.startWait(ServiceId("s"), key, 9, Start), Start + 3s);
    EXPECT_EQ(tracker.demand(Start + 2s).size(), 1U);
    EXPECT_TRUE(tracker.demand(Start + 4s).empty());
}

TEST(DemandTracker, ArrivalRateDecays)
{
    DemandTracker tracker;
    const ReplicaKey key { ModelId("m"), AdapterId() };
    for (int n = 0; n < 40; ++n)
        tracker.noteArrival(ServiceId("s"), key, Start + n * 100ms);
    const auto busy = tracker.demand(Start + 4s);
    ASSERT_EQ(busy.size(), 1U);
    EXPECT_GT(busy[0].arrivalsPerSecond, 5);
    EXPECT_TRUE(tracker.demand(Start + 60s).empty());
}

namespace {

/// A fleet above the size up to which all daemons send statuses to each other.
Fleet largeFleet(std::size_t formerBuilds)
{
    Fleet fleet(member("self"));
    std::vector<FleetMember> members;
    for (std::size_t n = 0; n < Fleet::MaxMeshSize + 4; ++n) {
        members.push_back(member("vm-" + std::to_string(n)));
        if (n >= formerBuilds)
            members.back().relay = { members.back().vm.value(), 3 };
    }
    fleet.replaceMembers(members, Start);
    return fleet;
}

} // namespace

/// During a rolling replacement, daemons of the build without relays expect statuses from all.
TEST(Fleet, DaemonsOfTheFormerBuildGetStatusesInALargeFleet)
{
    auto fleet = largeFleet(2);
    EXPECT_TRUE(fleet.usesRelays());
    EXPECT_EQ(fleet.directPeers().size(), 2U);
    fleet.noteUnavailable({}, Start);
    EXPECT_EQ(fleet.liveCount(Start), fleet.size() - 2);
    fleet.noteStatus(status("vm-0"), Start);
    EXPECT_EQ(fleet.liveCount(Start), fleet.size() - 1);
}

TEST(Fleet, RelaysTellWhichDaemonsAreUnavailable)
{
    auto fleet = largeFleet(0);
    EXPECT_EQ(fleet.callerDaemons(true, Start), std::vector { member("self") });
    fleet.noteUnavailable({ VmId("vm-3") }, Start);
    EXPECT_EQ(fleet.callerDaemons(true, Start).size(), fleet.size() - 1);
    EXPECT_EQ(fleet.liveCount(Start + Fleet::AvailabilityLifetime), 1U);
}

/// A new leader has heard of nobody yet; only what relays say for long removes a row.
TEST(Fleet, RowsAreRemovedOnlyAfterALongSilenceThatRelaysSaw)
{
    auto fleet = largeFleet(0);
    const auto later = Start + 60s;
    EXPECT_TRUE(fleet.timedOutMembers(later).empty());
    fleet.noteUnavailable({ VmId("vm-3") }, later);
    EXPECT_TRUE(fleet.timedOutMembers(later).empty());
    const auto end = later + Fleet::MemberTimeout + 1s;
    fleet.noteUnavailable({ VmId("vm-3") }, end);
    EXPECT_EQ(fleet.timedOutMembers(end), std::vector { VmId("vm-3") });
}
