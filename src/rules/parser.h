#pragma once

#include "core/result.h"
#include "rules/ruleset.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Reader of the operators' rule file.
///
/// One line holds one rule: a kind, a name, attributes written `name=value` and a comment that says
/// who asked for it. A line with nothing but a comment is a heading and is passed over.
///
/// \verbatim
/// organisation castle-hifi rate=1200/s burst=6000 class=counter  # asked for by J. Hart
/// \endverbatim

namespace bluebell {

/// A fault in a rule file.
struct RuleError
{
    std::string file;
    /// Counted from 1.
    std::size_t line = 0;
    /// Counted from 1, in bytes.
    std::size_t column = 0;
    /// A sentence that names the cause and, where there is one, the nearest right word.
    std::string message;
};

/// Either a value or every fault of the file.
template<typename T>
using RuleResult =
        BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, std::vector<RuleError>,
                                                 BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// A rule file that has been read and checked.
struct ParsedRules
{
    RuleSet rules;
    /// Every rule line with single spaces, in the order of the file.
    std::vector<std::string> lines;
};

/// Reads and checks a whole rule file.
///
/// \param file the name that stands in errors
/// \param text the file's content
/// \returns the rules, or all faults found
[[nodiscard]] RuleResult<ParsedRules> parseRules(std::string_view file, std::string_view text);

/// \returns `FILE:LINE:COLUMN: MESSAGE`
[[nodiscard]] std::string toString(const RuleError &error);

} // namespace bluebell
