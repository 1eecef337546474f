#include "gatewayfixture.h"

#include <algorithm>

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

class StopOfAGateway : public GatewayTest
{
};

} // namespace

TEST_F(StopOfAGateway, ARequestThatCannotEndInTimeIsAnsweredBeforeTheProcessEnds)
{
    auto &plain = addTarget("p1", "plain");
    plain.behaviour.workDuration = 4500ms;
    auto &daemon = addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto reply = send(0, "/order/x");
    ASSERT_TRUE(runUntil([&] { return !plain.runs.empty(); }));
    daemon.requestStop();
    ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }));
    EXPECT_EQ(reply->status(), 502U);
    EXPECT_NE(reply->body().find("outcome_unknown"), std::string::npos);
}

/// Requests that came late in the grace period were passed on, and cut without an answer at its
/// end.
TEST_F(StopOfAGateway, RequestsThatComeLateAreAnsweredOrNotPassedOn)
{
    auto &plain = addTarget("p1", "plain");
    auto &engine = addTarget("e1", "engines", { "m0" });
    plain.behaviour.workDuration = 700ms;
    engine.behaviour.workDuration = 250ms;
    auto &daemon = addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    daemon.requestStop();
    std::vector<std::pair<std::string, std::shared_ptr<Reply>>> replies;
    const auto end = BootClock::now() + 3s;
    while (BootClock::now() < end) {
        for (const auto *path : { "/order/x", "/chat/x" }) {
            const auto attempt = "a" + std::to_string(attempts + 1);
            replies.emplace_back(attempt, send(0, path, "key-1", ModelZero));
        }
        run(40ms);
    }
    const auto hasRun = [&](const std::string &attempt) {
        return std::count(plain.runs.begin(), plain.runs.end(), attempt)
                + std::count(engine.runs.begin(), engine.runs.end(), attempt)
                > 0;
    };
    std::size_t unanswered = 0;
    std::size_t served = 0;
    for (const auto &[attempt, reply] : replies) {
        ASSERT_TRUE(runUntil([&, it = reply] { return it->result.has_value(); }, 12s));
        unanswered += reply->status() == 0 && hasRun(attempt) ? 1 : 0;
        served += reply->status() == 200 ? 1 : 0;
    }
    EXPECT_EQ(unanswered, 0U);
    EXPECT_GT(served, 0U);
}
