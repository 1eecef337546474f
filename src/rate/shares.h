#pragma once

#include "rate/ratehome.h"
#include "rules/ruleset.h"

#include <cstdint>
#include <optional>

/// \file
/// How a rate is divided between its home and its base shares.

namespace bluebell {

/// \param source 0 for the home, n for the n-th base share
/// \returns the part of the organisation's limit; nothing for an unknown organisation or source
///
/// The parts of all sources add up to the organisation's rate and burst exactly.
[[nodiscard]] std::optional<RateLimit>
shareOf(const RuleSet &rules, const OrganisationId &organisation, std::uint8_t source);

} // namespace bluebell
