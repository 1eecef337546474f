#include "rate/shares.h"
#include "tests/ratesimulation.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace bluebell::tests;
using std::chrono::seconds;

namespace {

const RateLimit Limit { 100, 1000 };

TimePoint at(int s)
{
    return TimePoint(seconds(1000 + s));
}

RateHome fullHome(RateHome::Settings settings = {})
{
    return { Limit, settings, RateHandover { Limit.burst, 0 }, at(0) };
}

GrantQuestion question(const std::string &id, Tokens least)
{
    return { GrantId(id), least, least };
}

Tokens amountOf(const GrantAnswer &answer)
{
    const auto *granted = std::get_if<Granted>(&answer);
    return granted == nullptr ? 0 : granted->amount;
}

} // namespace

TEST(RateHome, RepeatedRequestGetsTheSameGrant)
{
    auto home = fullHome();
    EXPECT_EQ(amountOf(home.acquire(question("a", 400), at(0))), 400);
    EXPECT_EQ(amountOf(home.acquire(question("a", 400), at(0))), 400);
    EXPECT_EQ(home.level(at(0)), 600);
}

TEST(RateHome, TakeoverStartsEmptyUntilTheLongestGrantHasExpired)
{
    RateHome home(Limit, {}, at(0));
    EXPECT_EQ(home.level(at(5)), 0);
    EXPECT_EQ(home.exposure(), Limit.burst);
    EXPECT_EQ(home.level(at(8)), 200);
    const auto answer = home.acquire(question("a", 500), at(8));
    EXPECT_EQ(std::get<RateRefused>(answer).retryAfter, seconds(3));
}

TEST(RateHome, PlannedHandoverKeepsLevelAndCountsOutstanding)
{
    auto former = fullHome();
    (void)former.acquire(question("a", 400), at(0));
    RateHome home(Limit, {}, former.handover(at(0)), at(0));
    EXPECT_EQ(home.level(at(0)), 600);
    EXPECT_EQ(home.exposure(), Limit.burst);
}

TEST(RateHome, LostGrantCountsAsUsedWhenItExpires)
{
    auto home = fullHome();
    (void)home.acquire(question("a", 1000), at(0));
    EXPECT_EQ(home.level(at(5)), 0);
    EXPECT_EQ(home.level(at(6)), 0);
    EXPECT_EQ(home.level(at(7)), 100);
}

/// Regression: a home that received no requests while a grant was outstanding later added the
/// refill that it should have lost because the whole burst was granted.
TEST(RateHome, IdleHomeDoesNotRefillWhileAGrantIsOutstanding)
{
    auto home = fullHome();
    (void)home.acquire(question("a", 1000), at(0));
    // The grant may be used in full at 3 s. It expires at 6 s, so the level at 7 s is the refill of
    // 1 s: 100 tokens.
    EXPECT_EQ(home.level(at(7)), 100);
}

TEST(RateHome, RefundAfterRefillKeepsTheBound)
{
    auto home = fullHome();
    (void)home.acquire(question("a", 1000), at(0));
    home.noteReport({ GrantId("a"), 1000, 0, 0, true }, at(0));
    // Refill displaces refundable credit: the level rises, the sum does not.
    EXPECT_EQ(home.level(at(4)), 400);
    EXPECT_EQ(home.exposure(), Limit.burst);
    home.noteReport({ GrantId("a"), 1000, 100, 900, true }, at(4));
    EXPECT_EQ(home.level(at(4)), 1000);
    EXPECT_EQ(home.exposure(), Limit.burst);
}

TEST(RateHome, ReportsMayBeRepeatedAndReordered)
{
    auto home = fullHome();
    (void)home.acquire(question("a", 500), at(0));
    home.noteReport({ GrantId("a"), 400, 100, 300, false }, at(0));
    home.noteReport({ GrantId("a"), 200, 0, 0, false }, at(0));
    home.noteReport({ GrantId("a"), 400, 100, 300, false }, at(0));
    EXPECT_EQ(home.level(at(0)), 800);
    home.noteReport({ GrantId("a"), 400, 100, 300, true }, at(0));
    EXPECT_EQ(home.level(at(0)), 900);
    EXPECT_EQ(home.grantCount(), 0U);
}

TEST(RateHome, LoweredLimitHoldsOnceGrantsHaveExpired)
{
    auto home = fullHome();
    (void)home.acquire(question("a", 300), at(0));
    home.setLimit({ 10, 200 }, at(0));
    EXPECT_EQ(home.level(at(0)), 0);
    EXPECT_LE(home.exposure(), 300);
    (void)home.level(at(6));
    EXPECT_LE(home.exposure(), 200);
}

/// Regression: tokens that were returned after the limit was lowered were granted again.
TEST(RateHome, TokensReturnedAfterTheLimitWasLoweredAreNotGrantedAgain)
{
    auto home = fullHome();
    (void)home.acquire(question("a", 700), at(0));
    home.setLimit({ 10, 200 }, at(0));
    home.noteReport({ GrantId("a"), 0, 0, 0, true }, at(0));
    EXPECT_EQ(home.level(at(0)), 200);
    EXPECT_EQ(home.exposure(), 200);
}

TEST(RateHome, RequestAboveTheBurstIsRefusedWithoutRetryAfter)
{
    auto home = fullHome();
    EXPECT_FALSE(std::get<RateRefused>(home.acquire(question("a", 1001), at(0))).retryAfter);
}

TEST(GrantHolder, ValidityStartsWhenTheRequestIsSent)
{
    GrantHolder holder("h");
    const auto asked = holder.question(100, at(0));
    holder.answered({ asked.id, 100, seconds(3) });
    EXPECT_FALSE(holder.admit(100, at(3)));
    EXPECT_TRUE(holder.admit(100, at(2)));
}

TEST(GrantHolder, RefundedTokensAreNotReusedLocally)
{
    GrantHolder holder("h");
    const auto asked = holder.question(100, at(0));
    holder.answered({ asked.id, 100, seconds(3) });
    const auto reservation = holder.admit(100, at(1));
    ASSERT_TRUE(reservation);
    holder.settle(*reservation, 10);
    EXPECT_FALSE(holder.admit(50, at(1)));
    const auto reports = holder.takeReports(at(1));
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].refunded, 90);
    EXPECT_TRUE(reports[0].isClosed);
    holder.requeueReports(reports);
    EXPECT_EQ(holder.takeReports(at(2)).size(), 1U);
}

TEST(GrantHolder, ProgressIsReportedAsConsumedAndNeverRefunded)
{
    GrantHolder holder("h");
    const auto asked = holder.question(100, at(0));
    holder.answered({ asked.id, 100, seconds(3) });
    const auto reservation = holder.admit(100, at(1));
    holder.progress(*reservation, 40);
    holder.progress(*reservation, 30);
    EXPECT_EQ(holder.takeReports(at(1)).at(0).consumed, 40);
    holder.settle(*reservation, 60);
    const auto report = holder.takeReports(at(1)).at(0);
    EXPECT_EQ(report.consumed, 60);
    EXPECT_EQ(report.refunded, 40);
}

TEST(RateShares, AddUpToTheWholeRate)
{
    RuleSet rules;
    const OrganisationId id("o");
    rules.organisations[id] = { id, 1003, 777, ClassId("c") };
    rules.policy.baseParts = 3;
    Tokens rate = 0;
    Tokens burst = 0;
    for (std::uint8_t n = 0; n <= 3; ++n) {
        rate += shareOf(rules, id, n)->rate;
        burst += shareOf(rules, id, n)->burst;
    }
    EXPECT_EQ(rate, 1003);
    EXPECT_EQ(burst, 777);
    EXPECT_FALSE(shareOf(rules, id, 4));
}

/// Checks every time window of simulated histories, without faults, with each fault alone and with
/// all together.
class RateBound : public testing::TestWithParam<int>
{
};

TEST_P(RateBound, HoldsOverEveryWindow)
{
    RateScenario scenario;
    const auto fault = GetParam();
    auto &faults = scenario.faults;
    faults.losesMessages = fault == 1 || fault == 7;
    faults.delaysMessages = fault == 2 || fault == 7;
    faults.repeatsQuestions = fault == 3 || fault == 7;
    faults.homeCrashes = fault == 4 || fault == 7;
    faults.homePauses = fault == 5 || fault == 7;
    faults.holdersCrash = fault == 6 || fault == 7;
    faults.lowersLimit = fault == 8 || fault == 7;
    scenario.load = 3;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        scenario.seed = seed;
        scenario.skew = seed % 2 == 0 ? 0.125 : 0.8;
        scenario.moves = seed % 3 == 0;
        scenario.daemons = seed % 4 == 0 ? 2 : 8;
        scenario.bursts = seed % 5 != 0;
        scenario.fullUse = seed % 2 == 0 ? 0.9 : 0.5;
        const auto outcome = runRateSimulation(HomeGrants {}, scenario);
        EXPECT_EQ(outcome.overAdmitted, 0) << "seed " << seed;
        EXPECT_GT(outcome.admitted, 0U) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, RateBound, testing::Range(0, 9));

TEST(RateBound, UncoordinatedCountingExceedsTheBound)
{
    RateScenario scenario;
    scenario.load = 3;
    EXPECT_GT(runRateSimulation(LocalCount {}, scenario).overAdmitted, 0);
}
