#include "membership/lease.h"
#include "membership/roles.h"

#include <gtest/gtest.h>

using namespace bluebell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const LeaseSettings Settings {};

TimePoint at(double s)
{
    return TimePoint(seconds(1000)) + milliseconds(static_cast<std::int64_t>(s * 1000));
}

Member member(const std::string &vm, const std::string &incarnation)
{
    return { VmId(vm), IncarnationId(incarnation), { "127.0.0.1", 1 } };
}

const RoleId Role("org/shop");

/// Shows `table` the rows as read at `now`.
void noteRows(RoleTable &table, const std::vector<RoleRow> &roles,
              const std::vector<MemberRow> &members, TimePoint now)
{
    table.noteRoles(roles);
    table.noteMembers(members, now);
}

/// Shows `table` the same rows every second from `from` to `to`.
void showRows(RoleTable &table, const std::vector<RoleRow> &roles,
              const std::vector<MemberRow> &members, int from, int to)
{
    for (int n = from; n <= to; ++n)
        noteRows(table, roles, members, at(n));
}

} // namespace

TEST(Lease, RightCountsFromTheSendingOfTheRenewal)
{
    LeaseHolder holder(Settings);
    holder.renewalSent(at(0));
    holder.renewalSucceeded(7);
    EXPECT_TRUE(holder.isValid(at(7.9)));
    EXPECT_FALSE(holder.isValid(at(8)));
    // The holder was paused; the clock ran on.
    EXPECT_FALSE(holder.isValid(at(300)));
}

TEST(Lease, FailedRenewalDoesNotExtendTheRight)
{
    LeaseHolder holder(Settings);
    holder.renewalSent(at(0));
    holder.renewalSucceeded(7);
    holder.renewalSent(at(3));
    holder.renewalFailed();
    EXPECT_FALSE(holder.isValid(at(8)));
    holder.fenced();
    EXPECT_FALSE(holder.isValid(at(1)));
    EXPECT_FALSE(holder.renewalDue(at(100)));
}

/// For every phase of holder and observer: no overlap of the holder's right with a lapse.
TEST(Lease, ObserverNeverSeesALapseWhileTheRightLasts)
{
    for (int commitDelay = 0; commitDelay <= 2000; commitDelay += 250) {
        for (int phase = 0; phase < 1000; phase += 125) {
            LeaseHolder holder(Settings);
            holder.renewalSent(at(0));
            holder.renewalSucceeded(7);
            LeaseObserver observer(Settings);
            for (int ms = commitDelay + phase; ms < 20000; ms += 1000) {
                const auto now = TimePoint(seconds(1000)) + milliseconds(ms);
                observer.noteRead(7, now);
                EXPECT_FALSE(observer.hasLapsed(now) && holder.isValid(now));
            }
            EXPECT_TRUE(observer.hasLapsed(at(19.9)));
        }
    }
}

TEST(Lease, GapInTheReadsStartsTheObservationAnew)
{
    LeaseObserver observer(Settings);
    for (int n = 0; n <= 8; ++n)
        observer.noteRead(7, at(n));
    // The table service was out from 8 to 20; the holder could not renew either.
    observer.noteRead(7, at(20));
    EXPECT_FALSE(observer.hasLapsed(at(20)));
    for (int n = 21; n <= 30; ++n)
        observer.noteRead(7, at(n));
    EXPECT_TRUE(observer.hasLapsed(at(30)));
}

TEST(Roles, VacantRoleGoesToThePreferredMemberOnly)
{
    const auto a = member("vm-a", "1");
    const auto b = member("vm-b", "2");
    RoleTable tableA(a, Settings);
    RoleTable tableB(b, Settings);
    const std::vector<MemberRow> rows { { a, 1, {} }, { b, 2, {} } };
    noteRows(tableA, {}, rows, at(0));
    noteRows(tableB, {}, rows, at(0));
    EXPECT_EQ(tableA.claims({ Role }, at(0)).size() + tableB.claims({ Role }, at(0)).size(), 1U);
}

TEST(Roles, LiveHolderKeepsTheRoleAndALapsedOneIsFenced)
{
    const auto self = member("vm-a", "1");
    const auto holder = member("vm-b", "2");
    RoleTable table(self, Settings);
    const std::vector<RoleRow> roles { { Role, holder, 4, 9, {} } };
    const std::vector<MemberRow> rows { { self, 1, {} }, { holder, 2, {} } };
    showRows(table, roles, rows, 0, 9);
    EXPECT_TRUE(table.claims({ Role }, at(9)).empty());
    showRows(table, roles, rows, 10, 10);
    const auto claims = table.claims({ Role }, at(10));
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_EQ(claims[0].epoch, 5U);
    EXPECT_EQ(claims[0].roleVersion, 9U);
    // The claim conditions on the lapsed member row, which it deletes.
    ASSERT_TRUE(claims[0].formerHolder);
    EXPECT_EQ(claims[0].formerHolder->version, 2U);
}

TEST(Roles, RestartedHolderDoesNotInheritTheOldLease)
{
    const auto old = member("vm-a", "1");
    const auto self = member("vm-a", "2");
    RoleTable table(self, Settings);
    const std::vector<RoleRow> roles { { Role, old, 4, 9, {} } };
    noteRows(table, roles, { { old, 1, {} }, { self, 2, {} } }, at(0));
    EXPECT_TRUE(table.claims({ Role }, at(0)).empty());
    EXPECT_FALSE(table.heldEpoch(Role));
    // Once the old row is gone the claim requires that it stays absent.
    noteRows(table, roles, { { self, 2, {} } }, at(1));
    const auto claims = table.claims({ Role }, at(1));
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_EQ(claims[0].formerHolder->version, 0U);
    EXPECT_EQ(claims[0].formerHolder->member.incarnation, old.incarnation);
}

TEST(Roles, BaseShareMovesOnlyWithItsVm)
{
    const auto self = member("vm-a", "1");
    const auto holder = member("vm-b", "2");
    const auto share = baseShareRole(OrganisationId("shop"), 0);
    RoleTable table(self, Settings);
    const std::vector<RoleRow> roles { { share, holder, 1, 9, {} } };
    table.noteListedVms({ VmId("vm-a"), VmId("vm-b") });
    // The lease of the holder lapses, but its VM is still listed.
    showRows(table, roles, { { self, 1, {} } }, 0, 60);
    EXPECT_TRUE(table.claims({ share }, at(60)).empty());
    table.noteListedVms({ VmId("vm-a") });
    EXPECT_EQ(table.claims({ share }, at(60)).size(), 1U);
}

TEST(Roles, RolesAreReadAgainWhenMembersChangeOrARoleIsNew)
{
    const auto self = member("vm-a", "1");
    const auto other = member("vm-b", "2");
    RoleTable table(self, Settings);
    const std::vector<MemberRow> both { { self, 1, {} }, { other, 2, {} } };
    EXPECT_TRUE(table.needsRoles({ Role }));
    table.noteMembers(both, at(0));
    noteRows(table, { { Role, other, 1, 1, {} } }, both, at(0));
    EXPECT_FALSE(table.needsRoles({ Role }));
    EXPECT_TRUE(table.needsRoles({ Role, RoleId("org/new") }));
    table.noteMembers({ { self, 5, {} } }, at(1));
    EXPECT_TRUE(table.needsRoles({ Role }));
}

TEST(Roles, LeavingDaemonNamesALiveSuccessorAndClaimsNothing)
{
    const auto self = member("vm-a", "1");
    const auto other = member("vm-b", "2");
    RoleTable table(self, Settings);
    noteRows(table, {}, { { self, 1, {} }, { other, 2, {} } }, at(0));
    table.noteLeaving();
    EXPECT_TRUE(table.claims({ Role }, at(0)).empty());
    EXPECT_EQ(table.successor(Role, at(0)), other);
}
