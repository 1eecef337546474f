#include "gatewayfixture.h"
#include "http/client.h"
#include "rawtarget.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <string>

/// Guards against targets in trouble that respond with a status that is not valid, such as 000. The
/// parser accepts any three digits; the exchange must fail, and a caller must never get such a
/// status.

namespace asio = boost::asio;

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

RawTarget::Respond respondWith(const std::string &status)
{
    return [status](const std::string &attempt) {
        return "HTTP/1.1 " + status + " Odd\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Server-Seal: seal\r\nContent-Type: text/plain\r\nContent-Length: "
                  "2\r\n\r\nok";
    };
}

Result<HttpResponse> exchangeWith(const std::string &status)
{
    asio::io_context context;
    RawTarget server(context, respondWith(status));
    HttpCall call;
    call.endpoint = server.address();
    call.request.method = "GET";
    call.request.path = "/";
    std::optional<Result<HttpResponse>> result;
    const auto exchangeInto = [&result](HttpCall it) -> asio::awaitable<void> {
        result = co_await exchange(std::move(it));
    };
    asio::co_spawn(context, exchangeInto(std::move(call)), asio::detached);
    const auto end = BootClock::now() + 10s;
    while (!result && BootClock::now() < end)
        context.run_one_for(100ms);
    return result.value();
}

const std::vector<std::string> InvalidStatuses = { "000", "001", "099", "100", "101",
                                                   "103", "199", "600", "999" };

class InvalidStatusOfATarget : public GatewayTest
{
protected:
    /// Publishes a plain target that responds with `status`.
    void addTargetWith(const std::string &status)
    {
        setConfig(siteConfig(1, 1));
        server = std::make_unique<RawTarget>(context, respondWith(status));
        store.put("servers", "odd", server->entry("plain"));
    }

    void expectServerError(const std::string &status)
    {
        addTargetWith(status);
        addGateway("vm-1");
        ASSERT_TRUE(awaitReady(0));
        run(300ms);
        const auto reply = send(0, "/order/x", "key-1");
        ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }));
        ASSERT_TRUE(*reply->result);
        EXPECT_GE(reply->result->value().status, 500U);
        EXPECT_LE(reply->result->value().status, 599U);
        // It may have run, so it is not sent again.
        EXPECT_EQ(server->requests, 1U);
    }

    std::unique_ptr<RawTarget> server;
};

} // namespace

TEST(InvalidStatus, TheExchangeFailsWithAnUnknownOutcome)
{
    for (const auto &status : InvalidStatuses) {
        const auto result = exchangeWith(status);
        ASSERT_FALSE(result) << status;
        EXPECT_EQ(result.error().execution, Execution::OutcomeUnknown) << status;
    }
}

TEST(InvalidStatus, ValidStatusesPass)
{
    for (const std::string status : { "200", "299", "404", "503", "599" }) {
        const auto result = exchangeWith(status);
        ASSERT_TRUE(result) << status;
        EXPECT_EQ(std::to_string(result.value().status), status);
    }
}

TEST_F(InvalidStatusOfATarget, ACallerDoesNotGetStatusZero)
{
    expectServerError("000");
}

TEST_F(InvalidStatusOfATarget, ACallerDoesNotGetStatusNineHundred)
{
    expectServerError("999");
}

TEST_F(InvalidStatusOfATarget, ACallerDoesNotGetAnInterimStatus)
{
    expectServerError("100");
}
