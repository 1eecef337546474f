#include "queue/waitdecision.h"
#include "routing/silencedecision.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr SilenceFacts Leavable {
    .isWanted = true, .isRetryable = true, .runs = 1, .maxTargets = 2, .hasRetry = true
};

} // namespace

TEST(SilenceDecision, ASilentTargetIsLeftOnlyIfTheRequestCanGoOnElsewhere)
{
    EXPECT_TRUE(canLeaveSilentTarget(Leavable));
    auto facts = Leavable;
    facts.isWanted = false;
    EXPECT_FALSE(canLeaveSilentTarget(facts));
    facts = Leavable;
    facts.isRetryable = false;
    EXPECT_FALSE(canLeaveSilentTarget(facts));
    facts = Leavable;
    facts.runs = facts.maxTargets;
    EXPECT_FALSE(canLeaveSilentTarget(facts));
    facts = Leavable;
    facts.hasRetry = false;
    EXPECT_FALSE(canLeaveSilentTarget(facts));
}

TEST(SilenceDecision, StreamsAreLeftAfterMoreThanASecondAndBeforeTheirCallersGiveUp)
{
    for (const Duration latencyGoal : { 100ms, 250ms, 600ms, 2500ms, 10000ms })
        for (const Duration gapGoal : { 50ms, 250ms, 300ms, 1000ms }) {
            const auto callersTimeout = streamFirstByteTimeout(latencyGoal, gapGoal);
            EXPECT_GE(streamSilenceLimit(callersTimeout), 1500ms);
            EXPECT_LE(streamSilenceLimit(callersTimeout), callersTimeout - 500ms);
        }
    EXPECT_EQ(streamSilenceLimit(2s), 1500ms);
    EXPECT_EQ(streamSilenceLimit(2400ms), 1900ms);
    EXPECT_EQ(streamSilenceLimit(3s), 2s);
    EXPECT_EQ(streamSilenceLimit(8s), 4s);
}

TEST(SilenceDecision, ResponsesAreAwaitedForTwiceTheirGoal)
{
    EXPECT_EQ(responseSilenceLimit(50ms), 250ms);
    EXPECT_EQ(responseSilenceLimit(300ms), 600ms);
}
