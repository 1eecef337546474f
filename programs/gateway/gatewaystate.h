#pragma once

#include "core/memorybudget.h"
#include "io/notifier.h"
#include "membership/fleet.h"
#include "membership/leadership.h"
#include "metrics/metrics.h"
#include "placement/demandtracker.h"
#include "placement/swapplanner.h"
#include "quarantine/quarantine.h"
#include "rate/sharedrate.h"
#include "relay/relaynode.h"
#include "routing/targetselector.h"
#include "settings/gatewaysettings.h"
#include "site/evacuations.h"
#include "site/siteindex.h"
#include "site/targetregistry.h"
#include "streams/streamassembler.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>

/// \file
/// State of one gateway process.

namespace bluebell::gateway {

/// Recipient of a status message.
enum class StatusRecipient : std::uint8_t {
    /// The leader, which needs the demand for models.
    Leader,
    /// A relay, which passes on sums.
    Relay,
    Others,
};

/// \param memoryLimit maximum memory of the process in bytes; 0 if unknown
/// \returns the bytes that the requests of all callers may hold together: a quarter of the memory,
/// and up to a half if one request of the maximum size needs more
[[nodiscard]] std::size_t requestMemoryLimit(std::uint64_t memoryLimit,
                                             const CallerLimits &limits) noexcept;

/// State shared by the components of a gateway. All of them run on one thread.
struct GatewayState
{
    GatewayState(const boost::asio::any_io_executor &executor, GatewaySettings given);

    GatewaySettings settings;
    IncarnationId incarnation;
    TimePoint startedAt;
    /// The current configuration, or null before the first one was received.
    std::shared_ptr<const SiteIndex> index;
    /// The current configuration as stored by the operators, for daemons that cannot read the
    /// store.
    std::string rawConfig;
    TargetRegistry registry;
    /// The target entries as stored, for daemons that cannot read the store.
    std::map<std::string, std::string> rawEntries;
    /// Store version of `rawEntries`; 0 if this daemon has never read them.
    RowVersion registryVersion = 0;
    /// The target entries as they are passed on through relays.
    RowLog<std::string, TargetRow> targetRows;
    /// The daemons' rows, this daemon's included.
    RowLog<VmId, FleetMember> memberRows;
    /// Whether a digest showed that changes have been missed.
    bool isBehindRelay = false;
    Fleet fleet;
    RelayNode relayNode;
    TargetSelector selector;
    DemandTracker demand;
    Quarantine quarantine;
    Evacuations evacuations;
    std::map<OrganisationId, SharedRate> rates;
    std::map<ServiceId, RetryBudget> retryBudgets;
    Leadership leadership;
    SwapPlanner planner;
    /// Replicas resident at the engines; maintained only while this daemon is the leader.
    PlacementPublisher placement;
    Metrics metrics;
    /// For the bodies of targets' responses that are kept until they are complete.
    std::shared_ptr<MemoryBudget> responseMemory;
    /// Bytes of callers' requests, from their arrival until the response has ended.
    std::shared_ptr<MemoryBudget> requestMemory;
    /// When the store last replied to a read of the targets.
    TimePoint targetsReadAt;
    /// When a graceful stop was requested.
    std::optional<TimePoint> stopRequestedAt;
    /// Wakes requests that wait for a target, and the planner.
    Notifier stateChanged;
    /// Wakes the task that sends statuses to all daemons.
    Notifier statusDue;
    /// Wakes the task that sends the demand to the leader.
    Notifier demandDue;
    /// Wakes the task that reports to the relays.
    Notifier reportDue;
    /// Wakes the task that fetches from other daemons what this one misses.
    Notifier peerDataDue;
    /// Wakes the task that sends digests, if this daemon is a relay.
    Notifier digestDue;
    /// Wakes the task that decides on quarantines.
    Notifier quarantineDue;

    /// Applies changed settings. Listen addresses change only with a restart.
    void applySettings(const GatewaySettings &changed);
    /// \returns whether callers may use this daemon
    [[nodiscard]] bool isReady() const noexcept { return index && !stopRequestedAt; }
    /// \returns the resident replicas of all engines, as published by the leader, or as listed in
    /// the target entries while no leader is known
    ///
    /// The reference is valid until the next event.
    [[nodiscard]] const ResidentReplicas &residents(TimePoint now) const;
    /// \returns when a model that is being loaded can serve, if the leader has an estimate
    [[nodiscard]] std::optional<TimePoint> readyAt(const ServiceId &service, const ModelId &model,
                                                   TimePoint now) const;
    /// \returns whether this daemon reads the store's tables itself
    [[nodiscard]] bool isReader(TimePoint now) const;
    /// \returns whether this daemon may claim the leader role. In a large fleet only relays may, so
    /// that few daemons read the role's row.
    [[nodiscard]] bool mayLead() const { return !fleet.usesRelays() || relayNode.isRanked(); }
    /// Makes the next status message. A leader's message to Others consumes placement changes, so
    /// call this once for each message.
    [[nodiscard]] DaemonStatus status(StatusRecipient recipient, TimePoint now);
    /// \returns a status with the complete placement, for a daemon that has missed changes
    [[nodiscard]] DaemonStatus fullStatus(TimePoint now);
    /// \returns this daemon's requests in flight at engines
    [[nodiscard]] std::vector<ModelInFlight> inFlight() const;
    /// \returns the daemons whose admission counts arrive, this one included
    [[nodiscard]] std::size_t daemonsHeard(TimePoint now) const;
    /// \returns this daemon's place in the order of trials
    [[nodiscard]] TrialTurn trialTurn() const;
    /// Keeps the levels of the token buckets of organisations that have another name in the new
    /// configuration, so that a new name brings no new burst.
    ///
    /// \param before the configuration before
    void renameRates(const SiteIndex &before, TimePoint now);
    /// \returns the token bucket of an organisation that has a limit
    [[nodiscard]] SharedRate &rateOf(const SiteOrganisation &organisation, TimePoint now);
    [[nodiscard]] RetryBudget &retryBudgetOf(const ServiceId &service);
    /// Copies the planner's view of the engines into `placement`.
    void notePlacement() { placement.setResidents(planner.residents()); }
    /// Computes the groups of relays from the daemons' rows.
    void updateRelayGroups(TimePoint now);
    /// Takes over which daemons the relays know to be unavailable.
    void noteAvailability(TimePoint now);
    /// \returns the leader, which may be this daemon, as last known
    [[nodiscard]] std::optional<LeaderInfo> knownLeader(TimePoint now) const;
    [[nodiscard]] std::vector<LoadEstimate> knownEstimates(TimePoint now) const;
    /// Takes over what this daemon has published itself, while it is the leader.
    void noteOwnPlacement(TimePoint now);
    /// Processes what a relay knows of the leader.
    void noteLeader(const LeaderInfo &leader, const std::vector<LoadEstimate> &estimates,
                    TimePoint now);
    /// Applies the sums of the other daemons to the token buckets and the load of targets.
    void noteFleetCounts(const FleetCounts &counts, Duration relayUptime,
                         const std::vector<RateUsage> &levels, TimePoint now);
    /// Applies the status timing for the current fleet size.
    void applyStatusTiming();
    /// Notes the store's era at a read, here or at a relay.
    ///
    /// \returns whether the store has come back from an older copy since the last read
    bool noteStoreEra(StoreEra era);
    /// Processes a status of another daemon.
    void noteStatus(const DaemonStatus &received, TimePoint now);
    /// Wakes the tasks that wait for targets, and schedules a status message to all daemons.
    void notifyChange();
    /// Schedules a report to the relays and, if this daemon is a relay, a digest.
    void notifyRelays();
    /// Applies what another daemon tells of quarantines.
    void noteQuarantine(const QuarantineUpdate &update, TimePoint now);
    /// Applies the list of evacuated data centres in the store at `version`.
    void noteEvacuationRows(std::set<DataCentreId> listed, RowVersion version, TimePoint now);
    /// Applies what another daemon tells of evacuations.
    ///
    /// \param sender names the daemon in the log
    void noteEvacuations(const EvacuationUpdate &update, const VmId &sender, TimePoint now);
    /// Ends evacuations that were only kept after a restore of the store.
    void expireEvacuations(TimePoint now);
    /// Schedules a decision on quarantines, and messages with what has changed.
    void notifyQuarantine();
    /// Wakes the planner, here or at the leader.
    void notifyDemand();

private:
    /// Sends no more requests to evacuated data centres, and tells the other daemons.
    void applyEvacuations(std::string source);
    /// Applies the counts of a daemon that sends its status to all others.
    void noteCounts(const DaemonStatus &received, TimePoint now);
    /// \returns the token bucket of an organisation, or null if it is unknown or has no limit
    [[nodiscard]] SharedRate *knownRate(const OrganisationId &organisation, TimePoint now);
    [[nodiscard]] DaemonStatus statusWithoutPlacement(StatusRecipient recipient, TimePoint now);

    /// A run of another daemon's process.
    struct PeerStart
    {
        IncarnationId incarnation;
        /// The earliest time that a status told, which was on its way for the shortest time.
        TimePoint startedAt;
    };

    /// \returns when the sender of a status has started, by this daemon's clock
    TimePoint notePeerStart(const DaemonStatus &received, TimePoint now);

    std::map<VmId, PeerStart> m_peerStarts;
    /// The latest known era of the store.
    std::optional<StoreEra> m_storeEra;
    /// Relay process whose counts were applied last.
    IncarnationId m_countingRelay;
    /// Resident replicas as listed in the target entries, for use while no leader is known.
    mutable ResidentReplicas m_entryResidents;
};

} // namespace bluebell::gateway
