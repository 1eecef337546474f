#include "gatewayfixture.h"

/// Guards against callers losing their answer because a sound target was silent for a second or so.

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

/// More than the retry budget allows to be sent again.
constexpr std::size_t CallerCount = 12;
constexpr Duration Silence = 1500ms;

class SilentTargets : public GatewayTest
{
protected:
    /// One model only, so that none is unloaded for another.
    SilentTargets() { setConfig(siteConfig(1, 1)); }

    std::vector<std::shared_ptr<Reply>> sendAll(const std::string &path,
                                                const std::vector<HttpHeader> &headers = {})
    {
        std::vector<std::shared_ptr<Reply>> replies;
        for (std::size_t n = 0; n < CallerCount; ++n)
            replies.push_back(send(0, path, "key-1", headers));
        return replies;
    }

    void expectAnswers(const std::vector<std::shared_ptr<Reply>> &replies, const std::string &body)
    {
        std::size_t complete = 0;
        for (const auto &it : replies) {
            EXPECT_TRUE(runUntil([&] { return it->result.has_value(); }, 12s));
            complete += it->status() == 200 && it->body() == body ? 1 : 0;
        }
        EXPECT_EQ(complete, replies.size());
    }
};

} // namespace

TEST_F(SilentTargets, StreamsOfTheOnlyTargetSurviveItsSilenceBesideANewConfiguration)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.behaviour.silentAfterEvents = 2;
    engine.behaviour.silence = Silence;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    const auto replies = sendAll("/review/x", ModelZero);
    run(300ms);
    auto next = siteConfig(2, 1);
    next["Routes"][1]["TimeoutMs"] = 1000;
    setConfig(next);
    expectAnswers(replies, FiveEvents);
    EXPECT_EQ(engine.runs.size(), CallerCount);
}

TEST_F(SilentTargets, StreamsBeyondTheRetryBudgetSurviveTheSilenceOfOneOfTwoTargets)
{
    auto &silent = addTarget("e1", "engines", { "m0" });
    silent.behaviour.silentAfterEvents = 2;
    silent.behaviour.silence = 2500ms;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    const auto replies = sendAll("/review/x", ModelZero);
    ASSERT_TRUE(runUntil([&] { return silent.runs.size() == CallerCount; }));
    addTarget("e2", "engines", { "m0" });
    expectAnswers(replies, FiveEvents);
}

TEST_F(SilentTargets, StreamsThatHaveNotBegunSurviveTheSilenceOfTheOnlyTarget)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    engine.behaviour.headDelay = Silence;
    expectAnswers(sendAll("/review/x", ModelZero), FiveEvents);
    EXPECT_EQ(engine.runs.size(), CallerCount);
}

TEST_F(SilentTargets, IdempotentRequestsSurviveTheSilenceOfTheOnlyTarget)
{
    auto &plain = addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    plain.behaviour.workDuration = Silence;
    expectAnswers(sendAll("/look/x"), "answer of p1");
    EXPECT_EQ(plain.runs.size(), CallerCount);
}

TEST_F(SilentTargets, StreamsOfAStalledTargetGoOnElsewhereInTime)
{
    auto &stalled = addTarget("e1", "engines", { "m0" });
    stalled.behaviour.silentAfterEvents = 2;
    stalled.behaviour.silence = 30s;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    const auto reply = send(0, "/review/x", "key-1", ModelZero);
    ASSERT_TRUE(runUntil([&] { return stalled.runs.size() == 1; }));
    auto &other = addTarget("e2", "engines", { "m0" });
    ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }, 2s));
    EXPECT_EQ(reply->body(), FiveEvents);
    EXPECT_EQ(other.runs.size(), 1U);
}

/// Regression: the silent target was given up before the other one, which was full, had accepted
/// the stream, and the refusals used up the retry budget, so that streams of a sound target were
/// cut.
TEST_F(SilentTargets, StreamsSurviveWhenTheOtherTargetRefusesThem)
{
    auto &silent = addTarget("e1", "engines", { "m0" });
    silent.behaviour.silentAfterEvents = 2;
    silent.behaviour.silence = 1650ms;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    const auto replies = sendAll("/review/x", ModelZero);
    ASSERT_TRUE(runUntil([&] { return silent.runs.size() == CallerCount; }));
    auto &full = addTarget("e2", "engines", { "m0" });
    full.behaviour.isFull = true;
    expectAnswers(replies, FiveEvents);
    EXPECT_EQ(silent.runs.size(), CallerCount);
    EXPECT_GT(full.refusals, 0U);
}

/// Regression: the same with responses that have not begun.
TEST_F(SilentTargets, IdempotentRequestsSurviveWhenTheOtherTargetRefusesThem)
{
    auto &silent = addTarget("p1", "plain");
    silent.behaviour.workDuration = 1000ms;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto replies = sendAll("/look/x");
    ASSERT_TRUE(runUntil([&] { return silent.runs.size() == CallerCount; }));
    auto &full = addTarget("p2", "plain");
    full.behaviour.isFull = true;
    expectAnswers(replies, "answer of p1");
    EXPECT_EQ(silent.runs.size(), CallerCount);
}

/// Two targets must not work on a stream side by side, and none of their events may be mixed.
TEST_F(SilentTargets, ATargetThatGoesOnKeepsItsStreamFromOneThatIsSlowToAccept)
{
    auto &silent = addTarget("e1", "engines", { "m0" });
    silent.behaviour.silentAfterEvents = 2;
    silent.behaviour.silence = 1700ms;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    const auto reply = send(0, "/review/x", "key-1", ModelZero);
    ASSERT_TRUE(runUntil([&] { return silent.runs.size() == 1; }));
    auto &slow = addTarget("e2", "engines", { "m0" });
    slow.behaviour.headDelay = 800ms;
    std::vector<TargetStep> steps;
    slow.observer = [&](TargetStep step, const std::string &) {
        steps.push_back(step);
    };
    ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }, 3s));
    EXPECT_EQ(reply->body(), FiveEvents);
    EXPECT_EQ(slow.runs.size(), 1U);
    ASSERT_TRUE(runUntil([&] { return steps.size() == 3; }, 2s));
    EXPECT_EQ(steps.back(), TargetStep::Disconnected);
}
