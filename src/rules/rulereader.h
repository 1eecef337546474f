#pragma once

#include "rules/lexer.h"
#include "rules/rule.h"
#include "rules/ruleerrors.h"

#include <optional>

/// \file
/// Reads one line of a rule file as a rule of its kind.

namespace bluebell::detail {

/// A rule with its source line.
struct LocatedRule
{
    Rule rule;
    RawLine line;
};

/// Reads a line that is not empty.
///
/// \returns the rule, or nothing if its kind is unknown or its name is missing; errors are added to
/// `errors`
[[nodiscard]] std::optional<LocatedRule> readLine(const RawLine &line, ErrorList &errors);

} // namespace bluebell::detail
