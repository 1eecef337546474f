#include "membership/drain.h"
#include "routing/entryselector.h"
#include "routing/router.h"

#include <gtest/gtest.h>

using namespace bluebell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(double s)
{
    return TimePoint(seconds(1000)) + milliseconds(static_cast<std::int64_t>(s * 1000));
}

const TargetId A("a");
const TargetId B("b");

Router router(RoutingPolicy policy = TwoChoices {})
{
    return { policy, {}, 1 };
}

std::optional<TargetId> chosen(const Router::Choice &choice)
{
    const auto *it = std::get_if<Router::Chosen>(&choice);
    return it == nullptr ? std::nullopt : std::optional(it->target);
}

} // namespace

TEST(Router, NewDaemonFetchesReportBeforeFirstRequest)
{
    auto it = router();
    EXPECT_TRUE(std::holds_alternative<Router::NeedsReport>(it.choose({ A }, at(0))));
    it.noteReport(A, 0, 4, true, at(0));
    EXPECT_TRUE(std::holds_alternative<Router::NoneAvailable>(it.choose({ A }, at(0))));
    it.noteReport(A, 0, 4, false, at(0));
    EXPECT_EQ(chosen(it.choose({ A }, at(0))), A);
}

TEST(Router, ExpiredReportMustBeFetchedAgain)
{
    auto it = router();
    it.noteReport(A, 0, 4, false, at(0));
    EXPECT_EQ(chosen(it.choose({ A }, at(2.5))), A);
    EXPECT_TRUE(std::holds_alternative<Router::NeedsReport>(it.choose({ A }, at(2.6))));
}

TEST(Router, CountsOwnRequestsBetweenReports)
{
    auto it = router();
    it.noteReport(A, 0, 8, false, at(0));
    it.noteReport(B, 2, 8, false, at(0));
    std::map<TargetId, int> sent;
    for (int n = 0; n < 6; ++n) {
        const auto target = *chosen(it.choose({ A, B }, at(0)));
        it.noteStarted(target);
        ++sent[target];
    }
    EXPECT_EQ(sent[A], 4);
    EXPECT_EQ(sent[B], 2);
}

TEST(Router, BackoffFromFailingTargetGrows)
{
    auto it = router();
    it.noteReport(A, 0, 4, false, at(0));
    it.noteFailure(A, at(0));
    EXPECT_FALSE(chosen(it.choose({ A }, at(0.1))));
    EXPECT_TRUE(chosen(it.choose({ A }, at(0.3))));
    it.noteFailure(A, at(0.3));
    EXPECT_FALSE(chosen(it.choose({ A }, at(0.6))));
    it.noteSuccess(A);
    EXPECT_TRUE(chosen(it.choose({ A }, at(0.6))));
}

TEST(Router, LimitsInFlightRequestsToSlots)
{
    auto it = router();
    it.noteReport(A, 0, 2, false, at(0));
    it.noteStarted(A);
    it.noteStarted(A);
    EXPECT_TRUE(std::holds_alternative<Router::NoneAvailable>(it.choose({ A }, at(0))));
    it.noteFinished(A);
    EXPECT_TRUE(chosen(it.choose({ A }, at(0))));
}

TEST(EntrySelector, CallersOfOneOrganisationShareFewEntries)
{
    std::vector<EntryAddress> entries;
    for (int n = 0; n < 8; ++n)
        entries.push_back({ VmId("vm-" + std::to_string(n)), { "127.0.0.1", 1 }, false });
    const auto first = selectEntries("shop", entries, 2, seconds(5));
    std::reverse(entries.begin(), entries.end());
    const auto second = selectEntries("shop", entries, 2, seconds(5));
    ASSERT_EQ(first.entries.size(), 2U);
    EXPECT_EQ(first.entries[0].vm, second.entries[0].vm);
    EXPECT_EQ(first.entries[1].vm, second.entries[1].vm);
}

TEST(EntrySelector, LeavingEntriesAreReturnedOnlyWithoutOthers)
{
    const EntryAddress staying { VmId("s"), { "127.0.0.1", 1 }, false };
    const EntryAddress leaving { VmId("l"), { "127.0.0.1", 2 }, true };
    EXPECT_EQ(selectEntries("o", { staying, leaving }, 2, seconds(5)).entries.size(), 1U);
    EXPECT_EQ(selectEntries("o", { leaving }, 2, seconds(5)).entries.size(), 1U);
}

TEST(Drain, AcceptsDuringHoldTimeThenFinishes)
{
    DrainController drain({ seconds(10), seconds(600) });
    EXPECT_EQ(drain.advance(3, at(0)), DrainPhase::Serving);
    drain.requestStop(at(0));
    EXPECT_EQ(drain.advance(0, at(9.9)), DrainPhase::Unlisted);
    EXPECT_EQ(drain.advance(2, at(10)), DrainPhase::Finishing);
    EXPECT_EQ(drain.advance(0, at(11)), DrainPhase::Done);
}

TEST(Drain, SecondRequestOrDeadlineForcesEnd)
{
    DrainController drain({ seconds(10), seconds(60) });
    drain.requestStop(at(0));
    EXPECT_EQ(drain.advance(1, at(60)), DrainPhase::Forced);
    DrainController other({ seconds(10), seconds(60) });
    other.requestStop(at(0));
    other.requestStop(at(1));
    EXPECT_EQ(other.advance(0, at(1)), DrainPhase::Forced);
}
