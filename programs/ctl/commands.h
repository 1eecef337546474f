#pragma once

#include "core/endpoint.h"
#include "core/time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// The operators' commands.

namespace bluebell::ctl {

/// What the tool exits with.
enum class ExitCode : std::uint8_t {
    Success = 0,
    /// The rule file has faults, or what was asked for does not exist.
    Invalid = 1,
    /// The command line or the settings are wrong.
    Usage = 2,
    /// The change is accepted but not in force on every daemon yet.
    NotInForce = 3,
    /// Another change was accepted since the base of this one.
    Conflict = 4,
    /// The platform or the controllers did not answer; the message says what is known.
    Unavailable = 5,
};

struct Options
{
    Endpoint platform;
    std::vector<Endpoint> controllers;
    std::string author;
    /// The version that a rule file was made from; -1 to take it from the file's heading.
    std::int64_t base = -1;
    Duration wait {};
    bool json = false;
};

/// Runs one command, such as `{"apply", "shop.rules"}`.
boost::asio::awaitable<ExitCode> run(Options options, std::vector<std::string> words);

/// \returns the commands with one line each
[[nodiscard]] std::string usage();

} // namespace bluebell::ctl
