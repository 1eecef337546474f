#pragma once

#include "core/result.h"

#include <chrono>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// The story of one request, put together from the log lines of several daemons.

namespace bluebell::ctl {

/// One line of a daemon's log.
struct LogLine
{
    std::chrono::system_clock::time_point at;
    /// Where the line comes from: its file, and what stands before the line in it.
    std::string source;
    std::string message;
    /// All other fields, numbers as text.
    std::map<std::string, std::string> fields;

    /// \returns the field, or an empty text
    [[nodiscard]] std::string field(const std::string &name) const;
};

/// Reads a line; whatever stands before the first brace counts as part of its source.
[[nodiscard]] Result<LogLine> parseLogLine(std::string_view text, const std::string &source);

/// Lines of a file, and how many could not be read.
struct LogText
{
    std::vector<LogLine> lines;
    std::size_t unreadable = 0;
};

[[nodiscard]] LogText readLog(std::istream &in, const std::string &source);

/// Picks the lines that tell what became of a request: its own, and from the time in which it ran
/// the orders for its model, what was learnt of its target, moves of the role that gives orders,
/// and troubles of the daemon that had it.
///
/// \returns the lines by time, or nothing when no line names the request
[[nodiscard]] std::vector<LogLine> requestStory(const std::vector<LogLine> &lines,
                                                const std::string &request);

/// \returns a line as people read it: seconds before the request's end, source, message, fields
[[nodiscard]] std::string toText(const LogLine &line, std::chrono::system_clock::time_point end);

} // namespace bluebell::ctl
