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
/// Keeps this daemon's member lease and claims its roles in the table service.

namespace bluebell::controller {

/// Drives LeaseHolder and RoleTable against the table service.
class RoleKeeper
{
public:
    using WantedRoles = std::function<std::set<RoleId>()>;

    RoleKeeper(RecordTable records, Member self, LeaseSettings settings, WantedRoles wanted);

    /// Renews, reads and claims until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    /// Hands every role to its successor and deletes the member row.
    ///
    /// \param handover gives what the new home of a rate needs; it is called once for each role,
    ///                 after which this daemon must not act in it
    boost::asio::awaitable<void>
    leave(std::function<std::optional<RateHandover>(const RoleId &)> handover);

    /// Sets what the member row says of the entry on this VM; a change is written at once.
    void setEntry(const EntryAddress &entry);

    /// \returns the row of `role` if this daemon may act in it at `now`, else null
    [[nodiscard]] const RoleRow *held(const RoleId &role, TimePoint now) const;
    [[nodiscard]] bool isLeaseValid(TimePoint now) const { return m_lease.isValid(now); }
    [[nodiscard]] const RoleTable &table() const noexcept { return m_table; }
    [[nodiscard]] const Member &self() const noexcept { return m_self; }
    /// \returns the VMs that the platform lists, empty until it has answered once
    [[nodiscard]] const std::set<VmId> &listedVms() const noexcept { return m_listedVms; }

private:
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> resolveLostRenewal();
    boost::asio::awaitable<void> readRows();
    boost::asio::awaitable<void> readRoles();
    boost::asio::awaitable<void> readMembers();
    boost::asio::awaitable<void> readVms();
    boost::asio::awaitable<void> claimRoles();
    boost::asio::awaitable<void> claim(RoleClaim claim);
    boost::asio::awaitable<void> deleteLapsedMembers();
    boost::asio::awaitable<bool> handOver(RoleRow row, std::optional<RateHandover> handover);
    /// Starts anew under another incarnation, after the old one was fenced.
    void reincarnate();

    RecordTable m_records;
    Member m_self;
    LeaseSettings m_settings;
    WantedRoles m_wanted;
    LeaseHolder m_lease;
    RoleTable m_table;
    std::set<VmId> m_listedVms;
    std::optional<EntryAddress> m_entry;
    bool m_entryChanged = false;
    /// The change id of a renewal whose reply was lost.
    std::optional<ChangeId> m_lostRenewal;
    RowVersion m_memberVersion = 0;
    TimePoint m_rolesReadAt;
    bool m_isStopping = false;
};

} // namespace bluebell::controller
