#pragma once

#include "core/result.h"
#include "rules/ruleset.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Parser of the operators' rule file.
///
/// Each line holds one rule: a kind, a name, attributes of the form `name=value` and a comment that
/// names the requester. Empty lines and lines with only a comment are skipped.
///
/// \verbatim
/// organisation castle-hifi rate=1200/s burst=6000 class=counter  # asked for by J. Hart
/// \endverbatim

namespace bluebell {

/// An error in a rule file.
struct RuleError
{
    std::string file;
    /// Counted from 1.
    std::size_t line = 0;
    /// Counted from 1, in bytes.
    std::size_t column = 0;
    /// The cause, with the nearest valid word as a suggestion if there is one.
    std::string message;
};

/// A value, or all errors found in the file.
template<typename T>
using RuleResult =
        BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, std::vector<RuleError>,
                                                 BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// The content of a valid rule file.
struct ParsedRules
{
    RuleSet rules;
    /// All rule lines in canonical form, with single spaces, in the order of the file.
    std::vector<std::string> lines;
};

/// Parses and validates a rule file.
///
/// \param file the file name to use in errors
/// \param text the file's content
/// \returns the rules, or all errors found
[[nodiscard]] RuleResult<ParsedRules> parseRules(std::string_view file, std::string_view text);

/// \returns `FILE:LINE:COLUMN: MESSAGE`
[[nodiscard]] std::string toString(const RuleError &error);

} // namespace bluebell
