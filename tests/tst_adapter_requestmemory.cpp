#include "gatewayfixture.h"
#include "rawcaller.h"

#include <gtest/gtest.h>

#include <string>

/// Guards against requests that hold more memory than the gateway's machine has, and against limits
/// on it that refuse an ordinary request.

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MegaByte = 1U << 20U;
/// In siteConfig().
constexpr std::size_t MaxBodyBytes = MegaByte;
constexpr std::size_t HeaderBytes = 16384;

std::string head(const std::string &framing)
{
    return "POST /open/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n" + framing
            + "\r\n\r\n";
}

class RequestMemory : public GatewayTest
{
protected:
    void start(std::uint64_t memoryLimit)
    {
        target = &addTarget("p1", "plain");
        settings.push_back(settingsOf("vm-1", storeAddress));
        settings.back().memoryLimit = memoryLimit;
        processes.push_back(std::make_unique<GatewayProcess>(settings.back()));
        ASSERT_TRUE(processes.back()->daemon.start());
        ASSERT_TRUE(awaitReady(0));
        run(300ms);
    }

    /// Sends `bytes` and returns the status line's beginning, or what has arrived.
    std::string answerTo(std::string_view bytes)
    {
        RawCaller caller(settings[0].callers);
        const auto isAnswered = [&] {
            if (!bytes.empty())
                caller.sendPart(bytes);
            return caller.received().size() > 12 || caller.isClosed();
        };
        EXPECT_TRUE(runUntil(isAnswered));
        return caller.received().substr(0, 12);
    }

    TargetStandIn *target = nullptr;
};

} // namespace

TEST_F(RequestMemory, ABodyOfTheMaximumSizeIsServedInCalm)
{
    start(8 * MegaByte);
    const std::string body(MaxBodyBytes, 'x');
    EXPECT_EQ(answerTo(head("Content-Length: " + std::to_string(MaxBodyBytes)) + body),
              "HTTP/1.1 200");
    std::string chunks;
    for (std::size_t n = 0; n < 16; ++n)
        chunks += "10000\r\n" + body.substr(0, 0x10000) + "\r\n";
    EXPECT_EQ(answerTo(head("Transfer-Encoding: chunked") + chunks + "0\r\nX-Sum: 1\r\n\r\n"),
              "HTTP/1.1 200");
    EXPECT_EQ(target->runs.size(), 2U);
}

/// Guards against a share that is taken twice, or kept after the response.
TEST_F(RequestMemory, ABodyIsCountedOnceAndReturned)
{
    start(8 * MegaByte);
    const std::string body(MaxBodyBytes, 'x');
    EXPECT_EQ(answerTo(head("Content-Length: " + std::to_string(MaxBodyBytes)) + body),
              "HTTP/1.1 200");
    run(100ms);
    requestSystem(settings[0].control, "/metrics");
    const auto valueOf = [&](const std::string &name) {
        const auto position = lastBody.find("\n" + name + ' ');
        if (position == std::string::npos)
            return -1.0;
        return std::stod(lastBody.substr(position + name.size() + 2));
    };
    EXPECT_GE(valueOf("bluebell_request_bytes_peak"), static_cast<double>(MaxBodyBytes));
    EXPECT_LT(valueOf("bluebell_request_bytes_peak"), 1.2 * static_cast<double>(MaxBodyBytes));
    // Of the request for the metrics itself.
    EXPECT_LT(valueOf("bluebell_request_bytes_held"), 65536.0);
}

TEST_F(RequestMemory, ABodyOverTheLimitIsRefused)
{
    start(0);
    EXPECT_EQ(answerTo(head("Content-Length: " + std::to_string(MaxBodyBytes + 1))),
              "HTTP/1.1 413");
    const std::string chunk = "80001\r\n" + std::string(0x80001, 'x') + "\r\n";
    EXPECT_EQ(answerTo(head("Transfer-Encoding: chunked") + chunk + chunk), "HTTP/1.1 413");
    EXPECT_TRUE(target->runs.empty());
}

TEST_F(RequestMemory, TrailersCountAsHeaderBytes)
{
    start(0);
    const auto chunked = head("Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n";
    EXPECT_EQ(answerTo(chunked + "X-Fits: " + std::string(HeaderBytes / 2, 'x') + "\r\n\r\n"),
              "HTTP/1.1 200");
    EXPECT_EQ(answerTo(chunked + "X-Long: " + std::string(2 * HeaderBytes, 'x')), "HTTP/1.1 413");
    EXPECT_EQ(target->runs.size(), 1U);
}

/// Requests that stop just short of their end hold the memory; an ordinary one is still read.
TEST_F(RequestMemory, StalledRequestsGiveWayToAnOrdinaryOne)
{
    start(8 * MegaByte);
    const std::string part(MaxBodyBytes - 1, 'x');
    std::vector<std::unique_ptr<RawCaller>> stalled;
    for (int n = 0; n < 12; ++n) {
        stalled.push_back(std::make_unique<RawCaller>(settings[0].callers));
        const auto bytes = head("Content-Length: " + std::to_string(MaxBodyBytes)) + part;
        std::string_view left(bytes);
        EXPECT_TRUE(runUntil([&] {
            const bool isOpen = stalled.back()->sendPart(left);
            return !isOpen || left.empty();
        }));
    }
    EXPECT_EQ(answerTo(head("Content-Length: 50000") + std::string(50000, 'x')), "HTTP/1.1 200");
    requestSystem(settings[0].control, "/metrics");
    EXPECT_NE(lastBody.find("bluebell_requests_not_read_total"), std::string::npos);
}
