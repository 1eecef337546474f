#pragma once

#include "config/configreplica.h"
#include "membership/roles.h"
#include "placement/loadplanner.h"
#include "rate/ratehome.h"
#include "routing/entryselector.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Requests and responses of the RPC interface between the system's own processes.
///
/// The types carry the names of the Cap'n Proto schema peer.capnp, where a request is a `Question`
/// and a response an `Answer`.

namespace bluebell {

/// Requests changes of the configuration since `version`; sent by entries to their controller and
/// by controllers to each other.
struct SyncQuestion
{
    /// The VM of the requesting daemon.
    VmId vm;
    /// The newest version that the requesting daemon has.
    ConfigVersion version = 0;
    /// Checksum of the withdrawn keys that the requesting daemon knows; see
    /// ConfigReplica::withdrawnChecksum().
    std::uint64_t withdrawnChecksum = 0;
    /// Whether the response should include `entries` and `roles`.
    bool wantsDirectory = false;
    /// Whether the response should include `members` and `contacts`; needed while the requesting
    /// daemon cannot confirm its version through the table service.
    bool wantsContacts = false;
    /// Set when an entry sends the request, so that its controller can publish its address.
    std::optional<EntryAddress> entry;
};

/// Time since the last request that a member has answered was sent to it.
struct MemberContact
{
    VmId vm;
    Duration age {};
};

/// Response to SyncQuestion.
struct SyncAnswer
{
    /// The VM of the responding daemon.
    VmId vm;
    /// The newest version that the responding daemon has.
    ConfigVersion version = 0;
    /// Time since `version` was confirmed to be the newest; empty if it never was.
    std::optional<Duration> age;
    /// The changes after the requested version; empty if there are none.
    std::optional<ConfigUpdate> update;
    /// All withdrawn keys; only filled when the checksums differ.
    std::vector<KeyDigest> withdrawn;
    std::vector<VmId> members;
    std::vector<MemberContact> contacts;
    std::vector<EntryAddress> entries;
    std::vector<RoleRow> roles;
};

/// Requests a rate grant and delivers grant reports; only delivers reports when `question.least`
/// is 0.
struct AcquireQuestion
{
    OrganisationId organisation;
    GrantQuestion question;
    std::vector<GrantReport> reports;
    /// 0 for the home of the organisation's rate, n for base share n - 1.
    std::uint8_t source = 0;
};

/// The receiving daemon does not hold the requested rate home or base share.
struct NotHome
{
};
/// The reports were processed; no grant was requested.
struct ReportsAccepted
{
};
using AcquireAnswer = std::variant<Granted, RateRefused, NotHome, ReportsAccepted>;

/// Reports demand for a replica to the placement leader of its model and waits for a change of its
/// resident targets (long poll).
struct WantQuestion
{
    ReplicaKey key;
    VmId vm;
    std::vector<Demand> demand;
    /// Targets that the requesting daemon knows to hold the replica.
    std::set<TargetId> knownResident;
    /// The response is sent when the resident targets differ from `knownResident`, or after this
    /// time.
    Duration longestWait {};
};

/// A target that holds the replica, with its current load.
struct ResidentTarget
{
    TargetId target;
    /// Requests that run or wait on the target.
    std::uint32_t load = 0;
    /// Requests that the target can run at the same time.
    std::uint32_t slots = 1;
};

/// Response to WantQuestion.
struct WantAnswer
{
    /// False when the receiving daemon is not the placement leader of the model, or has not read
    /// its rows yet.
    bool isOwner = false;
    std::vector<ResidentTarget> resident;
    std::vector<TargetId> loading;
    /// Expected time until the replica is resident somewhere, if it is not yet.
    std::optional<Duration> estimate;
};

/// Withdraws an API key.
struct WithdrawQuestion
{
    KeyDigest digest;
    /// Whether the receiving daemon forwards the withdrawal to all members.
    bool spreads = false;
};

/// Which members have recorded a withdrawal and which did not confirm it.
struct WithdrawAnswer
{
    std::vector<VmId> acknowledged;
    std::vector<VmId> missing;
};

/// Requests the status that `bluebell-ctl` displays.
struct StatusQuestion
{
};

/// One line of a daemon's status.
struct StatusRow
{
    std::string kind;
    std::string name;
    std::string detail;
};

struct StatusAnswer
{
    std::vector<StatusRow> rows;
};

/// Requests a graceful shutdown.
struct DrainQuestion
{
};
struct DrainAnswer
{
};

using PeerQuestion = std::variant<SyncQuestion, AcquireQuestion, WantQuestion, WithdrawQuestion,
                                  StatusQuestion, DrainQuestion>;
using PeerAnswer = std::variant<SyncAnswer, AcquireAnswer, WantAnswer, WithdrawAnswer, StatusAnswer,
                                DrainAnswer, Error>;

} // namespace bluebell
