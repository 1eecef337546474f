#include "gatewayfixture.h"
#include "rawtarget.h"

/// Guards against a request that is sent again, or refused as not run, while a target that was
/// asked to take it over may be executing it: the silent target has refused it meanwhile.

using namespace bluebell;
using namespace bluebell::testing;

namespace {

constexpr Duration Silence = 1000ms;

class RefusedTakeovers : public GatewayTest
{
protected:
    RefusedTakeovers()
        : silent(context, [](const std::string &attempt) {
              return "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + attempt
                      + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
          })
    {
        silent.delay = Silence;
        store.put("servers", "silent", silent.entry("plain"));
    }

    /// Sends a request to the silent target, and adds one that executes it for `workDuration`.
    void sendToSilentTarget(Duration workDuration)
    {
        addGateway("vm-1");
        ASSERT_TRUE(awaitReady(0));
        reply = send(0, "/look/x");
        ASSERT_TRUE(runUntil([&] { return silent.requests == 1; }));
        other = &addTarget("p2", "plain");
        other->behaviour.workDuration = workDuration;
        ASSERT_TRUE(runUntil([&] { return other->runs.size() == 1; }, Silence));
    }

    RawTarget silent;
    TargetStandIn *other = nullptr;
    std::shared_ptr<Reply> reply;
};

} // namespace

/// Regression: the other target's run was cancelled, and the request was sent there again.
TEST_F(RefusedTakeovers, TheOtherTargetsResponseIsPassedOn)
{
    sendToSilentTarget(1500ms);
    ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }));
    EXPECT_EQ(reply->status(), 200U);
    EXPECT_EQ(reply->body(), "answer of p2");
    EXPECT_EQ(other->runs.size(), 1U);
}

/// The same when the other target has not answered at the request's deadline: no promise then.
TEST_F(RefusedTakeovers, ARequestThatTheOtherTargetMayHaveRunIsNotRefusedAsNotRun)
{
    sendToSilentTarget(30s);
    other->behaviour.isFull = true;
    ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }));
    EXPECT_EQ(reply->status(), 502U);
}
