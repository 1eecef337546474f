#pragma once

#include "gateway/settings.h"
#include "io/notifier.h"
#include "membership/fleet.h"
#include "membership/leadership.h"
#include "metrics/metrics.h"
#include "placement/demandboard.h"
#include "placement/swapplanner.h"
#include "rate/sharedrate.h"
#include "routing/targetselector.h"
#include "site/siteindex.h"
#include "site/targetregistry.h"
#include "streams/streamassembler.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>

/// \file
/// The decision objects of one gateway, shared by the parts that drive them. All run on one thread.

namespace bluebell::gateway {

/// Whom a status is for.
enum class StatusAudience : std::uint8_t {
    /// The holder of the role that gives orders, who needs the demand.
    Holder,
    Others,
};

struct SiteState
{
    SiteState(const boost::asio::any_io_executor &executor, GatewaySettings given);

    GatewaySettings settings;
    IncarnationId incarnation;
    TimePoint startedAt;
    /// The configuration in force; null while none is known.
    std::shared_ptr<const SiteIndex> index;
    /// The configuration as the operators wrote it, for daemons that cannot read the store.
    std::string configText;
    TargetRegistry registry;
    /// The targets' entries as they were read, for daemons that cannot read the store.
    std::map<std::string, std::string> entryTexts;
    RowVersion registryVersion = 0;
    Fleet fleet;
    TargetSelector selector;
    DemandBoard demand;
    std::map<OrganisationId, SharedRate> rates;
    std::map<ServiceId, RetryBudget> retryBudgets;
    Leadership leadership;
    SwapPlanner planner;
    /// What engines hold, while this daemon holds the role that gives orders.
    PlacementLog placement;
    Metrics metrics;
    /// When the store last answered a read of configuration or targets.
    TimePoint storeAnsweredAt;
    /// When a stop was asked for.
    std::optional<TimePoint> stopRequestedAt;
    /// Wakes requests that wait for a target and the driver of the planner.
    Notifier changed;
    /// Wakes the sender of statuses to all.
    Notifier statusDue;
    /// Wakes the sender of statuses to the holder of the role.
    Notifier demandDue;

    /// Puts changed settings into force; addresses to listen on need a restart.
    void noteSettings(const GatewaySettings &changed);
    /// \returns whether callers may be sent here
    [[nodiscard]] bool isReady() const noexcept { return index && !stopRequestedAt; }
    /// \returns what engines hold, as the holder of the role or else the engines themselves tell it
    ///
    /// The reference is good until the next event.
    [[nodiscard]] const Residents &residents(TimePoint now) const;
    /// \returns when a model can serve that is not there yet, if the holder of the role knows
    [[nodiscard]] std::optional<TimePoint> readyAt(const ServiceId &service, const ModelId &model,
                                                   TimePoint now) const;
    /// \returns the state that is told next; to be called once for each message to all others
    [[nodiscard]] DaemonStatus status(StatusAudience audience, TimePoint now);
    /// \returns the state with all that engines hold, for a daemon that has missed changes
    [[nodiscard]] DaemonStatus wholeStatus(TimePoint now);
    /// \returns what this daemon has under way at engines
    [[nodiscard]] std::vector<ModelInFlight> inFlight() const;
    /// \returns the bucket of an organisation that has a limit
    [[nodiscard]] SharedRate &rateOf(const SiteOrganisation &organisation, TimePoint now);
    [[nodiscard]] RetryBudget &retryBudgetOf(const ServiceId &service);
    /// Takes in what the planner, which this daemon drives, now knows of the engines.
    void notePlacement() { placement.note(planner.residents()); }
    /// Puts the pace of statuses into force that the number of daemons asks for.
    void notePace();
    /// Takes in another daemon's status.
    void noteStatus(const DaemonStatus &told, TimePoint now);
    /// Wakes whoever waits for targets, and tells the other daemons soon.
    void announce();
    /// Wakes the planner, here or at the holder of the role.
    void announceDemand();

private:
    [[nodiscard]] DaemonStatus statusWithoutPlacement(StatusAudience audience, TimePoint now);

    /// What the engines' entries tell, while nobody holds the role.
    mutable Residents m_entryResidents;
};

} // namespace bluebell::gateway
