#include "config/configreplica.h"

#include <gtest/gtest.h>

using namespace bluebell;
using std::chrono::seconds;

namespace {

const KeyDigest Key(std::string(64, 'a'));
const std::string Class = "class c weight=1 timeout=1s # a";
const std::string Organisation = "organisation shop rate=1/s burst=1 class=c # a";
const std::string KeyLine = "key " + Key.value() + " organisation=shop # a";

ConfigDelta delta(ConfigVersion version, std::vector<std::string> added,
                  std::vector<std::string> removed = {})
{
    return { version, std::move(added), std::move(removed), "test", ChangeId("c") };
}

ConfigReplica replicaAt(ConfigVersion version)
{
    ConfigReplica replica;
    EXPECT_TRUE(replica.apply({ delta(1, { Class, Organisation, KeyLine }) }));
    for (ConfigVersion n = 2; n <= version; ++n)
        EXPECT_TRUE(replica.apply({ delta(n, {}, {}) }));
    return replica;
}

TimePoint at(int s)
{
    return TimePoint(seconds(1000 + s));
}

} // namespace

TEST(ConfigReplica, VersionNeverDecreases)
{
    auto replica = replicaAt(5);
    EXPECT_TRUE(replica.apply({ delta(3, {}, { KeyLine }) }));
    EXPECT_TRUE(replica.install({ 4, { Class } }));
    EXPECT_EQ(replica.version(), 5U);
    EXPECT_TRUE(replica.lines().contains(KeyLine));
}

TEST(ConfigReplica, MissingAndMalformedDeltasAreRejected)
{
    auto replica = replicaAt(2);
    EXPECT_EQ(replica.apply({ delta(4, {}) }).error().code, ErrorCode::Conflict);
    EXPECT_EQ(replica.apply({ delta(3, { "nonsense" }) }).error().code, ErrorCode::InvalidArgument);
    EXPECT_EQ(replica.version(), 2U);
}

TEST(ConfigReplica, RejectsKeysWithoutConfiguration)
{
    const ConfigReplica replica;
    EXPECT_EQ(replica.state(at(0)), ServingState::NoConfig);
    EXPECT_EQ(replica.authenticate(Key, at(0)).error().execution, Execution::NotRun);
}

TEST(ConfigReplica, FreshnessCountsFromSendTimeOfRead)
{
    auto replica = replicaAt(2);
    replica.noteHead(2, at(0));
    EXPECT_EQ(replica.state(at(4)), ServingState::Fresh);
    EXPECT_EQ(replica.state(at(4) + std::chrono::nanoseconds(1)), ServingState::Stale);
    // A read that was sent earlier but completes later doesn't change the freshness.
    replica.noteHead(2, at(-10));
    EXPECT_EQ(replica.age(at(4)), seconds(4));
}

TEST(ConfigReplica, NewerHeadIsFreshOnlyOnceApplied)
{
    auto replica = replicaAt(2);
    replica.noteHead(3, at(0));
    EXPECT_EQ(replica.state(at(1)), ServingState::Stale);
    ASSERT_TRUE(replica.apply({ delta(3, {}, { KeyLine }) }));
    EXPECT_EQ(replica.state(at(1)), ServingState::Fresh);
    EXPECT_EQ(replica.authenticate(Key, at(1)).error().code, ErrorCode::Unauthenticated);
}

TEST(ConfigReplica, PausedDaemonIsStaleWhenItResumes)
{
    auto replica = replicaAt(2);
    replica.noteHead(2, at(0));
    EXPECT_TRUE(replica.authenticate(Key, at(1)));
    EXPECT_EQ(replica.authenticate(Key, at(60)).error().code, ErrorCode::Unavailable);
}

TEST(ConfigReplica, ContactsAreRequestedBeforeFreshnessExpires)
{
    auto replica = replicaAt(2);
    EXPECT_TRUE(replica.needsContacts(at(0)));
    replica.noteHead(2, at(0));
    EXPECT_FALSE(replica.needsContacts(at(2)));
    EXPECT_TRUE(replica.needsContacts(at(3)));
    EXPECT_EQ(replica.state(at(3)), ServingState::Fresh);
}

TEST(ConfigReplica, ServesThroughOutageOnlyWithMajority)
{
    auto replica = replicaAt(2);
    replica.setMembers({ VmId("a"), VmId("b"), VmId("c"), VmId("d"), VmId("e") });
    replica.noteContact(VmId("b"), at(0));
    EXPECT_EQ(replica.state(at(1)), ServingState::Stale);
    replica.noteContact(VmId("c"), at(0));
    EXPECT_EQ(replica.state(at(1)), ServingState::MajorityReachable);
    EXPECT_EQ(replica.state(at(5)), ServingState::Stale);
    // A VM that isn't a member does not count towards the majority.
    replica.noteContact(VmId("b"), at(10));
    replica.noteContact(VmId("z"), at(10));
    EXPECT_EQ(replica.state(at(11)), ServingState::Stale);
}

/// A withdrawal held by any majority of five members blocks the key at each daemon that serves, for
/// every set of members it is in contact with.
TEST(ConfigReplica, MajorityWithdrawalReachesEveryServingDaemon)
{
    constexpr unsigned Members = 5;
    const auto name = [](unsigned n) {
        return VmId("vm-" + std::to_string(n));
    };
    std::set<VmId> members;
    for (unsigned n = 0; n < Members; ++n)
        members.insert(name(n));
    for (unsigned holders = 0; holders < 1U << Members; ++holders) {
        if (std::popcount(holders) * 2 <= static_cast<int>(Members))
            continue;
        for (unsigned contacts = 0; contacts < 1U << Members; ++contacts) {
            auto replica = replicaAt(2);
            replica.setMembers(members);
            const bool isHolder = (holders & 1U) != 0;
            if (isHolder)
                replica.withdraw(Key);
            for (unsigned n = 1; n < Members; ++n) {
                if ((contacts >> n & 1U) == 0)
                    continue;
                replica.noteContact(name(n), at(0));
                if ((holders >> n & 1U) != 0)
                    replica.withdraw(Key);
            }
            EXPECT_FALSE(replica.authenticate(Key, at(1)));
        }
    }
}

TEST(ConfigReplica, WithdrawnKeyStaysWithdrawnUnderNewVersion)
{
    auto replica = replicaAt(2);
    replica.noteHead(2, at(0));
    EXPECT_TRUE(replica.withdraw(Key));
    EXPECT_FALSE(replica.withdraw(Key));
    ASSERT_TRUE(replica.install({ 9, { Class, Organisation, KeyLine } }));
    replica.noteHead(9, at(0));
    EXPECT_EQ(replica.authenticate(Key, at(1)).error().code, ErrorCode::KeyWithdrawn);
}

TEST(ConfigReplica, UpdatesForPeersAreDeltasOrSnapshot)
{
    ConfigReplica replica({ .deltasKept = 3 });
    ASSERT_TRUE(replica.apply({ delta(1, { Class, Organisation, KeyLine }) }));
    for (ConfigVersion n = 2; n <= 6; ++n)
        ASSERT_TRUE(replica.apply({ delta(n, {}) }));
    EXPECT_FALSE(replica.updateSince(6));
    EXPECT_EQ(std::get<std::vector<ConfigDelta>>(*replica.updateSince(4)).size(), 2U);
    ConfigReplica fresh;
    ASSERT_TRUE(applyUpdate(*replica.updateSince(0), fresh));
    EXPECT_EQ(fresh.version(), 6U);
    EXPECT_EQ(fresh.lines(), replica.lines());
}
