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

/// Standard output, with a bound on the lines of a second.
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
        if (!takeLine(level)) {
            ++m_leftOut;
            return;
        }
        if (m_leftOut > m_toldLeftOut) {
            const auto n = m_leftOut - m_toldLeftOut;
            m_toldLeftOut = m_leftOut;
            put(Level::Warning, fmt::format(R"("message":"log lines left out","lines":{})", n));
        }
        put(level, body);
    }

    std::uint64_t linesLeftOut()
    {
        const std::lock_guard lock(m_mutex);
        return m_leftOut;
    }

private:
    using Clock = std::chrono::steady_clock;

    /// Lines of one second, and apart from them warnings and errors.
    static constexpr double LinesPerSecond = 200;
    /// A line up to this size goes into a pipe whole or not at all.
    static constexpr std::size_t LargestLine = 4096;

    struct Allowance
    {
        double lines = LinesPerSecond;
        Clock::time_point at = Clock::now();
    };

    bool takeLine(Level level)
    {
        auto &it = level >= Level::Warning ? m_warnings : m_others;
        const auto now = Clock::now();
        const auto elapsed = std::chrono::duration<double>(now - it.at).count();
        it.lines = std::min(LinesPerSecond, it.lines + elapsed * LinesPerSecond);
        it.at = now;
        if (it.lines < 1)
            return false;
        it.lines -= 1;
        return true;
    }

    void put(Level level, const std::string &body)
    {
        const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now());
        const auto fraction = now.time_since_epoch().count() % 1000;
        auto line = fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}",)"
                                R"("program":{},{}}})",
                                fmt::gmtime(std::chrono::system_clock::to_time_t(now)), fraction,
                                toString(level), jsonString(programName()), body);
        line += '\n';
        // A reader that does not keep up must not hold up the program.
        pollfd poll { STDOUT_FILENO, POLLOUT, 0 };
        const bool isWritable = ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
        if (!isWritable || line.size() > LargestLine
            || ::write(STDOUT_FILENO, line.data(), line.size()) < 0)
            ++m_leftOut;
    }

    std::mutex m_mutex;
    Allowance m_others;
    Allowance m_warnings;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_toldLeftOut = 0;
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

std::uint64_t linesLeftOut()
{
    return Output::instance().linesLeftOut();
}

} // namespace bluebell::log
