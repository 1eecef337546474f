#pragma once

#include "rules/rulereader.h"
#include "rules/ruleset.h"

#include <vector>

/// \file
/// Checks of a rule file that concern more than one line.

namespace bluebell::detail {

/// Collects the rules of a file, and reports duplicates and values that are not allowed.
[[nodiscard]] RuleSet collectRules(const std::vector<LocatedRule> &rules, ErrorList &errors);

/// Checks that all references between rules resolve, and that each model fits into a target.
void checkReferences(const std::vector<LocatedRule> &rules, const RuleSet &collected,
                     ErrorList &errors);

} // namespace bluebell::detail
