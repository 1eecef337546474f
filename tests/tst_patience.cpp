#include "queue/patience.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };

/// A chat request whose caller bears two seconds of silence.
WaitFacts chat()
{
    WaitFacts facts;
    facts.receivedAt = Start;
    facts.deadline = Start + 12s;
    facts.latencyGoal = 250ms;
    facts.patience = streamPatience(250ms, 250ms);
    return facts;
}

} // namespace

TEST(Patience, StreamCallersBearTheLongestOfThreeTimes)
{
    EXPECT_EQ(streamPatience(250ms, 250ms), 2s);
    EXPECT_EQ(streamPatience(300ms, 300ms), 2400ms);
    EXPECT_EQ(streamPatience(2500ms, 250ms), 10s);
}

TEST(Patience, WaitsForAModelThatComesInTime)
{
    auto facts = chat();
    facts.readyAt = Start + 800ms;
    EXPECT_FALSE(decideWait(facts, Start).refuseWithRetryAfter);
}

TEST(Patience, RefusesAtOnceWhenTheLoadEndsTooLate)
{
    auto facts = chat();
    facts.readyAt = Start + 6s;
    const auto verdict = decideWait(facts, Start);
    ASSERT_TRUE(verdict.refuseWithRetryAfter);
    // Who returns after this time finds the model loaded.
    EXPECT_GE(*verdict.refuseWithRetryAfter, 6s);
    EXPECT_LT(*verdict.refuseWithRetryAfter, 6500ms);
}

TEST(Patience, WaitsWithoutAnEstimateUntilTheCallerWouldLeave)
{
    const auto facts = chat();
    EXPECT_FALSE(decideWait(facts, Start + 1s).refuseWithRetryAfter);
    EXPECT_LE(decideWait(facts, Start).askAgainAt, Start + 2s);
    EXPECT_TRUE(decideWait(facts, Start + 1950ms).refuseWithRetryAfter);
}

TEST(Patience, TheDeadlineBoundsThePatience)
{
    auto facts = chat();
    facts.deadline = Start + 500ms;
    facts.readyAt = Start + 800ms;
    EXPECT_TRUE(decideWait(facts, Start).refuseWithRetryAfter);
}
