#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Commands of bluebell-ctl, the operators' command-line tool.

namespace bluebell::ctl {

/// Exit status of the tool.
enum class ExitCode : std::uint8_t {
    Success = 0,
    /// The rule file has errors, or the requested object does not exist.
    Invalid = 1,
    /// The command line or a setting is invalid.
    Usage = 2,
    /// The change was accepted but is not yet in force on every daemon.
    NotInForce = 3,
    /// Another change was accepted after the version that this one is based on.
    Conflict = 4,
    /// The platform or the controllers did not answer; the error message gives the details.
    Unavailable = 5,
};

struct Options
{
    Endpoint platform;
    std::vector<Endpoint> controllers;
    /// Recorded as the author of a change.
    std::string author;
    /// Version that the rule file is based on; -1 reads it from the file's `# version:` header.
    std::int64_t base = -1;
    /// How long `apply` waits until every daemon has the change in force.
    Duration wait {};
    /// Prints JSON instead of text.
    bool json = false;
};

/// Runs one command, such as `{"apply", "shop.rules"}`.
boost::asio::awaitable<ExitCode> run(Options options, std::vector<std::string> arguments);

/// \returns the help text: one line per command, and the exit codes
[[nodiscard]] std::string usage();

} // namespace bluebell::ctl
