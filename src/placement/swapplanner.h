#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/enginetrack.h"
#include "placement/modeldemand.h"
#include "placement/placementnews.h"
#include "placement/placementorder.h"
#include "site/siteconfig.h"
#include "site/targetregistry.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// Which model is loaded on which engine, and what makes way for it.

namespace bluebell {

/// Decides on loads and unloads of all engines.
///
/// Works on what engines report, which EngineTrack keeps, and on what daemons want.
class SwapPlanner
{
public:
    // Events.

    void setServices(const std::map<ServiceId, Service> &services);
    /// Takes in the entries of all targets. What a target holds is taken from its reports, which
    /// are newer; no order is given to a target before its first report.
    void noteTargets(const std::map<TargetId, TargetEntry> &targets, TimePoint now);
    /// Takes in a report that was asked for.
    void noteReport(const TargetId &target, std::uint64_t born, const EngineState &state,
                    TimePoint now);
    /// Notes that a target did not answer; after a few times it counts as away.
    void noteReportFailed(const TargetId &target);
    /// Takes in what one daemon wants and has under way.
    void noteDemand(const VmId &vm, std::vector<ModelDemand> demand,
                    std::vector<ModelInFlight> inFlight, TimePoint now);
    void noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now);
    /// Sets how long a daemon's demand counts that is not renewed.
    void setDemandLifetime(Duration lifetime) { m_demandLifetime = lifetime; }

    // Decisions.

    /// \returns the orders to send now; each is under way until its outcome is noted
    [[nodiscard]] std::vector<PlacementOrder> plan(TimePoint now);
    /// \returns the targets whose report is needed now
    [[nodiscard]] std::vector<TargetId> reportsDue(TimePoint now);

    // Questions.

    /// \returns what can serve requests at each target, without what is about to leave
    [[nodiscard]] Residents residents() const;
    /// \returns when the models can serve that are being loaded
    [[nodiscard]] std::vector<LoadEstimate> estimates(TimePoint now) const;

private:
    struct VmDemand
    {
        std::vector<ModelDemand> demand;
        std::vector<ModelInFlight> inFlight;
        TimePoint at;
    };

    /// The demand of all daemons for one model or adapter.
    using Wanted = ModelDemand;

    struct Candidate
    {
        TargetId target;
        Duration readyIn {};
        bool isFromStore = false;
        std::vector<ReplicaKey> victims;
    };

    void gather(TimePoint now);
    [[nodiscard]] const EngineSpec *engineOf(const ServiceId &service) const;
    [[nodiscard]] const ModelSpec *specOf(const ServiceId &service, const ModelId &model) const;
    [[nodiscard]] std::size_t copiesOf(const ReplicaKey &key, const ServiceId &service) const;
    [[nodiscard]] std::size_t comingOf(const ReplicaKey &key, const ServiceId &service) const;
    [[nodiscard]] bool isPlacedOrComing(const ReplicaKey &key, const ServiceId &service) const;
    [[nodiscard]] std::uint32_t inFlightAt(const TargetId &target, const ModelId &model) const;
    [[nodiscard]] std::uint32_t loadOf(const TargetId &target) const;
    [[nodiscard]] std::size_t storeLoadsUnderWay() const;
    [[nodiscard]] bool mayLoadFromStore(const EngineSpec &engine, TimePoint now) const;
    /// \returns what is lost when the model leaves the engine, in the unit of pressureOf()
    [[nodiscard]] double lossOf(const EngineTrack &it, const ReplicaKey &key) const;
    /// \returns what has to leave, or nothing when that costs as much as is gained
    [[nodiscard]] std::optional<std::vector<ReplicaKey>>
    victimsFor(const EngineTrack &it, Megabytes needed, double gain) const;
    /// \returns whether an engine that takes orders has a copy of the model at hand
    [[nodiscard]] bool isOnADisk(const ModelId &model, const ServiceId &service) const;
    [[nodiscard]] std::optional<Candidate> bestTarget(const Wanted &wanted, TimePoint now) const;
    /// Asks for the reports of engines that should serve what is waited for.
    void checkHolders(const Wanted &wanted, TimePoint now);
    void planAdapter(const Wanted &wanted, TimePoint now, std::vector<PlacementOrder> &orders);
    void planModel(const Wanted &wanted, TimePoint now, std::vector<PlacementOrder> &orders);
    /// Keeps more than one copy of models that are asked for often.
    void planSpares(TimePoint now, std::vector<PlacementOrder> &orders);
    /// Brings models that are at hand nowhere to an engine's disk, while nobody waits for them.
    void planPrefetch(TimePoint now, std::vector<PlacementOrder> &orders);
    [[nodiscard]] std::set<ModelId> modelsAtHand(const ServiceId &service) const;
    /// Unloads the first victim or, when there is none, loads.
    void makeRoomOrLoad(const Candidate &candidate, const ReplicaKey &key, TimePoint now,
                        std::vector<PlacementOrder> &orders);
    void load(EngineTrack &it, const ReplicaKey &key, TimePoint now,
              std::vector<PlacementOrder> &orders);
    void unload(EngineTrack &it, const ReplicaKey &key, TimePoint now,
                std::vector<PlacementOrder> &orders);
    [[nodiscard]] Duration loadTime(const EngineTrack &it, const ModelId &model,
                                    bool &isFromStore) const;

    std::map<ServiceId, Service> m_services;
    std::map<TargetId, EngineTrack> m_engines;
    std::map<VmId, VmDemand> m_demand;
    Duration m_demandLifetime = std::chrono::milliseconds(1400);
    std::vector<Wanted> m_wanted;
    std::map<std::pair<TargetId, ModelId>, std::uint32_t> m_inFlight;
    std::map<TargetId, std::uint32_t> m_load;
    /// Targets kept free for a more urgent model during one plan.
    std::set<TargetId> m_reserved;
    /// When the latest loads from the weight store began.
    std::deque<TimePoint> m_storeLoads;
};

} // namespace bluebell
