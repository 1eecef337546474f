#include "routing/coldlimits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };
const ServiceId Engines("engines");

VmId vm(std::size_t n)
{
    return VmId("vm-" + std::to_string(n));
}

std::set<VmId> daemons(std::size_t count)
{
    std::set<VmId> all;
    for (std::size_t n = 0; n < count; ++n)
        all.insert(vm(n));
    return all;
}

TargetEntry coldTarget(const std::string &id, TimePoint coldUntil)
{
    TargetEntry it;
    it.id = TargetId(id);
    it.service = Engines;
    it.coldUntil = coldUntil;
    return it;
}

/// \returns the limits of a daemon that has known the others for long
ColdLimits settled(const VmId &self, const std::set<VmId> &others, double rate = 14)
{
    ColdLimits it(self);
    it.setRates({ { Engines, rate } });
    it.setDaemons(others, Start - 1h);
    return it;
}

/// Sends to a target as much as a daemon may, with attempts at random times.
std::vector<TimePoint> sendsOf(ColdLimits &limits, const TargetEntry &target, Duration length,
                               std::minstd_rand &random)
{
    std::vector<TimePoint> sends;
    std::uniform_int_distribution<int> pause(1, 60);
    for (auto now = Start; now < Start + length; now += std::chrono::milliseconds(pause(random))) {
        if (!limits.maySend(target, now))
            continue;
        limits.noteSent(target, now);
        sends.push_back(now);
    }
    return sends;
}

/// \returns the most sends in any one second
std::size_t mostInASecond(std::vector<TimePoint> sends)
{
    std::sort(sends.begin(), sends.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t n = 0; n < sends.size(); ++n) {
        while (sends[n] - sends[first] >= 1s)
            ++first;
        most = std::max(most, n - first + 1);
    }
    return most;
}

} // namespace

TEST(ColdLimits, SharesAreWholeAndLeaveRoomForOtherViews)
{
    for (const double rate : { 1.0, 2.0, 3.0, 5.0, 8.0, 14.0, 100.0 })
        for (std::size_t count = 1; count < 300; ++count) {
            const auto shares = coldSharesOf(rate, count);
            const auto tolerance = std::min<std::size_t>(4, static_cast<std::size_t>(rate) / 2);
            ASSERT_GE(shares.senders, 1U) << rate << ' ' << count;
            ASSERT_GE(shares.perSender, 1U) << rate << ' ' << count;
            ASSERT_LE(static_cast<double>((shares.senders + tolerance) * shares.perSender), rate)
                    << rate << ' ' << count;
        }
    EXPECT_EQ(coldSharesOf(0.5, 10).senders, 0U);
    EXPECT_EQ(coldSharesOf(14, 74).senders, 10U);
}

/// Guards against a cold target that crashes because each daemon adds its small share: 74 daemons
/// under more load than the target stands, each with a view that lacks a few of the others or still
/// has a few that are gone.
TEST(ColdLimits, ManyDaemonsWithDifferingViewsStayWithinTheRate)
{
    std::minstd_rand random(7);
    for (int round = 0; round < 20; ++round) {
        const auto target = coldTarget("e" + std::to_string(round), Start + 1h);
        std::vector<TimePoint> sends;
        std::uniform_int_distribution<std::size_t> any(0, 73);
        // All daemons miss some of the same few, so that the number of senders is highest.
        std::set<VmId> unsure;
        while (unsure.size() < ColdLimits::MaxViewDifference)
            unsure.insert(vm(any(random)));
        for (std::size_t n = 0; n < 74; ++n) {
            auto view = daemons(74);
            for (const auto &it : unsure)
                if (it != vm(n) && random() % 2 == 0)
                    view.erase(it);
            auto limits = settled(vm(n), view);
            const auto own = sendsOf(limits, target, 4s, random);
            sends.insert(sends.end(), own.begin(), own.end());
        }
        EXPECT_LE(mostInASecond(sends), 14U) << round;
        EXPECT_GE(sends.size(), 20U) << round;
    }
}

/// Guards against a fleet that sends nothing at all to a cold target, or always through the same
/// daemons.
TEST(ColdLimits, TheSendersDifferBetweenTargets)
{
    std::set<VmId> senders;
    for (int target = 0; target < 20; ++target) {
        std::size_t count = 0;
        for (std::size_t n = 0; n < 60; ++n) {
            const auto limits = settled(vm(n), daemons(60));
            if (!limits.maySend(coldTarget("e" + std::to_string(target), Start + 3s), Start))
                continue;
            senders.insert(vm(n));
            ++count;
        }
        EXPECT_EQ(count, 10U);
    }
    EXPECT_GE(senders.size(), 50U);
}

TEST(ColdLimits, ASenderMaySendAgainWhenItsLastSendNoLongerCounts)
{
    auto it = settled(vm(0), daemons(1), 2);
    const auto target = coldTarget("e1", Start + 10s);
    ASSERT_TRUE(it.maySend(target, Start));
    it.noteSent(target, Start);
    EXPECT_EQ(it.blockedUntil(target, Start + 1s), Start + ColdLimits::Window);
    EXPECT_TRUE(it.maySend(target, Start + ColdLimits::Window));
}

/// Guards against a limit on warm targets and on services without one.
TEST(ColdLimits, OnlyColdTargetsOfServicesWithARateAreLimited)
{
    ColdLimits it(vm(0));
    const auto cold = coldTarget("e1", Start + 3s);
    EXPECT_TRUE(it.maySend(cold, Start));
    it.setRates({ { Engines, 14 }, { ServiceId("plain"), 0 } });
    EXPECT_EQ(it.blockedUntil(cold, Start), Start + 3s);
    EXPECT_TRUE(it.maySend(cold, Start + 3s));
    auto plain = cold;
    plain.service = ServiceId("plain");
    EXPECT_TRUE(it.maySend(plain, Start));
}

/// Guards against daemons that all take themselves for the first of a short list.
TEST(ColdLimits, ADaemonThatDoesNotKnowTheFleetSendsNone)
{
    const auto target = coldTarget("e1", Start + 1h);
    ColdLimits it(vm(0));
    it.setRates({ { Engines, 14 } });
    EXPECT_FALSE(it.maySend(target, Start));
    it.setDaemons({ vm(0), vm(1) }, Start);
    EXPECT_FALSE(it.maySend(target, Start + 1s));
    EXPECT_TRUE(it.maySend(target, Start + ColdLimits::SettleTime));
    const auto unregistered = settled(vm(9), daemons(3));
    EXPECT_FALSE(unregistered.maySend(target, Start));
}

/// Guards against a burst while many daemons register and the views differ by more than a few.
TEST(ColdLimits, SendsNoneWhileManyDaemonsChange)
{
    auto it = settled(vm(0), daemons(4));
    const auto target = coldTarget("e1", Start + 1h);
    ASSERT_TRUE(it.maySend(target, Start));
    it.setDaemons(daemons(8), Start);
    EXPECT_TRUE(it.maySend(target, Start));
    it.setDaemons(daemons(9), Start + 1s);
    EXPECT_FALSE(it.maySend(target, Start + 1s));
    EXPECT_TRUE(it.maySend(target, Start + ColdLimits::SettleTime));
}

TEST(ColdTargets, AnEntryReadAgainDoesNotProlongTheColdPeriod)
{
    TargetEntry first;
    first.heartbeat = 4;
    first.coldTime = 2s;
    setColdUntil(first, nullptr, first.coldTime, Start);
    EXPECT_TRUE(first.isCold(Start + 1900ms));
    EXPECT_FALSE(first.isCold(Start + 2s));
    auto again = first;
    setColdUntil(again, &first, again.coldTime, Start + 1s);
    EXPECT_EQ(again.coldUntil, Start + 2s);
    auto next = first;
    next.heartbeat = 5;
    next.coldTime = 3s;
    setColdUntil(next, &first, next.coldTime, Start + 1s);
    EXPECT_EQ(next.coldUntil, Start + 4s);
}
