#pragma once

#include "peer/messages.h"
#include "rate/ratehome.h"
#include "rules/ruleset.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

/// \file
/// The homes and base shares of rates that this daemon holds.

namespace bluebell::controller {

class RateHomes
{
public:
    /// \returns the row of a role if this daemon may act in it, else null
    using HeldRole = std::function<const RoleRow *(const RoleId &, TimePoint)>;

    RateHomes(HeldRole held, RateHome::Settings settings)
        : m_held(std::move(held)), m_settings(settings)
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

    /// Starts a home under the epoch of `row`.
    [[nodiscard]] RateHome start(const RoleRow &row, RateLimit limit, TimePoint now);

    HeldRole m_held;
    RateHome::Settings m_settings;
    std::shared_ptr<const RuleSet> m_rules = std::make_shared<const RuleSet>();
    std::map<RoleId, Home> m_homes;
    /// The last epoch under which a home was started here.
    std::map<RoleId, Epoch> m_started;
    std::set<RoleId> m_closed;
};

} // namespace bluebell::controller
