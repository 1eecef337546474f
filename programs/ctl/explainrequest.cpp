#include "ctl/explainrequest.h"

#include "ctl/requesttimeline.h"
#include "ctl/rulefile.h"

#include <fmt/core.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace bluebell::ctl {
namespace {

/// Reads the daemons' logs from `paths`, or from standard input when `paths` is empty.
///
/// \returns nothing, after printing an error, when a file cannot be read
std::optional<ParsedLog> readLogs(const std::vector<std::string> &paths)
{
    if (paths.empty())
        return readLog(std::cin, {});
    ParsedLog all;
    for (const auto &path : paths) {
        std::ifstream in(path);
        if (!in) {
            printError("cannot read '" + path + "'");
            return std::nullopt;
        }
        auto log = readLog(in, path);
        std::move(log.lines.begin(), log.lines.end(), std::back_inserter(all.lines));
        all.unreadable += log.unreadable;
    }
    return all;
}

} // namespace

ExitCode explainRequest(const std::string &request, const std::vector<std::string> &paths)
{
    const auto log = readLogs(paths);
    if (!log)
        return ExitCode::Usage;
    if (log->unreadable > 0)
        printError(fmt::format("{} lines could not be parsed as log lines", log->unreadable));
    const auto timeline = requestTimeline(log->lines, request);
    const auto last = std::find_if(timeline.rbegin(), timeline.rend(),
                                   [&](const auto &it) { return it.field("request") == request; });
    if (last == timeline.rend()) {
        printError(fmt::format("none of {} log lines mentions request '{}'", log->lines.size(),
                               request));
        return ExitCode::Invalid;
    }
    for (const auto &it : timeline)
        fmt::print("{}\n", toText(it, last->at));
    return ExitCode::Success;
}

} // namespace bluebell::ctl
