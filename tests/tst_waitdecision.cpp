#include "queue/waitdecision.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };

/// A chat request whose caller waits two seconds for the first byte.
WaitFacts chat()
{
    WaitFacts facts;
    facts.receivedAt = Start;
    facts.deadline = Start + 12s;
    facts.latencyGoal = 250ms;
    facts.firstByteTimeout = streamFirstByteTimeout(250ms, 250ms);
    return facts;
}

} // namespace

TEST(DecideWait, FirstByteTimeoutOfStreamsIsTheLongestOfThreeTimes)
{
    EXPECT_EQ(streamFirstByteTimeout(250ms, 250ms), 2s);
    EXPECT_EQ(streamFirstByteTimeout(300ms, 300ms), 2400ms);
    EXPECT_EQ(streamFirstByteTimeout(2500ms, 250ms), 10s);
}

TEST(DecideWait, WaitsForAModelThatIsReadyInTime)
{
    auto facts = chat();
    facts.readyAt = Start + 800ms;
    EXPECT_FALSE(decideWait(facts, Start).refuseWithRetryAfter);
}

TEST(DecideWait, RefusesImmediatelyWhenTheLoadEndsTooLate)
{
    auto facts = chat();
    facts.readyAt = Start + 6s;
    const auto decision = decideWait(facts, Start);
    ASSERT_TRUE(decision.refuseWithRetryAfter);
    // A caller that retries after this time finds the model loaded.
    EXPECT_GE(*decision.refuseWithRetryAfter, 6s);
    EXPECT_LT(*decision.refuseWithRetryAfter, 6500ms);
}

TEST(DecideWait, WaitsWithoutAnEstimateUntilTheCallerWouldGiveUp)
{
    const auto facts = chat();
    EXPECT_FALSE(decideWait(facts, Start + 1s).refuseWithRetryAfter);
    EXPECT_LE(decideWait(facts, Start).recheckAt, Start + 2s);
    EXPECT_TRUE(decideWait(facts, Start + 1950ms).refuseWithRetryAfter);
}

TEST(DecideWait, DeadlineLimitsTheFirstByteTimeout)
{
    auto facts = chat();
    facts.deadline = Start + 500ms;
    facts.readyAt = Start + 800ms;
    EXPECT_TRUE(decideWait(facts, Start).refuseWithRetryAfter);
}
