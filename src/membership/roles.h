#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "membership/lease.h"
#include "routing/entryselector.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

/// \file
/// Assignment of roles to daemons.

namespace bluebell {

/// Fencing number of a role. Every change of holder increments it. It contains the era of the
/// store, so that no number is used by two holders when the store comes back from an older copy.
using Epoch = std::uint64_t;

/// Bits of an epoch that count the holders within one era of the store.
inline constexpr unsigned EpochCounterBits = 32;

/// \returns the lowest epoch of an era; every holder's epoch is above it
[[nodiscard]] constexpr Epoch firstEpochOf(StoreEra era) noexcept
{
    return era << EpochCounterBits;
}

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

/// State of a rate that its home hands over on a graceful shutdown.
struct RateHandover
{
    /// Tokens in the bucket.
    std::int64_t level = 0;
    /// Tokens that holders of the former home's grants may still spend.
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

/// \returns the role of the rate home of an organisation
[[nodiscard]] RoleId homeRole(const OrganisationId &organisation);

/// \returns the role of base share `index`, from 0, of an organisation
[[nodiscard]] RoleId baseShareRole(const OrganisationId &organisation, std::size_t index);

/// \returns whether `role` is a base share, which never expires
[[nodiscard]] bool isBaseShare(const RoleId &role);

/// \returns the role of the daemon that decides on model loads of placement shard `shard`
[[nodiscard]] RoleId placementRole(std::size_t shard);

/// A transaction that makes this daemon the holder of a role.
///
/// It is conditional on the versions of the role row and of the member row of the former holder,
/// which is either absent or expired. An expired row is deleted, so that the former holder's next
/// renewal fails.
struct RoleClaim
{
    RoleId role;
    Epoch epoch = 0;
    RowVersion roleVersion = 0;
    /// The former holder, if the role had one. A version of 0 requires that its row is absent.
    /// Always empty for a base share, whose claim is conditional on the role row alone.
    std::optional<MemberRow> formerHolder;
};

/// Decides which roles a daemon claims.
///
/// Used by the controller; Leadership is its counterpart in the gateway.
///
/// A vacant role goes to the live member with the highest rendezvous score. A live holder keeps its
/// role until it hands it over. A role moves when its holder's member row has expired or is absent.
///
/// A base share never expires, so that it can be used through an outage of any length. It moves
/// only when the platform has listed the holder's VM and then dropped it, or to a new incarnation
/// that listens at the same address on the same VM. Share n, from 0, goes to the member of rank n
/// by score.
///
/// When the store has come back from an older copy of its data, a role row with an epoch of an
/// earlier era, or none, says nothing of who has claimed the role since it was written. Nobody
/// holds the role by such a row, and nobody claims it before a lease that was renewed in the
/// earlier era has expired.
class RoleTable
{
public:
    RoleTable(Member self, LeaseSettings settings);

    // Events.

    /// Replaces all role rows.
    void noteRoles(const std::vector<RoleRow> &rows);
    /// Replaces all member rows after a read that completed at `now`.
    ///
    /// They must have been read after the role rows, so that a holder without a member row really
    /// has lost or deleted it. Role rows may be out of date, because a claim is conditional on
    /// their version.
    void noteMembers(const std::vector<MemberRow> &rows, TimePoint now);
    /// Replaces the platform's list of VMs.
    void noteListedVms(const std::set<VmId> &listed);
    /// Notes that a claim of this daemon was committed.
    void noteClaimed(const RoleClaim &claim, RowVersion version);
    /// Notes that this daemon is shutting down; it claims no role any more.
    void noteLeaving() noexcept { m_isLeaving = true; }

    // Queries.

    /// \returns whether the role rows should be read again, because the members have changed since
    ///          the last read or one of `wanted` has no row
    [[nodiscard]] bool needsRoleRead(const std::set<RoleId> &wanted) const;

    /// \returns the claims to commit now for roles in `wanted`
    [[nodiscard]] std::vector<RoleClaim> claims(const std::set<RoleId> &wanted,
                                                TimePoint now) const;

    /// \returns the epoch under which this daemon holds `role` according to the rows, or nothing
    [[nodiscard]] std::optional<Epoch> heldEpoch(const RoleId &role) const;

    /// \returns the row of `role`, or null
    [[nodiscard]] const RoleRow *find(const RoleId &role) const;

    [[nodiscard]] const std::map<RoleId, RoleRow> &roles() const noexcept { return m_roles; }

    /// \returns the members whose lease has not expired; the row of this daemon always counts as
    ///          one of them
    [[nodiscard]] std::vector<Member> liveMembers(TimePoint now) const;

    /// \returns the entry daemons of the members whose lease has not expired
    [[nodiscard]] std::vector<EntryAddress> entries(TimePoint now) const;

    /// \returns the expired member rows whose members hold no role; they can be deleted
    [[nodiscard]] std::vector<MemberRow> expiredMembers(TimePoint now) const;

    /// \returns the member that should take `role` over when this daemon shuts down, or nothing
    [[nodiscard]] std::optional<Member> successor(const RoleId &role, TimePoint now) const;

private:
    struct ObservedMember
    {
        MemberRow row;
        LeaseObserver observer;
    };

    /// Notes the store's era in the rows of a read that completed at `now`.
    void noteEra(StoreEra era, TimePoint now);
    /// \returns whether the role may have been claimed after `row`, which may be null, was written
    [[nodiscard]] bool isOutdated(const RoleRow *row) const;
    /// \returns whether a lease that was renewed in an earlier era of the store may still be valid
    [[nodiscard]] bool awaitsFormerEra(TimePoint now) const;
    /// \returns the epoch of the next holder
    [[nodiscard]] Epoch nextEpoch(const RoleRow *row) const;
    [[nodiscard]] bool isVmRemoved(const VmId &vm) const;
    [[nodiscard]] std::optional<RoleClaim> claimForBaseShare(const RoleId &role,
                                                             TimePoint now) const;
    [[nodiscard]] std::optional<RoleClaim> claimForLeasedRole(const RoleId &role,
                                                              TimePoint now) const;

    Member m_self;
    LeaseSettings m_settings;
    std::map<IncarnationId, ObservedMember> m_members;
    std::map<RoleId, RoleRow> m_roles;
    /// The members at the last read of the role rows.
    std::set<IncarnationId> m_membersAtRoleRead;
    /// VMs in the platform's latest list.
    std::set<VmId> m_listed;
    /// VMs that were in any list since the start.
    std::set<VmId> m_everListed;
    /// The latest era of the store in any row.
    StoreEra m_era = 0;
    /// When a row of that era was first read; not set in era 0.
    std::optional<TimePoint> m_eraSince;
    bool m_hasRead = false;
    bool m_isLeaving = false;
};

/// \returns the member that should hold `role`, or null when `members` is empty
[[nodiscard]] const Member *preferredMember(const RoleId &role, const std::vector<Member> &members);

} // namespace bluebell
