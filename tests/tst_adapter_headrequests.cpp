#include "gatewayfixture.h"
#include "rawcaller.h"

/// Guards against responses to HEAD requests that have a body, or are expected to have one: its
/// bytes are taken for the next response of the connection.

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

class HeadRequests : public GatewayTest
{
protected:
    /// Sends a HEAD request and then an order on one connection.
    ///
    /// \returns the responses
    std::string sendPair(const std::string &path)
    {
        RawCaller caller(settings[0].callers);
        const auto send = [&](const std::string &line, const std::string &attempt) {
            caller.send(line
                        + " HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\n"
                          "X-Attempt-Id: "
                        + attempt + "\r\nContent-Length: 0\r\n\r\n");
        };
        send("HEAD " + path, "h1");
        EXPECT_TRUE(runUntil([&] { return caller.received().ends_with("\r\n\r\n"); }));
        const auto head = caller.received();
        send("POST /order/x", "p1");
        EXPECT_TRUE(runUntil([&] {
            return caller.received().size() > head.size()
                    && caller.received().find("answer of", head.size()) != std::string::npos;
        }));
        EXPECT_TRUE(caller.received().substr(head.size()).starts_with("HTTP/1.1 200 OK"));
        return head;
    }

    void startWithOrders()
    {
        addTarget("p1", "plain");
        addGateway("vm-1");
        ASSERT_TRUE(awaitReady(0));
    }
};

} // namespace

/// Regression: the body of a refusal was sent, so that the caller took it for the response to its
/// next request, an order that had run.
TEST_F(HeadRequests, ARefusalHasNoBody)
{
    startWithOrders();
    const auto head = sendPair("/nothing/here");
    EXPECT_TRUE(head.starts_with("HTTP/1.1 404"));
    EXPECT_EQ(head.find("Content-Length: 0"), std::string::npos);
}

/// Regression: the gateway waited for the body that the length in the target's head tells of.
TEST_F(HeadRequests, ATargetsResponseIsPassedOnWithItsLength)
{
    startWithOrders();
    const auto head = sendPair("/look/x");
    EXPECT_TRUE(head.starts_with("HTTP/1.1 200"));
    EXPECT_NE(head.find("Content-Length: 12"), std::string::npos);
}
