#pragma once

#include "core/rowlog.h"
#include "membership/daemonstatus.h"
#include "membership/fleetmember.h"
#include "site/targetregistry.h"

#include <optional>
#include <string>
#include <vector>

/// \file
/// What relays send to the members of their group and to each other.

namespace bluebell {

/// A target's entry as it is relayed: what requests are routed by, without the state of an engine.
struct TargetRow
{
    /// Empty if the entry in the store is malformed. `engine` is set but empty for engines.
    std::optional<TargetEntry> entry;
    /// In a message: how much longer the target is cold when the message is sent.
    Duration coldLeft {};

    /// Compares everything but the heartbeat, which changes all the time, and the end of the cold
    /// period, which is a time of this daemon's clock.
    friend bool operator==(const TargetRow &a, const TargetRow &b);
};

[[nodiscard]] std::uint64_t contentHash(const std::string &key, const TargetRow &row);

/// \returns the row that is relayed for a target's entry
[[nodiscard]] TargetRow relayedRow(const std::optional<TargetEntry> &entry);

/// Sets the time left in the rows of a message that is about to be sent.
void setColdLeft(RowChanges<std::string, TargetRow> &targets, TimePoint now);

/// What the leader has published, as a daemon knows it.
struct RelayedPlacement
{
    /// Incarnation and epoch of the leader that published it.
    IncarnationId leader;
    Epoch epoch = 0;
    PlacementUpdate update;
};

/// Sums over the primary daemons of one relay, or over the whole fleet.
struct RelayCounts
{
    /// Requests in flight by target.
    std::map<TargetId, std::uint32_t> inFlight;
    /// Tokens counted by organisation. Only differences between two messages have a meaning.
    std::map<OrganisationId, Tokens> admitted;
};

/// A relay's message to the members of its group.
struct FleetDigest
{
    /// The relay's own status, with its rate levels and the leader's load estimates, but without
    /// demand and requests in flight.
    DaemonStatus relay;
    std::optional<LeaderInfo> leader;
    RelayedPlacement placement;
    /// Sums over the fleet; not in every digest.
    std::optional<RelayCounts> counts;
    /// Age of the oldest summary of another relay in `counts`; not told by previous builds.
    std::optional<Duration> countsAge;
    /// Whether `counts` tells the requests in flight.
    bool hasInFlight = true;
    /// Registered daemons that callers can't use: not alive, or about to stop.
    std::vector<VmId> unavailable;
    RowChanges<std::string, TargetRow> targets;
    RowChanges<VmId, FleetMember> members;
};

/// A relay's message to the relays of other groups.
struct GroupSummary
{
    VmId relay;
    IncarnationId incarnation;
    /// Identifies the relay's counts; another number means that they have started at zero again.
    std::uint64_t countsId = 0;
    /// Time since the counts started at zero.
    Duration countsAge {};
    SiteVersion configVersion = 0;
    RowVersion registryVersion = 0;
    Duration timeSinceStoreReply {};
    bool isReady = false;
    Duration uptime {};
    /// Sums over the daemons whose primary relay this is.
    RelayCounts counts;
    /// Whether `counts` tells the requests in flight.
    bool hasInFlight = true;
    /// Whether `unavailable` is known. It is not by a leader that is no relay of its group.
    bool knowsAvailability = false;
    /// Daemons of the relay's group that callers can't use.
    std::vector<VmId> unavailable;
    QuarantineUpdate quarantine;
    EvacuationUpdate evacuations;
};

} // namespace bluebell
