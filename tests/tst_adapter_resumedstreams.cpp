#include "gatewayfixture.h"

/// Guards against callers' streams that break off, repeat or lose events, or contain the text of an
/// error, when they go on at another target.

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

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
                auto chunk = co_await opened.value().read(10s);
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

} // namespace

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
