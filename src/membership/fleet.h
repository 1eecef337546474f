#pragma once

#include "core/endpoint.h"
#include "membership/daemonstatus.h"
#include "membership/fleetmember.h"
#include "membership/statustiming.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// The daemons of the site, from their rows in the store, and which of them are alive.

namespace bluebell {

/// Combines the daemons' rows with what is heard from them.
///
/// In a small fleet all daemons send statuses to each other, and a daemon is alive while its last
/// status is younger than the liveness timeout of the fleet. In a larger one relays tell which
/// daemons are unavailable; only daemons of former builds, without relays, still send to all.
class Fleet
{
public:
    /// The row of a daemon may be removed when no status came from it for this time.
    static constexpr Duration MemberTimeout = std::chrono::seconds(20);
    /// Largest fleet in which every daemon sends its status to every other one.
    static constexpr std::size_t MaxMeshSize = 16;
    /// Time for which the relays' verdict on the daemons is used.
    static constexpr Duration AvailabilityLifetime = std::chrono::seconds(3);

    explicit Fleet(FleetMember self) : m_self(std::move(self)) { }

    // Events.

    /// Replaces the rows of all daemons.
    void replaceMembers(std::vector<FleetMember> members, TimePoint now);
    void putMember(FleetMember member, TimePoint now);
    void removeMember(const VmId &vm);
    /// Stores the status of another daemon.
    ///
    /// \returns false, without a change, when it is from this daemon itself or from an older
    ///          incarnation
    bool noteStatus(const DaemonStatus &status, TimePoint now);
    /// Stores the status of a relay, which says nothing of the leader.
    ///
    /// \returns as noteStatus()
    bool noteRelayStatus(const DaemonStatus &status, TimePoint now);
    /// Applies the leader's changes of what engines hold.
    void notePlacement(const IncarnationId &leader, Epoch epoch, const PlacementUpdate &update);
    /// Notes what a relay knows of the leader, with the leader's load estimates.
    void noteLeader(const LeaderInfo &leader, std::vector<LoadEstimate> estimates, TimePoint now);
    /// Notes which daemons the relays know to be unavailable to callers.
    void noteUnavailable(std::set<VmId> unavailable, TimePoint now);

    // Queries.

    [[nodiscard]] const FleetMember &self() const noexcept { return m_self; }
    /// \returns whether the fleet is so large that state is exchanged through relays
    [[nodiscard]] bool usesRelays() const noexcept { return size() > MaxMeshSize; }
    /// \returns the row of another daemon, or null
    [[nodiscard]] const FleetMember *find(const VmId &vm) const;
    /// \returns the rows of all other daemons
    [[nodiscard]] std::vector<FleetMember> members() const;
    /// \returns the status addresses of the daemons that expect a status from every other one
    [[nodiscard]] std::vector<Endpoint> directPeers() const;
    /// \returns the daemons that are alive and ready, possibly with this one; if there is none,
    ///          only this one
    ///
    /// \param selfIsReady whether this daemon accepts requests of callers
    [[nodiscard]] std::vector<FleetMember> callerDaemons(bool selfIsReady, TimePoint now) const;
    /// \returns the status intervals and timeouts for a fleet of this size
    [[nodiscard]] StatusTiming statusTiming() const noexcept { return statusTimingFor(size()); }
    /// \returns the number of daemons, this one included
    [[nodiscard]] std::size_t size() const noexcept { return m_members.size() + 1; }
    /// \returns the number of daemons that are alive, this one included
    [[nodiscard]] std::size_t liveCount(TimePoint now) const;
    /// \returns a live daemon with the newest configuration, if that is newer than `version`
    [[nodiscard]] std::optional<FleetMember> peerWithConfig(SiteVersion version,
                                                            TimePoint now) const;
    /// \returns a live daemon with the newest target entries, if they are newer than `version` and
    ///          the store replied to that daemon recently
    [[nodiscard]] std::optional<FleetMember> peerWithRegistry(RowVersion version,
                                                              TimePoint now) const;
    /// \returns the leader, if it is alive
    [[nodiscard]] std::optional<FleetMember> leaderMember(TimePoint now) const;
    /// \returns the leader, if it is alive and a full placement must be fetched from it because
    ///          changes were missed
    [[nodiscard]] std::optional<FleetMember> peerWithPlacement(TimePoint now) const;
    /// \returns what engines hold, or null when no leader is alive or its placement was never
    ///          complete here
    [[nodiscard]] const ResidentReplicas *residents(TimePoint now) const;
    /// \returns what engines held when a leader was last alive, or null if that was never known
    [[nodiscard]] const ResidentReplicas *lastResidents() const;
    [[nodiscard]] const PlacementView &placement() const noexcept { return m_placement; }
    /// \returns the leader as last known, if any
    [[nodiscard]] std::optional<LeaderInfo> leader(TimePoint now) const;
    /// \returns the leader's load estimates with their time left, or none if no leader is alive
    [[nodiscard]] std::vector<LoadEstimate> estimates(TimePoint now) const;
    /// \returns when a model will be ready, if the leader is alive and has an estimate
    [[nodiscard]] std::optional<TimePoint> readyAt(const ServiceId &service, const ModelId &model,
                                                   TimePoint now) const;
    /// \returns daemons that nothing was heard of for MemberTimeout, whose rows may be removed
    [[nodiscard]] std::vector<VmId> timedOutMembers(TimePoint now) const;

private:
    /// The last status of a daemon and when it arrived.
    struct LastStatus
    {
        DaemonStatus status;
        TimePoint at;
    };
    /// A row, and since when it is known in its current form.
    struct RegisteredMember
    {
        FleetMember member;
        TimePoint since;
    };

    /// \returns one of the live peers with the newest version above `version`. Ties are broken by
    ///          rendezvous score, so that daemons spread their requests over these peers.
    template<typename VersionOf>
    [[nodiscard]] std::optional<FleetMember> newestPeer(std::uint64_t version, TimePoint now,
                                                        VersionOf versionOf) const;
    /// The leader, by its own statuses or by digests of relays.
    struct KnownLeader
    {
        VmId vm;
        IncarnationId incarnation;
        Epoch epoch = 0;
        TimePoint heardAt;
        std::vector<LoadEstimate> estimates;
        TimePoint estimatesAt;
    };

    void noteLeaderStatus(const DaemonStatus &status, TimePoint now);
    /// \returns the leader, or null when none is alive
    [[nodiscard]] const KnownLeader *liveLeader(TimePoint now) const;
    [[nodiscard]] Duration leaderTimeout() const noexcept;
    /// \returns whether the relays tell about this daemon, and have done so recently
    [[nodiscard]] bool isCoveredByRelays(const FleetMember &member, TimePoint now) const;
    /// \returns the last sign of life of a daemon, `now` if it would not be noticed
    [[nodiscard]] TimePoint lastHeardOf(const RegisteredMember &it, TimePoint now) const;
    [[nodiscard]] bool isAlive(const FleetMember &member, TimePoint now) const;
    /// \returns whether the daemon is alive and accepts requests
    [[nodiscard]] bool isUsable(const FleetMember &member, TimePoint now) const;

    FleetMember m_self;
    std::map<VmId, RegisteredMember> m_members;
    std::map<VmId, LastStatus> m_lastStatuses;
    std::optional<KnownLeader> m_leader;
    /// Unavailable daemons and since when the relays have told so.
    std::map<VmId, TimePoint> m_unavailableSince;
    std::optional<TimePoint> m_availabilityAt;
    PlacementView m_placement;
};

} // namespace bluebell
