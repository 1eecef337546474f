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
/// The rate homes and base shares that this daemon holds.

namespace bluebell::controller {

/// Creates a RateHome for each held role on its first request and dispatches requests to it.
class RateHomes
{
public:
    /// \returns the row of a role if this daemon may act as its holder, else null
    using HeldRoleLookup = std::function<const RoleRow *(const RoleId &, TimePoint)>;

    RateHomes(HeldRoleLookup findHeldRole, RateHome::Settings settings)
        : m_findHeldRole(std::move(findHeldRole)), m_settings(settings)
    {
    }

    /// Applies the limits of new rules and drops the homes of removed organisations.
    void noteRules(std::shared_ptr<const RuleSet> rules, TimePoint now);

    /// Processes the reports in `question`, then answers its grant request.
    [[nodiscard]] AcquireAnswer answer(const AcquireQuestion &question, TimePoint now);

    /// Closes a home permanently.
    ///
    /// \returns the state that its successor needs, or nothing if the home was not active
    [[nodiscard]] std::optional<RateHandover> close(const RoleId &role, TimePoint now);

    /// \returns the level of every active home
    [[nodiscard]] std::vector<StatusRow> status(TimePoint now);

private:
    /// An active home or base share.
    struct Home
    {
        RateHome home;
        Epoch epoch = 0;
        OrganisationId organisation;
        /// 0 for the home of the organisation's rate, n for base share n - 1.
        std::uint8_t source = 0;
    };

    [[nodiscard]] std::optional<RateLimit> limitOf(const OrganisationId &organisation,
                                                   std::uint8_t source) const;
    /// Starts the home if necessary, and drops it if its role is no longer held.
    ///
    /// \returns the home that serves `question`, or null if this daemon does not hold it
    [[nodiscard]] Home *findOrStart(const AcquireQuestion &question, TimePoint now);

    /// Creates the home for the epoch of `row`, with the level that the handover in the row allows.
    [[nodiscard]] RateHome start(const RoleRow &row, RateLimit limit, TimePoint now);

    HeldRoleLookup m_findHeldRole;
    RateHome::Settings m_settings;
    std::shared_ptr<const RuleSet> m_rules = std::make_shared<const RuleSet>();
    std::map<RoleId, Home> m_homes;
    /// The epoch in which this daemon last started each home.
    std::map<RoleId, Epoch> m_startedEpochs;
    std::set<RoleId> m_closed;
};

} // namespace bluebell::controller
