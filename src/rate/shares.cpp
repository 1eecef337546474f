#include "rate/shares.h"

namespace bluebell {

std::optional<RateLimit> shareOf(const RuleSet &rules, const OrganisationId &organisation,
                                 std::uint8_t source)
{
    const auto it = rules.organisations.find(organisation);
    const auto &policy = rules.policy;
    if (it == rules.organisations.end() || source > policy.baseParts)
        return std::nullopt;
    constexpr Tokens Percent = 100;
    const Tokens divisor = Percent * policy.baseParts;
    const RateLimit part { it->second.rate * policy.baseShare / divisor,
                           it->second.burst * policy.baseShare / divisor };
    if (source > 0)
        return part;
    return RateLimit { it->second.rate - part.rate * policy.baseParts,
                       it->second.burst - part.burst * policy.baseParts };
}

} // namespace bluebell
