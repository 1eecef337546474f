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

/// Passes rows read at `now` to `table`.
void noteRows(RoleTable &table, const std::vector<RoleRow> &roles,
              const std::vector<MemberRow> &members, TimePoint now)
{
    table.noteRoles(roles);
    table.noteMembers(members, now);
}

/// Passes the same rows to `table` every second from `from` to `to`.
void noteRowsEverySecond(RoleTable &table, const std::vector<RoleRow> &roles,
                         const std::vector<MemberRow> &members, int from, int to)
{
    for (int n = from; n <= to; ++n)
        noteRows(table, roles, members, at(n));
}

} // namespace

TEST(Lease, ValidityCountsFromSendTimeOfRenewal)
{
    LeaseHolder holder(Settings);
    holder.renewalSent(at(0));
    holder.renewalSucceeded(7);
    EXPECT_TRUE(holder.isValid(at(7.9)));
    EXPECT_FALSE(holder.isValid(at(8)));
    // The process was paused, and the clock kept running.
    EXPECT_FALSE(holder.isValid(at(300)));
}

TEST(Lease, FailedRenewalDoesNotExtendValidity)
{
    LeaseHolder holder(Settings);
    holder.renewalSent(at(0));
    holder.renewalSucceeded(7);
    holder.renewalSent(at(3));
    holder.renewalFailed();
    EXPECT_FALSE(holder.isValid(at(8)));
    holder.fenced();
    EXPECT_FALSE(holder.isValid(at(1)));
    EXPECT_FALSE(holder.isRenewalDue(at(100)));
}

/// Checks, over commit delays and read phases, that the observer sees no expiry while the holder's
/// lease is valid.
TEST(Lease, ObserverNeverSeesExpiryWhileLeaseIsValid)
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
                EXPECT_FALSE(observer.hasExpired(now) && holder.isValid(now));
            }
            EXPECT_TRUE(observer.hasExpired(at(19.9)));
        }
    }
}

TEST(Lease, GapBetweenReadsRestartsObservation)
{
    LeaseObserver observer(Settings);
    for (int n = 0; n <= 8; ++n)
        observer.noteRead(7, at(n));
    // The table service was unavailable from 8 s to 20 s, so the holder could not renew either.
    observer.noteRead(7, at(20));
    EXPECT_FALSE(observer.hasExpired(at(20)));
    for (int n = 21; n <= 30; ++n)
        observer.noteRead(7, at(n));
    EXPECT_TRUE(observer.hasExpired(at(30)));
}

TEST(Roles, OnlyPreferredMemberClaimsVacantRole)
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

TEST(Roles, LiveHolderKeepsRoleAndExpiredOneIsFenced)
{
    const auto self = member("vm-a", "1");
    const auto holder = member("vm-b", "2");
    RoleTable table(self, Settings);
    const std::vector<RoleRow> roles { { Role, holder, 4, 9, {} } };
    const std::vector<MemberRow> rows { { self, 1, {} }, { holder, 2, {} } };
    noteRowsEverySecond(table, roles, rows, 0, 9);
    EXPECT_TRUE(table.claims({ Role }, at(9)).empty());
    noteRowsEverySecond(table, roles, rows, 10, 10);
    const auto claims = table.claims({ Role }, at(10));
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_EQ(claims[0].epoch, 5U);
    EXPECT_EQ(claims[0].roleVersion, 9U);
    // The claim is conditional on the version of the expired member row, which it deletes.
    ASSERT_TRUE(claims[0].formerHolder);
    EXPECT_EQ(claims[0].formerHolder->version, 2U);
}

TEST(Roles, RestartedHolderDoesNotInheritLease)
{
    const auto old = member("vm-a", "1");
    const auto self = member("vm-a", "2");
    RoleTable table(self, Settings);
    const std::vector<RoleRow> roles { { Role, old, 4, 9, {} } };
    noteRows(table, roles, { { old, 1, {} }, { self, 2, {} } }, at(0));
    EXPECT_TRUE(table.claims({ Role }, at(0)).empty());
    EXPECT_FALSE(table.heldEpoch(Role));
    // When the old row is absent, the claim requires that it stays absent.
    noteRows(table, roles, { { self, 2, {} } }, at(1));
    const auto claims = table.claims({ Role }, at(1));
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_EQ(claims[0].formerHolder->version, 0U);
    EXPECT_EQ(claims[0].formerHolder->member.incarnation, old.incarnation);
}

TEST(Roles, BaseShareMovesOnlyWhenVmIsRemoved)
{
    const auto self = member("vm-a", "1");
    const auto holder = member("vm-b", "2");
    const auto share = baseShareRole(OrganisationId("shop"), 0);
    RoleTable table(self, Settings);
    const std::vector<RoleRow> roles { { share, holder, 1, 9, {} } };
    table.noteListedVms({ VmId("vm-a"), VmId("vm-b") });
    // The holder's lease expires, but its VM is still listed.
    noteRowsEverySecond(table, roles, { { self, 1, {} } }, 0, 60);
    EXPECT_TRUE(table.claims({ share }, at(60)).empty());
    table.noteListedVms({ VmId("vm-a") });
    EXPECT_EQ(table.claims({ share }, at(60)).size(), 1U);
}

TEST(Roles, RolesAreReadAgainOnMemberChangeOrNewRole)
{
    const auto self = member("vm-a", "1");
    const auto other = member("vm-b", "2");
    RoleTable table(self, Settings);
    const std::vector<MemberRow> both { { self, 1, {} }, { other, 2, {} } };
    EXPECT_TRUE(table.needsRoleRead({ Role }));
    table.noteMembers(both, at(0));
    noteRows(table, { { Role, other, 1, 1, {} } }, both, at(0));
    EXPECT_FALSE(table.needsRoleRead({ Role }));
    EXPECT_TRUE(table.needsRoleRead({ Role, RoleId("org/new") }));
    table.noteMembers({ { self, 5, {} } }, at(1));
    EXPECT_TRUE(table.needsRoleRead({ Role }));
}

TEST(Roles, LeavingDaemonHasSuccessorAndClaimsNothing)
{
    const auto self = member("vm-a", "1");
    const auto other = member("vm-b", "2");
    RoleTable table(self, Settings);
    noteRows(table, {}, { { self, 1, {} }, { other, 2, {} } }, at(0));
    table.noteLeaving();
    EXPECT_TRUE(table.claims({ Role }, at(0)).empty());
    EXPECT_EQ(table.successor(Role, at(0)), other);
}

namespace {

RowVersion inEra(StoreEra era, std::uint64_t version)
{
    return makeRowVersion(era, version);
}

} // namespace

// Guards against two holders of one fencing number: the row that names the last holder was lost
// when the store came back from an older copy.
TEST(Roles, AfterARestoreNoEpochIsGivenTwice)
{
    const auto self = member("vm-a", "1");
    const auto former = member("vm-b", "2");
    RoleTable table(self, Settings);
    noteRows(table, { { Role, self, 5, inEra(0, 20), {} } }, { { self, inEra(0, 21), {} } }, at(0));
    EXPECT_EQ(table.heldEpoch(Role), 5U);
    const std::vector<RoleRow> roles { { Role, former, 4, inEra(1, 9), {} } };
    const std::vector<MemberRow> rows { { self, inEra(1, 10), {} } };
    noteRowsEverySecond(table, roles, rows, 1, 10);
    // The holder whose claim was lost may still have a valid lease.
    EXPECT_TRUE(table.claims({ Role }, at(10)).empty());
    noteRowsEverySecond(table, roles, rows, 11, 11);
    const auto claims = table.claims({ Role }, at(11));
    ASSERT_EQ(claims.size(), 1U);
    EXPECT_EQ(claims[0].epoch, firstEpochOf(1) + 1);
}

TEST(Roles, AfterARestoreNobodyHoldsARoleByAnEarlierRow)
{
    const auto self = member("vm-a", "1");
    RoleTable table(self, Settings);
    // This daemon has handed the role over, but the row that says so was lost.
    noteRows(table, { { Role, self, 4, inEra(1, 9), {} } }, { { self, inEra(1, 10), {} } }, at(0));
    EXPECT_FALSE(table.heldEpoch(Role));
    noteRows(table, { { Role, self, firstEpochOf(1) + 1, inEra(1, 11), {} } },
             { { self, inEra(1, 12), {} } }, at(1));
    EXPECT_EQ(table.heldEpoch(Role), firstEpochOf(1) + 1);
}

TEST(Roles, AfterARestoreALostRowIsNotTakenForAVacantRole)
{
    const auto self = member("vm-a", "1");
    const auto share = baseShareRole(OrganisationId("shop"), 0);
    RoleTable table(self, Settings);
    const std::vector<MemberRow> rows { { self, inEra(1, 10), {} } };
    noteRowsEverySecond(table, {}, rows, 0, 9);
    EXPECT_TRUE(table.claims({ Role, share }, at(9)).empty());
    noteRowsEverySecond(table, {}, rows, 10, 10);
    const auto claims = table.claims({ Role, share }, at(10));
    ASSERT_EQ(claims.size(), 2U);
    for (const auto &it : claims)
        EXPECT_EQ(it.epoch, firstEpochOf(1) + 1);
}
