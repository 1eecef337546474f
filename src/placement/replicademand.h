#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/ledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// \file
/// Demand for replicas, and what their use and their loads have shown.

namespace bluebell {

/// Requests of one organisation at one daemon that wait for, or run on, a replica.
struct Demand
{
    VmId daemon;
    OrganisationId organisation;
    std::uint32_t waiting = 0;
    /// Requests running on the replica now.
    std::uint32_t running = 0;
    /// How long the oldest waiting request has waited.
    Duration oldestWait {};
};

/// A replica that requests wait for.
struct WantedReplica
{
    ReplicaKey key;
    Duration oldestWait {};
    OrganisationId organisation;
    std::uint32_t waiting = 0;
};

/// Ranks the replicas that requests wait for, and tells how long the others have been idle.
class ReplicaDemand
{
public:
    /// \param now start time; replicas that are already resident count as last used then
    explicit ReplicaDemand(TimePoint now);

    // Events.

    /// Replaces the demand of one organisation at one daemon.
    void noteDemand(const ReplicaKey &key, const Demand &demand, TimePoint now);
    void noteReported(const ReportedReplica &replica, TimePoint now);
    /// Records that a load was decided.
    ///
    /// \param organisation whose demand it serves; further demand of it gets a lower rank
    void noteLoadStarted(const ReplicaKey &key, const OrganisationId &organisation, TimePoint now);
    /// Drops demand that was not renewed for `lifetime`, and decays the counts of recent loads.
    void expire(Duration lifetime, TimePoint now);

    // Queries.

    /// \returns the replicas that requests wait for, in the order in which they are to be loaded
    [[nodiscard]] std::vector<WantedReplica> wanted() const;
    /// \returns whether the replica was ever wanted, reported or loaded
    [[nodiscard]] bool isKnown(const ReplicaKey &key) const { return m_replicas.contains(key); }
    [[nodiscard]] Duration idleTime(const ReplicaKey &key, TimePoint now) const;
    /// \returns the duration of the last load, or a default
    [[nodiscard]] Duration loadTime(const ReplicaKey &key) const;
    /// \returns the expected time until a load that is in progress, or starts now, has completed
    [[nodiscard]] Duration loadTimeLeft(const ReplicaKey &key, TimePoint now) const;

private:
    struct DemandKey
    {
        VmId daemon;
        OrganisationId organisation;
        friend auto operator<=>(const DemandKey &, const DemandKey &) = default;
    };

    struct DemandState
    {
        Demand demand;
        TimePoint notedAt;
    };

    struct ReplicaUse
    {
        std::map<DemandKey, DemandState> demand;
        TimePoint lastUsed;
        /// Duration of the last load.
        std::optional<Duration> loadTime;
        std::optional<TimePoint> loadStartedAt;
    };

    TimePoint m_startedAt;
    std::map<ReplicaKey, ReplicaUse> m_replicas;
    /// Decayed number of recent loads for each organisation; more loads lower the rank of its
    /// demand.
    std::map<OrganisationId, double> m_recentLoads;
    TimePoint m_recentLoadsAt;
};

} // namespace bluebell
