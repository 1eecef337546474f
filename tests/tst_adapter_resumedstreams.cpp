#include "gatewayfixture.h"

/// Guards against callers' streams that break off, repeat or lose events, or contain the text of an
/// error, when they go on at another target.

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

const std::string TwoEvents = "id: 1\ndata: t\n\nid: 2\ndata: t\n\n";

/// What a caller has received of a stream.
struct PartialReply
{
    std::string body;
    bool isFinished = false;
    bool isComplete = false;
};

class ResumedStreams : public GatewayTest
{
protected:
    /// One model only, so that none is unloaded for another.
    ResumedStreams() { setConfig(siteConfig(1, 1)); }

    /// Sends a request for a stream and keeps what arrives, also if the stream is cut.
    std::shared_ptr<PartialReply> stream(const std::string &path)
    {
        auto reply = std::make_shared<PartialReply>();
        auto readInto = [](std::shared_ptr<PartialReply> out,
                           HttpCall call) -> boost::asio::awaitable<void> {
            auto opened = co_await openStream(std::move(call));
            while (opened && !out->isFinished) {
                auto chunk = co_await opened.value().read(BootClock::now() + 10s);
                out->isComplete = chunk && !chunk.value();
                out->isFinished = !chunk || !chunk.value();
                if (!out->isFinished)
                    out->body += *chunk.value();
            }
            out->isFinished = true;
        };
        boost::asio::co_spawn(
                context, readInto(reply, callTo(settings[0].callers, path, "key-1", ModelZero)),
                boost::asio::detached);
        return reply;
    }
};

class FaultyResumptions : public ResumedStreams, public ::testing::WithParamInterface<Resumption>
{
protected:
    /// Begins a stream at a target that cuts it, and adds a target that does not continue it.
    std::shared_ptr<PartialReply> begin()
    {
        auto &first = addTarget("e1", "engines", { "m0" });
        first.behaviour.cutAfterEvents = 2;
        first.behaviour.workDuration = 400ms;
        addGateway("vm-1");
        EXPECT_TRUE(awaitReady(0));
        run(300ms);
        auto reply = stream("/review/x");
        EXPECT_TRUE(runUntil([&] { return first.runs.size() == 1; }));
        auto &faulty = addTarget("e2", "engines", { "m0" });
        faulty.behaviour.headDelay = 400ms;
        faulty.behaviour.resumption = GetParam();
        return reply;
    }
};

std::string nameOf(const ::testing::TestParamInfo<Resumption> &it)
{
    switch (it.param) {
    case Resumption::Fails:
        return "Fails";
    case Resumption::IsUnknown:
        return "IsUnknown";
    case Resumption::SendsText:
        return "SendsText";
    case Resumption::RepeatsEvents:
        return "RepeatsEvents";
    case Resumption::SkipsAnEvent:
        return "SkipsAnEvent";
    case Resumption::Continues:
        break;
    }
    return "Continues";
}

} // namespace

TEST_P(FaultyResumptions, TheStreamGoesOnAtAThirdTarget)
{
    const auto reply = begin();
    ASSERT_TRUE(runUntil([&] { return targets[1]->runs.size() == 1; }));
    auto &third = addTarget("e3", "engines", { "m0" });
    ASSERT_TRUE(runUntil([&] { return reply->isFinished; }));
    EXPECT_EQ(reply->body, FiveEvents);
    EXPECT_TRUE(reply->isComplete);
    EXPECT_EQ(third.runs.size(), 1U);
}

TEST_P(FaultyResumptions, TheStreamEndsWithoutAnyByteOfThemIfNoAttemptIsLeft)
{
    auto config = siteConfig(2, 1);
    config["Routes"][1]["MaxAttempts"] = 2;
    setConfig(config);
    const auto reply = begin();
    ASSERT_TRUE(runUntil([&] { return reply->isFinished; }));
    EXPECT_EQ(reply->body, TwoEvents);
    EXPECT_FALSE(reply->isComplete);
    EXPECT_EQ(targets[1]->runs.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(, FaultyResumptions,
                         ::testing::Values(Resumption::Fails, Resumption::IsUnknown,
                                           Resumption::SendsText, Resumption::RepeatsEvents,
                                           Resumption::SkipsAnEvent),
                         nameOf);

TEST_F(ResumedStreams, ABreakLateInAStreamIsWaitedOutLikeAnEarlyOne)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.behaviour.workDuration = 600ms;
    engine.behaviour.cutAfterEvents = 4;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    const auto reply = stream("/review/x");
    ASSERT_TRUE(runUntil([&] { return reply->isFinished; }));
    EXPECT_EQ(reply->body, FiveEvents);
    EXPECT_TRUE(reply->isComplete);
}

TEST_F(ResumedStreams, AStreamThatBreaksDuringAStopGoesOnElsewhere)
{
    auto &first = addTarget("e1", "engines", { "m0" });
    first.behaviour.workDuration = 200ms;
    first.behaviour.cutAfterEvents = 2;
    auto &daemon = addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    const auto reply = stream("/review/x");
    ASSERT_TRUE(runUntil([&] { return first.runs.size() == 1; }));
    addTarget("e2", "engines", { "m0" });
    run(300ms);
    daemon.requestStop();
    ASSERT_TRUE(runUntil([&] { return reply->isFinished; }));
    EXPECT_EQ(reply->body, FiveEvents);
    EXPECT_TRUE(reply->isComplete);
}

TEST_F(ResumedStreams, ABrokenStreamWaitsForTheRetryBudgetInsteadOfBeingCut)
{
    for (const auto *id : { "e1", "e2" })
        addTarget(id, "engines", { "m0" }).behaviour.failureStatus = 500;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(request(0, "/review/x", "key-1", ModelZero), 500U);
    for (const auto &it : targets) {
        it->behaviour.failureStatus = 0;
        it->behaviour.cutAfterEvents = 2;
    }
    const auto reply = stream("/review/x");
    ASSERT_TRUE(runUntil([&] { return reply->body == TwoEvents; }));
    for (const auto &it : targets)
        it->behaviour.cutAfterEvents = 0;
    run(200ms);
    EXPECT_FALSE(reply->isFinished);
    // Each first attempt adds to the budget.
    for (int n = 0; n < 10; ++n)
        EXPECT_EQ(request(0, "/review/x", "key-1", ModelZero), 200U);
    EXPECT_TRUE(runUntil([&] { return reply->isFinished; }));
    EXPECT_TRUE(reply->isComplete);
    EXPECT_EQ(reply->body, FiveEvents);
}
