#include "core/log.h"

#include <fmt/chrono.h>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <utility>

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
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    const auto fraction = now.time_since_epoch().count() % 1000;
    auto line = fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}","program":{},)",
                            fmt::gmtime(std::chrono::system_clock::to_time_t(now)), fraction,
                            toString(level), jsonString(programName()));
    line += R"("message":)" + jsonString(message);
    for (const auto &[name, value] : fields)
        line += ',' + jsonString(name) + ':' + jsonString(value);
    line += "}\n";
    fmt::print(stderr, "{}", line);
}

} // namespace bluebell::log
