#pragma once

#include "rate/ratehome.h"
#include "rules/ruleset.h"

#include <cstdint>
#include <optional>

/// \file
/// Division of an organisation's rate between its home and its base shares.

namespace bluebell {

/// Calculates the part of an organisation's limit that one source may grant.
///
/// The limits of all sources add up exactly to the organisation's rate and burst.
///
/// \param source 0 for the home, n for the n-th base share
/// \returns the limit of this source; nothing for an unknown organisation or source
[[nodiscard]] std::optional<RateLimit>
shareOf(const RuleSet &rules, const OrganisationId &organisation, std::uint8_t source);

} // namespace bluebell
