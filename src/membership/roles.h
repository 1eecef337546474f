#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "membership/lease.h"
#include "routing/entryadvisor.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

/// \file
/// Which daemon holds which role.

namespace bluebell {

/// Fencing number of a role; every change of holder raises it.
using Epoch = std::uint64_t;

/// One run of a daemon on a VM.
struct Member
{
    VmId vm;
    IncarnationId incarnation;
    /// Address of the daemon's peer interface.
    Endpoint address;

    friend auto operator<=>(const Member &, const Member &) = default;
};

/// A member row as read from the table service.
struct MemberRow
{
    Member member;
    RowVersion version = 0;
    /// The entry daemon on the same VM.
    std::optional<EntryAddress> entry;
};

/// What the former home of a rate passes on at a planned stop.
struct RateHandover
{
    std::int64_t level = 0;
    /// Tokens that the former home's grants may still spend.
    std::int64_t outstanding = 0;

    friend bool operator==(const RateHandover &, const RateHandover &) = default;
};

/// A role row as read from the table service.
struct RoleRow
{
    RoleId role;
    Member holder;
    Epoch epoch = 0;
    RowVersion version = 0;
    std::optional<RateHandover> handover;
};

/// \returns the role of the home of an organisation's rate
[[nodiscard]] RoleId homeRole(const OrganisationId &organisation);

/// \returns the role of an organisation's base share number `index`, counted from 0
[[nodiscard]] RoleId baseShareRole(const OrganisationId &organisation, std::size_t index);

/// \returns whether `role` is a base share, which has no time limit
[[nodiscard]] bool isBaseShare(const RoleId &role);

/// \returns the role that decides on loads of shard `shard`
[[nodiscard]] RoleId placementRole(std::size_t shard);

/// A transaction that makes this daemon the holder of a role.
///
/// It conditions on the role row and on the member row of the former holder, which is either absent
/// or lapsed. A lapsed row is deleted, so that the former holder's next renewal fails.
struct RoleClaim
{
    RoleId role;
    Epoch epoch = 0;
    RowVersion roleVersion = 0;
    /// The former holder, if the role had one. A version of 0 says that its row must be absent.
    std::optional<MemberRow> formerHolder;
};

/// Decides which roles a daemon claims.
///
/// A role belongs to the live member with the highest rendezvous score, but a live holder keeps it
/// until it hands it over. A role moves when its holder's member row has lapsed or is gone.
///
/// A base share has no time limit, so that it works through an outage of any length. It moves only
/// when the platform has listed the holder's VM and then dropped it, or to a new incarnation that
/// listens at the same address on the same VM. Share n belongs to the member with the n-th score.
class RoleTable
{
public:
    RoleTable(Member self, LeaseSettings settings);

    // Events.

    /// Replaces what is known of the role rows.
    void noteRoles(const std::vector<RoleRow> &rows);
    /// Replaces what is known of the member rows after a read that succeeded at `now`.
    ///
    /// The rows must have been read after the role rows that are noted, so that a holder without a
    /// member row has really lost or left it. Role rows may be older than that: a claim conditions
    /// on their version.
    void noteMembers(const std::vector<MemberRow> &rows, TimePoint now);
    /// Notes the platform's list of VMs.
    void noteListedVms(const std::set<VmId> &listed);
    /// Notes that a claim of this daemon was committed.
    void noteClaimed(const RoleClaim &claim, RowVersion version);
    /// Notes that this daemon leaves; it claims nothing any more.
    void noteLeaving() noexcept { m_isLeaving = true; }

    // Questions.

    /// \returns whether the role rows should be read again: the members have changed since they
    /// were
    ///          read, or one of `wanted` is not among them
    [[nodiscard]] bool needsRoles(const std::set<RoleId> &wanted) const;

    /// \returns the claims to try now, out of `wanted`
    [[nodiscard]] std::vector<RoleClaim> claims(const std::set<RoleId> &wanted,
                                                TimePoint now) const;

    /// \returns the epoch under which this daemon holds `role`, if it does by the rows
    [[nodiscard]] std::optional<Epoch> heldEpoch(const RoleId &role) const;

    /// \returns the holder of `role` by the rows, or null
    [[nodiscard]] const RoleRow *find(const RoleId &role) const;

    [[nodiscard]] const std::map<RoleId, RoleRow> &roles() const noexcept { return m_roles; }

    /// \returns the members whose lease has not lapsed, this daemon among them
    [[nodiscard]] std::vector<Member> liveMembers(TimePoint now) const;

    /// \returns the entry daemons of the live members
    [[nodiscard]] std::vector<EntryAddress> entries(TimePoint now) const;

    /// \returns the member rows that have lapsed and belong to nobody any more
    [[nodiscard]] std::vector<MemberRow> lapsedMembers(TimePoint now) const;

    /// \returns the member that takes over `role` when this daemon leaves, or nothing
    [[nodiscard]] std::optional<Member> successor(const RoleId &role, TimePoint now) const;

private:
    struct Observed
    {
        MemberRow row;
        LeaseObserver observer;
    };

    [[nodiscard]] bool isVmGone(const VmId &vm) const;
    [[nodiscard]] std::optional<RoleClaim> claimOfShare(const RoleId &role) const;
    [[nodiscard]] std::optional<RoleClaim> claimOf(const RoleId &role, TimePoint now) const;

    Member m_self;
    LeaseSettings m_settings;
    std::map<IncarnationId, Observed> m_members;
    std::map<RoleId, RoleRow> m_roles;
    /// The members at the last reading of the role rows.
    std::set<IncarnationId> m_membersAtRoles;
    std::set<VmId> m_listed;
    std::set<VmId> m_everListed;
    bool m_hasRead = false;
    bool m_isLeaving = false;
};

/// \returns the member that `role` should go to, or null when there is none
[[nodiscard]] const Member *preferredMember(const RoleId &role, const std::vector<Member> &members);

} // namespace bluebell
