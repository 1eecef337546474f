#pragma once

#include "membership/roles.h"
#include "records/table.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

/// \file
/// Renews this daemon's member lease and claims its roles in the table service.

namespace bluebell::controller {

/// Connects LeaseHolder and RoleTable to the table service.
class RoleManager
{
public:
    using WantedRoles = std::function<std::set<RoleId>()>;

    /// \param wanted returns the roles that the current rules define
    RoleManager(RecordTable records, Member self, LeaseSettings settings, WantedRoles wanted);

    /// Renews the lease, reads rows and claims roles until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    /// Hands over every held role except base shares to its successor and deletes the member row.
    ///
    /// \param handover returns the state that the new rate home needs; called once for each role,
    ///                 after which this daemon must not act as its holder
    boost::asio::awaitable<void>
    leave(std::function<std::optional<RateHandover>(const RoleId &)> handover);

    /// Sets the address of the entry on this VM in the member row. A change is written on the next
    /// tick.
    void setEntry(const EntryAddress &entry);

    /// \returns the row of `role` if this daemon may act as its holder at `now`, else null; unlike
    ///          other roles, base shares need no valid lease
    [[nodiscard]] const RoleRow *heldRole(const RoleId &role, TimePoint now) const;
    [[nodiscard]] bool isLeaseValid(TimePoint now) const { return m_lease.isValid(now); }
    [[nodiscard]] const RoleTable &table() const noexcept { return m_table; }
    [[nodiscard]] const Member &self() const noexcept { return m_self; }
    /// \returns the VMs in the operators' table; empty until the table has been read once
    [[nodiscard]] const std::set<VmId> &listedVms() const noexcept { return m_listedVms; }

private:
    boost::asio::awaitable<void> renew();
    /// Reads the member row to find out whether a renewal without a reply was committed.
    boost::asio::awaitable<void> resolveLostRenewal();
    boost::asio::awaitable<void> readRows();
    boost::asio::awaitable<void> readRoles();
    boost::asio::awaitable<void> readMembers();
    boost::asio::awaitable<void> readVms();
    boost::asio::awaitable<void> claimRoles();
    boost::asio::awaitable<void> claim(RoleClaim claim);
    /// Deletes the rows of members whose lease has expired and that hold no role.
    boost::asio::awaitable<void> deleteExpiredMembers();
    /// \returns whether the role now belongs to its successor
    boost::asio::awaitable<bool> handOver(RoleRow row, std::optional<RateHandover> handover);
    /// Joins again under a new incarnation id, after another member has fenced the old one.
    void startNewIncarnation();

    RecordTable m_records;
    Member m_self;
    LeaseSettings m_settings;
    WantedRoles m_wanted;
    LeaseHolder m_lease;
    RoleTable m_table;
    std::set<VmId> m_listedVms;
    std::optional<EntryAddress> m_entry;
    bool m_entryChanged = false;
    /// The change id of a renewal without a reply, whose outcome is unknown.
    std::optional<ChangeId> m_lostRenewal;
    RowVersion m_memberVersion = 0;
    TimePoint m_rolesReadAt;
    bool m_isStopping = false;
};

} // namespace bluebell::controller
