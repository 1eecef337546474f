#pragma once

#include "core/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

/// \file
/// Runs background work so that an exception ends neither a task for good nor the process.

namespace bluebell {

/// Makes the coroutine of a background task, anew for each start.
using TaskFactory = std::function<boost::asio::awaitable<void>()>;

/// Pause before a task that has failed is started again; it doubles up to MaxTaskPause.
inline constexpr Duration MinTaskPause = std::chrono::milliseconds(50);
inline constexpr Duration MaxTaskPause = std::chrono::seconds(5);
/// A task that has run for this long before it failed is started again after MinTaskPause.
inline constexpr Duration SteadyTaskTime = std::chrono::seconds(30);

/// Runs a task on `executor`, and starts it again after an exception.
///
/// Exceptions are logged with `name` and counted. A task that returns is not started again. The
/// task and its pause end with the executor's context.
void spawnLoop(const boost::asio::any_io_executor &executor, std::string name,
               TaskFactory makeTask);

/// Runs a task on `executor` once; an exception is logged and counted.
void spawnOnce(const boost::asio::any_io_executor &executor, std::string name,
               boost::asio::awaitable<void> task);

/// Calls `work`; an exception is logged with `name` and counted.
///
/// \returns whether `work` has returned
bool runGuarded(std::string_view name, const std::function<void()> &work);

/// Runs the event loop until it is stopped or has no work. An exception of a handler is logged and
/// counted, and the loop goes on.
void runEvents(boost::asio::io_context &context);

/// \returns the number of exceptions that were caught by the functions above
[[nodiscard]] std::uint64_t taskFailures() noexcept;

} // namespace bluebell
