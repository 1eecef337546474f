#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/enginepool.h"
#include "placement/enginetracker.h"
#include "placement/fleetdemand.h"
#include "placement/modelcopies.h"
#include "placement/modeldemand.h"
#include "placement/placementorder.h"
#include "placement/placementupdate.h"
#include "placement/storepace.h"
#include "site/siteconfig.h"
#include "site/targetregistry.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// Decides which models engines load, and which are evicted for them.

namespace bluebell {

/// Decides on loads and unloads on all engines.
///
/// Based on the engines' reports, tracked by EngineTracker, and on the demand that daemons report.
/// Used by the gateway; LoadPlanner is its counterpart in the controller.
class SwapPlanner
{
public:
    // Events.

    void setServices(const std::map<ServiceId, Service> &services)
    {
        m_engines.setServices(services);
    }
    /// Replaces the registry entries of all targets. What a target holds is taken from its reports,
    /// which are newer; a target gets no order before its first report.
    void noteTargets(const std::map<TargetId, TargetEntry> &targets, TimePoint now)
    {
        m_engines.noteTargets(targets, now);
    }
    /// Applies a report that was requested; one of a later run shows that this one has ended.
    ///
    /// \param startTimeMs start time of the target's process in the report, see
    ///        TargetEntry::startTimeMs; 0 when the report does not state it
    void noteReport(const TargetId &target, std::uint64_t startTimeMs, const EngineState &state,
                    TimePoint now)
    {
        m_engines.noteReport(target, startTimeMs, state, now);
    }
    /// Records that a target did not respond to a report request. After two in a row it counts as
    /// unavailable; if its machine has refused the connections, it counts as ended and is published
    /// without models.
    void noteReportFailed(const TargetId &target, bool isRefused)
    {
        m_engines.noteReportFailed(target, isRefused);
    }
    /// Replaces the hold-offs in force, with their ends. Their targets get no orders and no report
    /// requests, and with a long one their replicas do not count as available.
    void noteHoldOffs(const std::map<TargetId, TimePoint> &ends, TimePoint now)
    {
        m_engines.noteHoldOffs(ends, now);
    }
    /// Replaces the evacuated data centres. Their engines get no orders and no report requests, and
    /// what they hold does not count as available.
    void noteEvacuated(const std::set<DataCentreId> &dataCentres, TimePoint now)
    {
        m_engines.noteEvacuated(dataCentres, now);
    }
    /// Replaces one daemon's demand and requests in flight.
    void noteDemand(const VmId &vm, std::vector<ModelDemand> demand,
                    std::vector<ModelInFlight> inFlight, TimePoint now);
    void noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now)
    {
        m_engines.noteOutcome(order, outcome, now);
    }
    /// Sets how long a daemon's demand stays valid without renewal.
    void setDemandLifetime(Duration lifetime) { m_demand.setLifetime(lifetime); }

    // Decisions.

    /// \returns the orders to send now; report the outcome of each with noteOutcome()
    [[nodiscard]] std::vector<PlacementOrder> plan(TimePoint now);
    /// \returns the targets to request a report from now, those that orders or waiting requests
    /// depend on first
    ///
    /// \param limit largest number of targets
    [[nodiscard]] std::vector<TargetId> reportsDue(std::size_t limit, TimePoint now)
    {
        return m_engines.reportsDue(limit, now);
    }

    // Queries.

    /// \returns the replicas that can serve requests at each target, without those being unloaded
    [[nodiscard]] ResidentReplicas residents() const { return m_engines.residents(); }
    /// \returns for each model being loaded the time until it can serve requests; loads at draining
    /// or evacuated targets, which get no requests, are left out
    [[nodiscard]] std::vector<LoadEstimate> estimates(TimePoint now) const
    {
        return m_engines.estimates(now);
    }
    /// \returns the number of configured models without a copy at hand, as of the last plan
    [[nodiscard]] std::size_t missingModels() const { return m_copies.missingModels(m_engines); }
    /// \returns the learned number of loads from the weight store that run at full speed
    [[nodiscard]] std::size_t fullSpeedLoads() const noexcept { return m_pace.fullSpeedLoads(); }

private:
    /// A target on which a model can be loaded.
    struct Candidate
    {
        TargetId target;
        /// Expected time until the model can serve requests there.
        Duration readyIn {};
        /// Whether the target must load the model from the weight store.
        bool isFromStore = false;
        /// Models to evict first.
        std::vector<ReplicaKey> victims;
    };

    /// \returns the concurrent loads from the weight store up to which models without waiting
    /// requests are loaded
    [[nodiscard]] std::size_t maxPrefetchLoads() const;
    /// Learns the weight store's speed, and updates the remaining times of its loads.
    void trackStoreLoads(TimePoint now);
    /// \returns whether the weight store's limit of loads per second allows another load now
    [[nodiscard]] bool mayLoadFromStore(const EngineSpec &engine, TimePoint now) const;
    /// \returns the cost of evicting the model from the engine, in the unit of pressureOf()
    [[nodiscard]] double evictionLoss(const EngineTracker &it, const ReplicaKey &key) const;
    /// \returns the models to evict for `needed` memory, the cheapest first; none if that much is
    /// free
    ///
    /// Returns nothing when not enough memory can be freed at a loss below `gain` for each model.
    [[nodiscard]] std::optional<std::vector<ReplicaKey>>
    victimsFor(const EngineTracker &it, Megabytes needed, double gain) const;
    [[nodiscard]] std::optional<Candidate> bestTarget(const ModelDemand &wanted,
                                                      TimePoint now) const;
    /// Requests reports of the engines where a replica with waiting requests is resident.
    void refreshResidentEngines(const ModelDemand &wanted, TimePoint now);
    void planAdapter(const ModelDemand &wanted, TimePoint now, std::vector<PlacementOrder> &orders);
    void planModel(const ModelDemand &wanted, TimePoint now, std::vector<PlacementOrder> &orders);
    /// A model that should have more copies.
    struct MissingCopies
    {
        ServiceId service;
        ModelId model;
        double arrivalsPerSecond = 0;
        /// Wanted copies relative to those that are resident or being loaded.
        double overload = 1;
    };
    /// \returns the models that should have more than one copy and have too few, those with the
    /// highest overload first
    [[nodiscard]] std::vector<MissingCopies> missingCopies() const;
    /// Loads a copy for each of the first `missing` models, if an engine can take it.
    ///
    /// \returns whether an engine was found for all of them
    bool planCopies(const std::vector<MissingCopies> &missing, TimePoint now,
                    std::vector<PlacementOrder> &orders);
    /// Loads further copies of models that are asked for often.
    void planExtraCopies(TimePoint now, std::vector<PlacementOrder> &orders);
    /// Loads further copies of models whose engines are full, before models with few waiting
    /// requests take the engines that have a copy at hand.
    void planCopiesOfOverloaded(TimePoint now, std::vector<PlacementOrder> &orders);
    /// Loads models that only draining or unavailable engines serve, before requests wait for them.
    void planReplacements(TimePoint now, std::vector<PlacementOrder> &orders);
    void replaceCopiesOf(const EngineTracker &leaving, TimePoint now,
                         std::vector<PlacementOrder> &orders);
    /// \returns whether a load of a model for which no request waits may be started at the target
    [[nodiscard]] bool mayPrefetch(const Candidate &candidate, const EngineSpec &engine,
                                   TimePoint now) const;
    /// \returns how long a model with waiting requests is not loaded from the weight store while an
    /// engine with a copy on its disk is only busy: two thirds of the load from the store, as the
    /// engine may be free at any moment
    [[nodiscard]] Duration maxWaitForCopy(const ServiceId &service, const ModelId &model) const;
    /// \returns the demand of all daemons, with models that have a copy at hand first: they are
    /// ready in time, while a load from the store takes longer than most callers wait and keeps an
    /// engine from other orders
    [[nodiscard]] std::vector<ModelDemand> demandByValue() const;
    /// \returns whether a second engine should load the adapter for its waiting requests
    [[nodiscard]] bool needsSecondEngine(const ModelDemand &wanted) const;
    /// Loads models without a local copy at any engine before requests wait for them, so that an
    /// engine has them on its disk.
    void planPrefetch(TimePoint now, std::vector<PlacementOrder> &orders);
    /// \returns the configured model without a copy at hand that is requested most often; null if
    /// every model has a copy
    [[nodiscard]] const std::pair<const ModelId, ModelSpec> *
    mostWantedMissing(const ServiceId &service, const EngineSpec &engine) const;
    [[nodiscard]] std::optional<Candidate>
    prefetchTarget(const ServiceId &service, const ModelId &model, TimePoint now) const;
    /// Unloads the first victim or, if there is none, loads the model.
    void evictOrLoad(const Candidate &candidate, const ReplicaKey &key, TimePoint now,
                     std::vector<PlacementOrder> &orders);
    void load(EngineTracker &it, const ReplicaKey &key, TimePoint now,
              std::vector<PlacementOrder> &orders);
    void unload(EngineTracker &it, const ReplicaKey &key, TimePoint now,
                std::vector<PlacementOrder> &orders);
    /// \returns the expected duration of a load from the fastest source that the engine has; one
    ///          hour for a model that is not configured
    ///
    /// \param isFromStore set to whether that source is the weight store
    [[nodiscard]] Duration loadTime(const EngineTracker &it, const ModelId &model,
                                    bool &isFromStore) const;

    EnginePool m_engines;
    FleetDemand m_demand;
    ModelCopies m_copies;
    /// Targets reserved for a more urgent model in the current plan.
    std::set<TargetId> m_reserved;
    /// No engine is searched for extra copies before this time, for overloaded models and for all
    /// others.
    TimePoint m_nextOverloadedSearch;
    TimePoint m_nextExtraCopySearch;
    /// Start times of the latest loads from the weight store.
    std::deque<TimePoint> m_storeLoads;
    /// Loads from the weight store in progress, and what they teach about its speed.
    StorePace m_pace;
};

} // namespace bluebell
