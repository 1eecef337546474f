#include "core/log.h"

#include <fmt/chrono.h>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace bluebell::log {
namespace {

std::string &programName()
{
    static std::string name = "bluebell";
    return name;
}

std::atomic<Level> &threshold()
{
    static std::atomic<Level> level = Level::Info;
    return level;
}

std::string_view toString(Level level) noexcept
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        break;
    }
    return "error";
}

std::string jsonString(std::string_view text)
{
    using nlohmann::json;
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Writes to standard output with a limit on the lines per second.
class Output
{
public:
    static Output &instance()
    {
        static Output output;
        return output;
    }

    void write(Level level, const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        if (!takeToken(level)) {
            ++m_droppedLines;
            return;
        }
        if (m_droppedLines > m_reportedDroppedLines) {
            const auto n = m_droppedLines - m_reportedDroppedLines;
            m_reportedDroppedLines = m_droppedLines;
            writeLine(Level::Warning,
                      fmt::format(R"("message":"log lines left out","lines":{})", n));
        }
        writeLine(level, body);
    }

    std::uint64_t droppedLines()
    {
        const std::lock_guard lock(m_mutex);
        return m_droppedLines;
    }

private:
    using Clock = std::chrono::steady_clock;

    /// Rate and burst of each bucket. Warnings and errors have a bucket of their own, so that a
    /// flood of other lines does not displace them.
    static constexpr double MaxLinesPerSecond = 200;
    /// Writes of up to PIPE_BUF (4096) bytes to a pipe are atomic; longer lines could be split.
    static constexpr std::size_t MaxLineSize = 4096;

    struct TokenBucket
    {
        double tokens = MaxLinesPerSecond;
        Clock::time_point refilledAt = Clock::now();
    };

    /// Takes a token from the bucket of `level`.
    ///
    /// \returns false when the rate limit is reached
    bool takeToken(Level level)
    {
        auto &bucket = level >= Level::Warning ? m_warningBucket : m_infoBucket;
        const auto now = Clock::now();
        const auto elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
        bucket.tokens = std::min(MaxLinesPerSecond, bucket.tokens + elapsed * MaxLinesPerSecond);
        bucket.refilledAt = now;
        if (bucket.tokens < 1)
            return false;
        bucket.tokens -= 1;
        return true;
    }

    void writeLine(Level level, const std::string &body)
    {
        const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now());
        const auto fraction = now.time_since_epoch().count() % 1000;
        auto line = fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}",)"
                                R"("program":{},{}}})",
                                fmt::gmtime(std::chrono::system_clock::to_time_t(now)), fraction,
                                toString(level), jsonString(programName()), body);
        line += '\n';
        // Drops the line instead of blocking the program when the reader does not keep up.
        pollfd poll { STDOUT_FILENO, POLLOUT, 0 };
        const bool isWritable = ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
        if (!isWritable || line.size() > MaxLineSize
            || ::write(STDOUT_FILENO, line.data(), line.size()) < 0)
            ++m_droppedLines;
    }

    std::mutex m_mutex;
    TokenBucket m_infoBucket;
    TokenBucket m_warningBucket;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
};

} // namespace

void setProgram(std::string name)
{
    programName() = std::move(name);
}

void setLevel(Level level) noexcept
{
    threshold() = level;
}

Level levelFromString(std::string_view text) noexcept
{
    for (const auto level : { Level::Debug, Level::Warning, Level::Error })
        if (toString(level) == text)
            return level;
    return Level::Info;
}

void write(Level level, std::string_view message, std::initializer_list<Field> fields)
{
    if (level < threshold())
        return;
    std::string body = R"("message":)" + jsonString(message);
    for (const auto &[name, value] : fields)
        body += ',' + jsonString(name) + ':' + jsonString(value);
    Output::instance().write(level, body);
}

std::uint64_t droppedLines()
{
    return Output::instance().droppedLines();
}

} // namespace bluebell::log
