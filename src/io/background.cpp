#include "io/background.h"

#include "core/log.h"
#include "io/notifier.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <atomic>
#include <exception>
#include <utility>

namespace asio = boost::asio;

namespace bluebell {
namespace {

std::atomic<std::uint64_t> &failures() noexcept
{
    static std::atomic<std::uint64_t> count = 0;
    return count;
}

void noteFailure(std::string_view name, std::string_view cause) noexcept
{
    ++failures();
    try {
        log::error("background task failed",
                   { { "task", std::string(name) }, { "cause", std::string(cause) } });
    } catch (const std::exception &) {
        // The count has to do when there is no memory for the line.
    }
}

/// \returns whether the task has returned
asio::awaitable<bool> runTask(std::string_view name, const TaskFactory &makeTask)
{
    try {
        co_await makeTask();
        co_return true;
    } catch (const std::exception &e) {
        noteFailure(name, e.what());
    }
    co_return false;
}

asio::awaitable<void> loop(std::string name, TaskFactory makeTask)
{
    auto pause = MinTaskPause;
    for (;;) {
        const auto startedAt = BootClock::now();
        const bool hasReturned = co_await runTask(name, makeTask);
        if (hasReturned)
            co_return;
        if (BootClock::now() - startedAt >= SteadyTaskTime)
            pause = MinTaskPause;
        co_await sleepFor(std::exchange(pause, std::min(2 * pause, MaxTaskPause)));
    }
}

asio::awaitable<void> runOnce(std::string name, asio::awaitable<void> task)
{
    try {
        co_await std::move(task);
    } catch (const std::exception &e) {
        noteFailure(name, e.what());
    }
}

} // namespace

void spawnLoop(const asio::any_io_executor &executor, std::string name, TaskFactory makeTask)
{
    asio::co_spawn(executor, loop(std::move(name), std::move(makeTask)), asio::detached);
}

void spawnOnce(const asio::any_io_executor &executor, std::string name, asio::awaitable<void> task)
{
    asio::co_spawn(executor, runOnce(std::move(name), std::move(task)), asio::detached);
}

bool runGuarded(std::string_view name, const std::function<void()> &work)
{
    try {
        work();
        return true;
    } catch (const std::exception &e) {
        noteFailure(name, e.what());
    }
    return false;
}

void runEvents(asio::io_context &context)
{
    while (!runGuarded("event handler", [&] { context.run(); })) { }
}

std::uint64_t taskFailures() noexcept
{
    return failures();
}

} // namespace bluebell
