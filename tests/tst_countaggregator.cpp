#include "relay/countaggregator.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };
const OrganisationId Org("org");

DaemonStatus report(const std::string &vm, Tokens admitted, Tokens acknowledged = 0)
{
    DaemonStatus it;
    it.vm = VmId(vm);
    it.incarnation = IncarnationId(vm + "-1");
    it.inFlight.push_back({ TargetId("t"), {}, 2 });
    it.rates.push_back({ Org, admitted, 0, acknowledged });
    return it;
}

GroupSummary summary(Tokens admitted, Duration age)
{
    GroupSummary it;
    it.relay = VmId("other");
    it.incarnation = IncarnationId("other-1");
    it.countsAge = age;
    it.counts.admitted[Org] = admitted;
    it.counts.inFlight[TargetId("t")] = 5;
    return it;
}

} // namespace

/// Regression: an organisation was listed from its first admission on. The first sum that a daemon
/// hears is the base of the next ones, so what had been admitted until then was never subtracted.
TEST(CountAggregator, ListsOrganisationsBeforeTheirFirstAdmission)
{
    CountAggregator counts;
    counts.noteReport(report("a", 0), true, Start);
    ASSERT_TRUE(counts.fleetCounts(Start).admitted.contains(Org));
    EXPECT_EQ(counts.fleetCounts(Start).admitted.at(Org), 0);
    EXPECT_TRUE(counts.ownCounts(Start).admitted.contains(Org));
    CountAggregator others;
    others.noteSummary(summary(0, 10s), Start);
    EXPECT_TRUE(others.fleetCounts(Start).admitted.contains(Org));
}

TEST(CountAggregator, CountsADaemonAtItsPrimaryRelayOnly)
{
    CountAggregator counts;
    counts.noteReport(report("a", 700), false, Start);
    EXPECT_TRUE(counts.fleetCounts(Start).inFlight.empty());
    counts.noteReport(report("a", 900, 700), true, Start);
    EXPECT_EQ(counts.fleetCounts(Start).admitted.at(Org), 200);
    EXPECT_EQ(counts.fleetCounts(Start).inFlight.at(TargetId("t")), 2U);
    // Another relay counts up to 1,500 in the meantime.
    counts.noteReport(report("a", 1400, 900), false, Start + 500ms);
    counts.noteReport(report("a", 1600, 1500), true, Start + 1s);
    EXPECT_EQ(counts.fleetCounts(Start).admitted.at(Org), 300);
}

/// Regression: tokens that were refunded lowered the sum a second time when the daemon's next
/// report came before the confirmation of the lower count. A hot organisation was admitted a
/// quarter more.
TEST(CountAggregator, CountsRefundsOnce)
{
    CountAggregator counts;
    counts.noteReport(report("a", 1000), true, Start);
    counts.noteReport(report("a", 900, 1000), true, Start + 100ms);
    counts.noteReport(report("a", 950, 1000), true, Start + 200ms);
    EXPECT_EQ(counts.fleetCounts(Start).admitted.at(Org), 950);
    counts.noteReport(report("a", 1000, 900), true, Start + 300ms);
    EXPECT_EQ(counts.fleetCounts(Start).admitted.at(Org), 1000);
}

TEST(CountAggregator, CountsANewRelayFromZeroAndAnOldOneFromItsFirstSummary)
{
    CountAggregator counts;
    counts.noteSummary(summary(400, 1s), Start);
    EXPECT_EQ(counts.fleetCounts(Start).admitted.at(Org), 400);
    CountAggregator late;
    late.noteSummary(summary(5000, 60s), Start);
    EXPECT_EQ(late.fleetCounts(Start).admitted.at(Org), 0);
    late.noteSummary(summary(5100, 61s), Start + 1s);
    EXPECT_EQ(late.fleetCounts(Start).admitted.at(Org), 100);
}

TEST(CountAggregator, DropsRequestsInFlightOfThoseThatFellSilent)
{
    CountAggregator counts;
    counts.noteReport(report("a", 0), true, Start);
    counts.noteSummary(summary(0, 10s), Start);
    EXPECT_EQ(counts.fleetCounts(Start).inFlight.at(TargetId("t")), 7U);
    EXPECT_TRUE(counts.fleetCounts(Start + CountAggregator::ReportTimeout).inFlight.empty());
}
