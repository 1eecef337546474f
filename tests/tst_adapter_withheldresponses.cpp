#include "gatewayfixture.h"
#include "rawtarget.h"

#include <array>

/// Guards against orders that are placed twice because a target, which had run one, answered with a
/// status that promises callers that nothing ran.

using namespace bluebell;
using namespace bluebell::testing;

namespace {

/// Without 421, by which a target states that it has not executed the request.
constexpr std::array<unsigned, 3> PromisingStatuses { 408, 429, 503 };
constexpr std::string_view TargetsText = "no stock was touched, come again";

class WithheldResponses : public GatewayTest
{
protected:
    void start()
    {
        addGateway("vm-1");
        ASSERT_TRUE(awaitReady(0));
        run(300ms);
    }

    /// \returns the response, with its signature and its retry time
    HttpResponse ask(const std::string &path, const std::string &method = "POST",
                     std::vector<HttpHeader> headers = {})
    {
        auto call = callTo(settings[0].callers, path, "key-1", std::move(headers));
        call.request.method = method;
        call.keptHeaders.emplace_back("X-Server-Seal");
        std::optional<Result<HttpResponse>> result;
        const auto exchangeInto = [&result](HttpCall it) -> boost::asio::awaitable<void> {
            result = co_await exchange(std::move(it));
        };
        boost::asio::co_spawn(context, exchangeInto(std::move(call)), boost::asio::detached);
        EXPECT_TRUE(runUntil([&] { return result.has_value(); }));
        return result && *result ? result->value() : HttpResponse { 0, {}, {}, {} };
    }

    static void expectNoPromise(const HttpResponse &response, const std::string &text)
    {
        EXPECT_EQ(response.status, 502U) << text;
        EXPECT_EQ(response.header("X-Server-Seal"), "") << text;
        EXPECT_EQ(response.header("Retry-After"), "") << text;
        EXPECT_EQ(response.body.find("retry_after"), std::string::npos) << text;
        EXPECT_EQ(response.body.find(TargetsText), std::string::npos) << text;
        EXPECT_EQ(response.body.find("answer of"), std::string::npos) << text;
    }
};

/// A response that leaves out the statement that nothing ran, in one way of framing its body.
struct Framing
{
    std::string name;
    std::string headers;
    std::string body;
};

const std::vector<Framing> Framings {
    { "length", "Content-Length: 32\r\n", std::string(TargetsText) },
    { "no body", "Content-Length: 0\r\n", {} },
    { "chunks", "Transfer-Encoding: chunked\r\n",
      "20\r\n" + std::string(TargetsText) + "\r\n0\r\n\r\n" },
    { "connection", "Connection: close\r\n", std::string(TargetsText) },
    { "events", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
      "f\r\nid: 1\ndata: t\n\n\r\n0\r\n\r\n" },
};

} // namespace

/// Regression: the target's 503 (or 429, or 408) was passed on, and the order was placed again.
TEST_F(WithheldResponses, AnOrderThatHasRunGetsNoPromise)
{
    auto &target = addTarget("p1", "plain");
    start();
    std::size_t runs = 0;
    for (const auto status : PromisingStatuses) {
        target.behaviour.failureStatus = status;
        expectNoPromise(ask("/order/x"), std::to_string(status));
        EXPECT_EQ(target.runs.size(), ++runs) << status;
    }
}

/// Regression: the same for streams that can't be resumed, which may run once only, too.
TEST_F(WithheldResponses, AStreamThatCannotBeResumedGetsNoPromise)
{
    setConfig(siteConfig(1, 1));
    auto &engine = addTarget("e1", "engines", { "m0" });
    start();
    std::size_t runs = 0;
    for (const auto status : PromisingStatuses) {
        engine.behaviour.failureStatus = status;
        expectNoPromise(ask("/chat/x", "POST", ModelZero), std::to_string(status));
        EXPECT_EQ(engine.runs.size(), ++runs) << status;
    }
}

/// Regression: the same however the response ends, and whatever the method.
TEST_F(WithheldResponses, NoFramingAndNoMethodLetsAPromiseThrough)
{
    Framing framing;
    RawTarget target(context, [&framing](const std::string &attempt) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Server-Seal: seal\r\nRetry-After: 0\r\n" + framing.headers + "\r\n"
                + framing.body;
    });
    store.put("servers", "raw", target.entry("plain"));
    start();
    std::size_t requests = 0;
    for (const auto &it : Framings)
        for (const auto *method : { "POST", "GET", "PUT", "DELETE", "HEAD" }) {
            framing = it;
            expectNoPromise(ask("/order/x", method), it.name + ", " + method);
            EXPECT_EQ(target.requests, ++requests) << it.name << ", " << method;
        }
}

/// The target's own status is the truth for callers whose requests may run again.
TEST_F(WithheldResponses, ARepeatableRequestGetsTheTargetsOwnStatus)
{
    setConfig(siteConfig(1, 1));
    auto &target = addTarget("p1", "plain");
    auto &engine = addTarget("e1", "engines", { "m0" });
    start();
    for (const auto status : PromisingStatuses) {
        target.behaviour.failureStatus = engine.behaviour.failureStatus = status;
        const auto plain = ask("/look/x");
        EXPECT_EQ(plain.status, status);
        EXPECT_EQ(plain.header("X-Server-Seal"), "seal-of-p1");
        EXPECT_EQ(plain.body, "answer of p1");
        const auto stream = ask("/review/x", "POST", ModelZero);
        EXPECT_EQ(stream.status, status);
        EXPECT_EQ(stream.header("X-Server-Seal"), "seal-of-e1");
    }
}

TEST_F(WithheldResponses, OtherFailuresOfAnOrderComeBackUnchanged)
{
    auto &target = addTarget("p1", "plain");
    start();
    for (const unsigned status : { 400U, 404U, 409U, 425U, 500U, 502U, 504U }) {
        target.behaviour.failureStatus = status;
        const auto response = ask("/order/x");
        EXPECT_EQ(response.status, status);
        EXPECT_EQ(response.header("X-Server-Seal"), "seal-of-p1");
        EXPECT_EQ(response.body, "answer of p1");
    }
}

TEST_F(WithheldResponses, ARefusalThatStatesThatNothingRanStaysAPromise)
{
    auto &target = addTarget("p1", "plain");
    target.behaviour.isFull = true;
    start();
    const auto response = ask("/order/x");
    EXPECT_EQ(response.status, 503U);
    EXPECT_NE(response.header("Retry-After"), "");
    EXPECT_TRUE(target.runs.empty());
}

TEST_F(WithheldResponses, AreCounted)
{
    auto &target = addTarget("p1", "plain");
    start();
    target.behaviour.failureStatus = 429;
    (void)ask("/order/x");
    EXPECT_EQ(requestSystem(settings[0].control, "/metrics"), 200U);
    EXPECT_NE(lastBody.find("bluebell_withheld_responses_total{"), std::string::npos) << lastBody;
    EXPECT_NE(lastBody.find("429"), std::string::npos) << lastBody;
}
