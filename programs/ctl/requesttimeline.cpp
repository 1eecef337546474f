#include "ctl/requesttimeline.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <set>
#include <sstream>
#include <utility>

namespace bluebell::ctl {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Time = std::chrono::system_clock::time_point;

/// Events up to this long before a request arrived may have caused its outcome.
constexpr auto MaxCauseAge = std::chrono::seconds(10);
/// Largest difference between the clocks of two daemons that is allowed for.
constexpr auto MaxClockSkew = milliseconds(500);
const std::string RequestMessage = "request";

/// Messages of events that affect every request of the daemon that logged them.
const std::set<std::string> DaemonMessages { "store lost",
                                             "store regained",
                                             "the VM stood still",
                                             "the daemon was held up",
                                             "the time of day jumped",
                                             "stop requested",
                                             "stopped",
                                             "started",
                                             "configuration in force",
                                             "configuration refused",
                                             "configuration taken from a peer",
                                             "log lines left out" };
/// Messages of events that affect the requests of all daemons.
const std::set<std::string> FleetMessages { "role gained", "role lost" };

Result<Time> parseTime(const std::string &text)
{
    std::tm parts {};
    int fraction = 0;
    std::istringstream in(text);
    char dot = 0;
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> dot >> fraction;
    if (in.fail() || dot != '.')
        return makeError(ErrorCode::InvalidArgument, "'" + text + "' is not a timestamp");
    return std::chrono::system_clock::from_time_t(timegm(&parts)) + milliseconds(fraction);
}

std::string modelOf(const std::string &replica)
{
    return replica.substr(0, replica.find(':'));
}

/// How one daemon handled the request, from its "request" log line.
struct Attempt
{
    std::string source;
    std::string target;
    std::string model;
    Time begin;
    Time end;
};

Attempt toAttempt(const LogLine &line)
{
    const auto duration = milliseconds(std::strtoll(line.field("ms").c_str(), nullptr, 10));
    return { line.source, line.field("target"), modelOf(line.field("replica")), line.at - duration,
             line.at };
}

bool isRelated(const LogLine &line, const Attempt &it)
{
    if (line.at < it.begin - MaxCauseAge || line.at > it.end + MaxClockSkew)
        return false;
    if (FleetMessages.contains(line.message))
        return true;
    if (line.source == it.source && DaemonMessages.contains(line.message))
        return true;
    if (line.message == RequestMessage)
        return false;
    if (!it.model.empty() && modelOf(line.field("replica")) == it.model)
        return true;
    return !it.target.empty() && line.field("target") == it.target && line.message != "order";
}

} // namespace

std::string LogLine::field(const std::string &name) const
{
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
}

Result<LogLine> parseLogLine(std::string_view text, const std::string &source)
{
    const auto brace = std::min(text.find('{'), text.size());
    const auto object = json::parse(text.substr(brace), nullptr, false);
    if (!object.is_object())
        return makeError(ErrorCode::InvalidArgument, "the line is not a JSON object");
    LogLine line;
    for (const auto &[name, value] : object.items())
        line.fields[name] = value.is_string() ? value.get<std::string>() : value.dump();
    BOOST_OUTCOME_TRY(line.at, parseTime(line.field("time")));
    line.message = line.field("message");
    for (const auto *name : { "time", "message", "level", "program" })
        line.fields.erase(name);
    // A log collector may prefix the line with its own timestamp and the daemon's name.
    std::istringstream prefix { std::string(text.substr(0, brace)) };
    std::string word;
    line.source = source;
    while (prefix >> word)
        if (word.find_first_not_of("0123456789.-+:TZ") != std::string::npos)
            line.source += (line.source.empty() ? "" : " ") + word;
    return line;
}

ParsedLog readLog(std::istream &in, const std::string &source)
{
    ParsedLog log;
    std::string text;
    while (std::getline(in, text)) {
        if (text.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        if (auto line = parseLogLine(text, source))
            log.lines.push_back(std::move(line.value()));
        else
            ++log.unreadable;
    }
    return log;
}

std::vector<LogLine> requestTimeline(const std::vector<LogLine> &lines, const std::string &request)
{
    std::vector<Attempt> attempts;
    for (const auto &line : lines)
        if (line.message == RequestMessage && line.field("request") == request)
            attempts.push_back(toAttempt(line));
    std::vector<LogLine> timeline;
    for (const auto &line : lines) {
        const bool isRelatedToAny =
                std::any_of(attempts.begin(), attempts.end(),
                            [&](const Attempt &it) { return isRelated(line, it); });
        if (line.field("request") == request || isRelatedToAny)
            timeline.push_back(line);
    }
    std::stable_sort(timeline.begin(), timeline.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    return timeline;
}

std::string toText(const LogLine &line, Time end)
{
    const auto offset = std::chrono::duration<double>(line.at - end).count();
    auto text = fmt::format("{:+9.3f} s  {:<24} {}", offset, line.source, line.message);
    for (const auto &[name, value] : line.fields)
        if (!value.empty())
            text += fmt::format("  {}={}", name, value);
    return text;
}

} // namespace bluebell::ctl
