#pragma once

#include "controller/rolekeeper.h"
#include "peer/messages.h"
#include "rate/ratehome.h"
#include "rules/ruleset.h"

#include <map>
#include <memory>

/// \file
/// The homes and base shares of rates that this daemon holds.

namespace bluebell::controller {

class RateHomes
{
public:
    RateHomes(const RoleKeeper &roles, RateHome::Settings settings)
        : m_roles(roles), m_settings(settings)
    {
    }

    /// Puts the limits of new rules in force.
    void noteRules(std::shared_ptr<const RuleSet> rules, TimePoint now);

    [[nodiscard]] AcquireAnswer answer(const AcquireQuestion &question, TimePoint now);

    /// Ends a home for good and returns what its successor needs.
    [[nodiscard]] std::optional<RateHandover> close(const RoleId &role, TimePoint now);

    /// \returns the level of every home that is at work
    [[nodiscard]] std::vector<StatusRow> status(TimePoint now);

private:
    struct Home
    {
        RateHome home;
        Epoch epoch = 0;
        OrganisationId organisation;
        std::uint8_t source = 0;
    };

    [[nodiscard]] std::optional<RateLimit> limitOf(const OrganisationId &organisation,
                                                   std::uint8_t source) const;
    [[nodiscard]] Home *find(const AcquireQuestion &question, TimePoint now);

    const RoleKeeper &m_roles;
    RateHome::Settings m_settings;
    std::shared_ptr<const RuleSet> m_rules = std::make_shared<const RuleSet>();
    std::map<RoleId, Home> m_homes;
    std::set<RoleId> m_closed;
};

} // namespace bluebell::controller
