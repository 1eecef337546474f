#include "http/client.h"
#include "http/server.h"
#include "io/notifier.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>

/// Guards against exchanges that end because of a silence alone.

namespace asio = boost::asio;

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

/// A server that is silent before its head or within its body, and a client with a policy.
class SilencePolicies : public ::testing::Test
{
protected:
    SilencePolicies()
        : server(context, HttpLimits(), [this](const HttpRequest &, HttpResponder &responder) {
              return respond(responder);
          })
    {
        address = server.listen({ "127.0.0.1", 0 }).value();
    }

    asio::awaitable<void> respond(HttpResponder &responder)
    {
        co_await sleepFor(headSilence);
        HttpResponse head;
        (void)co_await responder.begin(std::move(head));
        (void)co_await responder.write("a");
        co_await sleepFor(bodySilence);
        const bool isSent = co_await responder.write("b");
        const bool hasEnded = co_await responder.end();
        hasLostClient = !isSent || !hasEnded;
    }

    SilencePolicy policy()
    {
        return { 200ms, [this] {
                    return ++questions == giveUpAtQuestion;
                } };
    }

    /// Reads the response; the result is its body or an error.
    Result<std::string> exchangeWithPolicy()
    {
        std::optional<Result<std::string>> result;
        auto exchangeInto =
                [this](std::optional<Result<std::string>> *out) -> asio::awaitable<void> {
            HttpCall call;
            call.endpoint = address;
            call.request.method = "GET";
            call.request.path = "/";
            call.silence = policy();
            auto stream = co_await openStream(std::move(call));
            if (!stream) {
                *out = stream.error();
                co_return;
            }
            std::string body;
            for (;;) {
                auto chunk = co_await stream.value().read(BootClock::now() + 5s, policy());
                if (!chunk) {
                    *out = chunk.error();
                    co_return;
                }
                if (!chunk.value())
                    break;
                body += *chunk.value();
            }
            *out = std::move(body);
        };
        asio::co_spawn(context, exchangeInto(&result), asio::detached);
        const auto startedAt = BootClock::now();
        while (!result && BootClock::now() - startedAt < 5s)
            context.run_one_for(50ms);
        duration = BootClock::now() - startedAt;
        if (!result)
            return makeError(ErrorCode::DeadlineExceeded, "the exchange did not end");
        return std::move(*result);
    }

    void expectGivenUp(const Result<std::string> &result)
    {
        ASSERT_FALSE(result);
        EXPECT_EQ(result.error().execution, Execution::OutcomeUnknown);
        EXPECT_NE(result.error().message.find("silent"), std::string::npos);
        EXPECT_EQ(questions, giveUpAtQuestion);
        EXPECT_GE(duration, 300ms);
        EXPECT_LT(duration, 900ms);
    }

    asio::io_context context;
    HttpServer server;
    Endpoint address;
    Duration headSilence {};
    Duration bodySilence {};
    int giveUpAtQuestion = 0;
    int questions = 0;
    Duration duration {};
    bool hasLostClient = false;
};

} // namespace

TEST_F(SilencePolicies, ASilentServerIsAwaitedWhileThePolicyDoesNotGiveUp)
{
    headSilence = 500ms;
    bodySilence = 500ms;
    const auto result = exchangeWithPolicy();
    ASSERT_TRUE(result) << result.error().message;
    EXPECT_EQ(result.value(), "ab");
    EXPECT_GE(questions, 4);
}

TEST_F(SilencePolicies, AServerThatIsNotSilentForLongIsNoQuestion)
{
    headSilence = 100ms;
    bodySilence = 100ms;
    giveUpAtQuestion = 1;
    const auto result = exchangeWithPolicy();
    ASSERT_TRUE(result) << result.error().message;
    EXPECT_EQ(questions, 0);
}

TEST_F(SilencePolicies, AnExchangeIsGivenUpBeforeItsHead)
{
    headSilence = 1s;
    giveUpAtQuestion = 2;
    expectGivenUp(exchangeWithPolicy());
}

TEST_F(SilencePolicies, AnExchangeIsGivenUpWithinItsBodyAndTheConnectionClosed)
{
    bodySilence = 1s;
    giveUpAtQuestion = 2;
    expectGivenUp(exchangeWithPolicy());
    context.run_for(1500ms);
    EXPECT_TRUE(hasLostClient);
}
