#pragma once

#include "core/endpoint.h"
#include "membership/daemonstatus.h"
#include "membership/statustiming.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// The daemons of the site, from their rows in the store, and which of them are alive.

namespace bluebell {

/// The row of a daemon in the platform's store.
struct FleetMember
{
    VmId vm;
    IncarnationId incarnation;
    DataCentreId dataCentre;
    /// Address for callers' requests.
    Endpoint callers;
    /// Address for status messages of other daemons.
    Endpoint peers;
    /// Address where other daemons fetch data that they cannot read from the store.
    Endpoint control;

    friend bool operator==(const FleetMember &, const FleetMember &) = default;
};

/// Combines the daemons' rows with their status messages.
///
/// A daemon is alive while its last status is younger than the liveness timeout of the fleet.
class Fleet
{
public:
    /// The row of a daemon may be removed when no status came from it for this time.
    static constexpr Duration MemberTimeout = std::chrono::seconds(20);

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
    /// Applies the leader's changes of what engines hold; ignores statuses of other daemons.
    void notePlacement(const DaemonStatus &status);

    // Queries.

    [[nodiscard]] const FleetMember &self() const noexcept { return m_self; }
    /// \returns the status addresses of all other daemons
    [[nodiscard]] std::vector<Endpoint> peers() const;
    /// \returns the caller addresses of all daemons that are alive and ready; when there is none,
    ///          the address of this daemon
    ///
    /// \param selfIsReady whether this daemon accepts requests of callers
    [[nodiscard]] std::vector<Endpoint> callerAddresses(bool selfIsReady, TimePoint now) const;
    /// \returns the status intervals and timeouts for a fleet of this size
    [[nodiscard]] StatusTiming statusTiming() const noexcept { return statusTimingFor(size()); }
    /// \returns the number of daemons, this one included
    [[nodiscard]] std::size_t size() const noexcept { return m_members.size() + 1; }
    /// \returns the number of daemons that are alive, this one included
    [[nodiscard]] std::size_t liveCount(TimePoint now) const;
    /// \returns the incarnations of other daemons whose last status is younger than MemberTimeout
    [[nodiscard]] std::set<IncarnationId> recentIncarnations(TimePoint now) const;
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
    /// \returns when a model will be ready, if the leader is alive and has an estimate
    [[nodiscard]] std::optional<TimePoint> readyAt(const ServiceId &service, const ModelId &model,
                                                   TimePoint now) const;
    /// \returns daemons without a status for MemberTimeout, whose rows may be removed
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
    /// \returns the last status of the leader, or null when no leader is alive
    [[nodiscard]] const LastStatus *leaderStatus(TimePoint now) const;
    [[nodiscard]] bool isAlive(const VmId &vm, TimePoint now) const;

    FleetMember m_self;
    std::map<VmId, RegisteredMember> m_members;
    std::map<VmId, LastStatus> m_lastStatuses;
    PlacementView m_placement;
};

} // namespace bluebell
