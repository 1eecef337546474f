#include "io/background.h"

#include "io/notifier.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <stdexcept>

using namespace bluebell;
using namespace std::chrono_literals;
namespace asio = boost::asio;

TEST(Background, TaskThatThrowsIsStartedAgain)
{
    asio::io_context context;
    const auto before = taskFailures();
    int starts = 0;
    spawnLoop(context.get_executor(), "test", [&]() -> asio::awaitable<void> {
        ++starts;
        co_await sleepFor(1ms);
        if (starts < 3)
            throw std::runtime_error("no");
    });
    context.run_for(2s);
    EXPECT_EQ(starts, 3);
    EXPECT_EQ(taskFailures() - before, 2U);
}

TEST(Background, FactoryThatThrowsIsCalledAgain)
{
    asio::io_context context;
    int starts = 0;
    spawnLoop(context.get_executor(), "test", [&]() -> asio::awaitable<void> {
        if (++starts < 2)
            throw std::runtime_error("no");
        return sleepFor(1ms);
    });
    context.run_for(2s);
    EXPECT_EQ(starts, 2);
}

TEST(Background, PauseBetweenStartsGrows)
{
    asio::io_context context;
    int starts = 0;
    spawnLoop(context.get_executor(), "test", [&]() -> asio::awaitable<void> {
        ++starts;
        co_await sleepFor(1ms);
        throw std::runtime_error("no");
    });
    context.run_for(1s);
    EXPECT_GE(starts, 3);
    EXPECT_LE(starts, 5);
}

TEST(Background, TaskEndsWithItsContext)
{
    auto context = std::make_unique<asio::io_context>();
    int starts = 0;
    for (const bool throws : { false, true })
        spawnLoop(context->get_executor(), "test", [&, throws]() -> asio::awaitable<void> {
            ++starts;
            if (throws)
                throw std::runtime_error("no");
            co_await sleepFor(1h);
        });
    context->run_for(10ms);
    context.reset();
    EXPECT_EQ(starts, 2);
}

TEST(Background, HandlerThatThrowsDoesNotEndTheEventLoop)
{
    asio::io_context context;
    bool hasRun = false;
    asio::post(context, [] { throw std::runtime_error("no"); });
    asio::post(context, [&] { hasRun = true; });
    runEvents(context);
    EXPECT_TRUE(hasRun);
}
