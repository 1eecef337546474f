#pragma once

#include "core/result.h"

#include <chrono>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Reconstructs the timeline of one request from the logs of several daemons.

namespace bluebell::ctl {

/// One line of a daemon's log.
struct LogLine
{
    /// Time of day at which the daemon wrote the line.
    std::chrono::system_clock::time_point at;
    /// Origin of the line: its file, and the words of a prefix that a log collector added.
    std::string source;
    std::string message;
    /// All fields but time, level, program and message; numbers are kept as text.
    std::map<std::string, std::string> fields;

    /// \returns the value of the field, or an empty string when it is absent
    [[nodiscard]] std::string field(const std::string &name) const;
};

/// Parses one JSON log line. Text before the first brace is taken as part of its source.
///
/// \returns InvalidArgument when the line is not a JSON object or has no valid time
[[nodiscard]] Result<LogLine> parseLogLine(std::string_view text, const std::string &source);

/// Log lines that were parsed, and the number of lines that could not be.
struct ParsedLog
{
    std::vector<LogLine> lines;
    std::size_t unreadable = 0;
};

/// Parses a log line by line; blank lines are skipped.
[[nodiscard]] ParsedLog readLog(std::istream &in, const std::string &source);

/// Selects the lines that explain the outcome of a request: its own lines, and from the period in
/// which it ran the orders for its model, events of its target, leadership changes, and faults of
/// the daemon that handled it.
///
/// \returns the lines in order of time, or none when no line mentions the request
[[nodiscard]] std::vector<LogLine> requestTimeline(const std::vector<LogLine> &lines,
                                                   const std::string &request);

/// \returns the line in readable form: seconds relative to `end`, source, message, fields
[[nodiscard]] std::string toText(const LogLine &line, std::chrono::system_clock::time_point end);

} // namespace bluebell::ctl
