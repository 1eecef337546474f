#pragma once

#include "config/configreplica.h"
#include "rules/parser.h"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// Rule files on the operator's disk.

namespace bluebell::ctl {

/// Line that records the version which a rule file is based on.
constexpr std::string_view VersionHeader = "# version: ";

/// A rule file and the configuration version that it is based on.
struct RuleFile
{
    std::string path;
    std::string text;
    ParsedRules parsed;
    ConfigVersion base = 0;
};

/// Prints an error of the tool on standard error.
void printError(std::string_view message);

/// Updates or adds the header line with the version. The file is replaced atomically.
///
/// \returns false when the file could not be written
[[nodiscard]] bool writeVersionHeader(const RuleFile &file, ConfigVersion version);

/// Reads and parses a rule file.
///
/// \param base the version that the file is based on; without it, the file's header is used
/// \returns nothing, after printing the errors, when it cannot be read or has errors
[[nodiscard]] std::optional<RuleFile> readRules(const std::string &path,
                                                std::optional<ConfigVersion> base);

} // namespace bluebell::ctl
