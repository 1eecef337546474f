#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/enginetracker.h"
#include "placement/modeldemand.h"
#include "placement/placementorder.h"
#include "placement/placementupdate.h"
#include "site/siteconfig.h"
#include "site/targetregistry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

/// \file
/// All engines on which models are loaded, with the configuration of their services.

namespace bluebell {

/// Applies events to the trackers of the engines, and answers questions that concern several.
class EnginePool
{
public:
    // Events.

    void setServices(const std::map<ServiceId, Service> &services);
    /// Replaces the registry entries of all targets; those that are no engines are left out.
    void noteTargets(const std::map<TargetId, TargetEntry> &targets, TimePoint now);
    /// Applies a report that was requested; one of a later run shows that this one has ended.
    ///
    /// \param startTimeMs start time of the target's process in the report, see
    ///        TargetEntry::startTimeMs; 0 when the report does not state it
    void noteReport(const TargetId &target, std::uint64_t startTimeMs, const EngineState &state,
                    TimePoint now);
    /// Records that a target did not respond, or refused the connection, to a report request.
    void noteReportFailed(const TargetId &target, bool isRefused);
    /// Replaces the hold-offs in force, with their ends.
    void noteHoldOffs(const std::map<TargetId, TimePoint> &ends, TimePoint now);
    /// Replaces the evacuated data centres.
    void noteEvacuated(const std::set<DataCentreId> &dataCentres, TimePoint now);
    void noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now);
    /// Records that requests use a model or an adapter.
    void noteUse(const TargetId &target, const ReplicaKey &key, TimePoint now);

    // Decisions.

    /// \returns the targets to request a report from now, those that orders or waiting requests
    /// depend on first
    ///
    /// \param limit largest number of targets
    [[nodiscard]] std::vector<TargetId> reportsDue(std::size_t limit, TimePoint now);

    // Queries.

    [[nodiscard]] const std::map<ServiceId, Service> &services() const noexcept
    {
        return m_services;
    }
    [[nodiscard]] std::map<TargetId, EngineTracker> &engines() noexcept { return m_engines; }
    [[nodiscard]] const std::map<TargetId, EngineTracker> &engines() const noexcept
    {
        return m_engines;
    }
    /// \returns the configuration of a service's engines, or null
    [[nodiscard]] const EngineSpec *engineOf(const ServiceId &service) const;
    /// \returns the configuration of a model, or null
    [[nodiscard]] const ModelSpec *specOf(const ServiceId &service, const ModelId &model) const;
    /// \returns the number of usable engines that serve the replica
    [[nodiscard]] std::size_t copyCount(const ReplicaKey &key, const ServiceId &service) const;
    /// \returns the number of usable engines that load the replica
    [[nodiscard]] std::size_t loadingCount(const ReplicaKey &key, const ServiceId &service) const;
    [[nodiscard]] bool isResidentOrLoading(const ReplicaKey &key, const ServiceId &service) const;
    [[nodiscard]] std::size_t storeLoadsInProgress() const;
    /// \returns the data centres of the usable engines that serve or load the replica
    [[nodiscard]] std::set<DataCentreId> dataCentresOf(const ReplicaKey &key,
                                                       const ServiceId &service) const;
    /// \returns whether an engine that accepts orders has a copy of the model on its disk
    [[nodiscard]] bool hasDiskCopy(const ModelId &model, const ServiceId &service) const;
    /// \returns the replicas that can serve requests at each target, without those being unloaded
    [[nodiscard]] ResidentReplicas residents() const;
    /// \returns for each model being loaded the time until it can serve requests; loads at draining
    /// or evacuated targets, which get no requests, are left out
    [[nodiscard]] std::vector<LoadEstimate> estimates(TimePoint now) const;

private:
    std::map<ServiceId, Service> m_services;
    std::map<TargetId, EngineTracker> m_engines;
};

} // namespace bluebell
