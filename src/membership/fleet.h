#pragma once

#include "core/endpoint.h"
#include "membership/daemonstatus.h"
#include "membership/statuspace.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// The daemons of the site: who they are by their rows, and who of them is heard from.

namespace bluebell {

/// One daemon as it registers itself in the platform's store.
struct FleetMember
{
    VmId vm;
    IncarnationId incarnation;
    DataCentreId dataCentre;
    /// Where callers send requests.
    Endpoint callers;
    /// Where statuses arrive.
    Endpoint peers;
    /// Where other daemons ask for what they cannot read from the store.
    Endpoint control;

    friend bool operator==(const FleetMember &, const FleetMember &) = default;
};

/// Combines the daemons' rows with their statuses.
class Fleet
{
public:
    /// The row of a daemon may be removed when nothing was heard from it for this time.
    static constexpr Duration GoneTime = std::chrono::seconds(20);

    explicit Fleet(FleetMember self) : m_self(std::move(self)) { }

    // Events.

    /// Takes in all rows.
    void replaceMembers(std::vector<FleetMember> members, TimePoint now);
    void putMember(FleetMember member, TimePoint now);
    void removeMember(const VmId &vm);
    /// Takes in a status.
    ///
    /// \returns false when it is from this daemon itself or from an older incarnation
    bool noteStatus(const DaemonStatus &status, TimePoint now);
    /// Takes in what the holder of the role tells of the engines.
    void notePlacement(const DaemonStatus &status);

    // Questions.

    [[nodiscard]] const FleetMember &self() const noexcept { return m_self; }
    /// \returns the status addresses of all others
    [[nodiscard]] std::vector<Endpoint> peers() const;
    /// \returns the addresses for callers of the daemons that are ready
    ///
    /// \param selfIsReady whether this daemon takes callers; it is named alone when nobody else is
    [[nodiscard]] std::vector<Endpoint> callerAddresses(bool selfIsReady, TimePoint now) const;
    /// \returns how often daemons of a fleet of this size tell of themselves
    [[nodiscard]] StatusPace pace() const noexcept { return statusPaceOf(size()); }
    /// \returns all daemons, this one among them
    [[nodiscard]] std::size_t size() const noexcept { return m_members.size() + 1; }
    /// \returns the daemons that are heard from, this one among them
    [[nodiscard]] std::size_t heardCount(TimePoint now) const;
    /// \returns the incarnations that are heard from
    [[nodiscard]] std::set<IncarnationId> heardIncarnations(TimePoint now) const;
    /// \returns the daemon with the newest configuration that is newer than `version`
    [[nodiscard]] std::optional<FleetMember> peerWithConfig(SiteVersion version,
                                                            TimePoint now) const;
    /// \returns a daemon whose store answered within the last second and that has newer entries
    [[nodiscard]] std::optional<FleetMember> peerWithRegistry(RowVersion version,
                                                              TimePoint now) const;
    /// \returns the holder of the role, if it was heard from lately
    [[nodiscard]] std::optional<FleetMember> holderMember(TimePoint now) const;
    /// \returns the holder of the role if it has to be asked what all engines hold
    [[nodiscard]] std::optional<FleetMember> peerWithPlacement(TimePoint now) const;
    /// \returns what engines hold, if the holder of the role was heard from lately
    [[nodiscard]] const Residents *residents(TimePoint now) const;
    /// \returns when a model can serve, if the holder of the role was heard from lately and knows
    [[nodiscard]] std::optional<TimePoint> readyAt(const ServiceId &service, const ModelId &model,
                                                   TimePoint now) const;
    /// \returns daemons whose rows may be removed
    [[nodiscard]] std::vector<VmId> goneMembers(TimePoint now) const;

private:
    struct Heard
    {
        DaemonStatus status;
        TimePoint at;
    };
    struct Known
    {
        FleetMember member;
        TimePoint since;
    };

    /// \returns one of the peers with the newest version above `version`; each daemon prefers
    /// another one, so that not all of them ask the same
    template<typename VersionOf>
    [[nodiscard]] std::optional<FleetMember> newestPeer(std::uint64_t version, TimePoint now,
                                                        VersionOf versionOf) const;
    /// \returns what was heard last from the holder of the role, or null
    [[nodiscard]] const Heard *holder(TimePoint now) const;
    [[nodiscard]] bool isHeard(const VmId &vm, TimePoint now) const;

    FleetMember m_self;
    std::map<VmId, Known> m_members;
    std::map<VmId, Heard> m_heard;
    PlacementView m_placement;
};

} // namespace bluebell
