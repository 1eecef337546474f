#pragma once

#include "config/configreplica.h"
#include "membership/roles.h"
#include "placement/planner.h"
#include "rate/ratehome.h"
#include "routing/entryadvisor.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// What the system's own processes ask each other.

namespace bluebell {

/// Asks for what is new in the configuration; sent by entries to their controller and by
/// controllers to each other.
struct SyncQuestion
{
    VmId vm;
    ConfigVersion version = 0;
    /// Checksum of the withdrawn keys that the asker has; see ConfigReplica::withdrawnChecksum().
    std::uint64_t withdrawnChecksum = 0;
    /// Whether the answer should carry entries and roles.
    bool wantsDirectory = false;
    /// Whether the answer should carry members and contacts; they are needed while the asker cannot
    /// confirm its version otherwise.
    bool wantsContacts = false;
    /// The asking entry, so that its controller can publish its address.
    std::optional<EntryAddress> entry;
};

/// When another member was last heard from.
struct MemberContact
{
    VmId vm;
    Duration age {};
};

struct SyncAnswer
{
    VmId vm;
    ConfigVersion version = 0;
    /// How long ago `version` was known to be the newest.
    std::optional<Duration> age;
    std::optional<ConfigUpdate> update;
    std::vector<KeyDigest> withdrawn;
    std::vector<VmId> members;
    std::vector<MemberContact> contacts;
    std::vector<EntryAddress> entries;
    std::vector<RoleRow> roles;
};

/// Asks for a grant, or only brings reports when `question.least` is 0.
struct AcquireQuestion
{
    OrganisationId organisation;
    GrantQuestion question;
    std::vector<GrantReport> reports;
    /// 0 for the organisation's home, n for the n-th base share.
    std::uint8_t source = 0;
};

/// The asked daemon does not hold what the question needs.
struct NotHome
{
};
/// Reports were taken in.
struct ReportsNoted
{
};
using AcquireAnswer = std::variant<Granted, RateRefused, NotHome, ReportsNoted>;

/// Tells the holder of a placement role what waits, and waits for news of the replica.
struct WantQuestion
{
    ReplicaKey key;
    VmId vm;
    std::vector<Demand> demand;
    std::set<TargetId> knownResident;
    /// The answer comes when the resident targets differ from `knownResident`, or after this time.
    Duration longestWait {};
};

struct ResidentTarget
{
    TargetId target;
    std::uint32_t load = 0;
    std::uint32_t slots = 1;
};

struct WantAnswer
{
    /// False when the asked daemon does not hold the placement role.
    bool isOwner = false;
    std::vector<ResidentTarget> resident;
    std::vector<TargetId> loading;
    std::optional<Duration> estimate;
};

struct WithdrawQuestion
{
    KeyDigest digest;
    /// Whether the asked daemon passes the withdrawal on to all members.
    bool spreads = false;
};

struct WithdrawAnswer
{
    std::vector<VmId> acknowledged;
    std::vector<VmId> missing;
};

struct StatusQuestion
{
};

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

/// Asks a daemon to stop gracefully.
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
