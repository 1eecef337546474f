#include "gateway/connectionlimits.h"

#include <gtest/gtest.h>

using namespace bluebell::gateway;

namespace {

constexpr std::size_t SystemServers = 3;
constexpr std::size_t FileDescriptors = 200;
/// Listening sockets, and connections to the store and to peers.
constexpr std::size_t OwnSockets = 120;

} // namespace

TEST(ConnectionLimits, ConnectionsOfCallersAndTargetsFitTheDescriptors)
{
    for (const std::uint32_t descriptors : { 512U, 600U, 1024U, 4100U, 16384U }) {
        const auto it = connectionLimits(descriptors);
        EXPECT_LE(2 * it.callers + SystemServers * it.system + FileDescriptors + OwnSockets,
                  descriptors);
    }
}

TEST(ConnectionLimits, MostDescriptorsAreUsedForCallers)
{
    EXPECT_GE(connectionLimits(4100).callers, 1600U);
    EXPECT_GE(connectionLimits(4100).system, 64U);
}

TEST(ConnectionLimits, AFewConnectionsAreAlwaysAllowed)
{
    EXPECT_GE(connectionLimits(1).callers, 1U);
    EXPECT_GE(connectionLimits(200).system, 1U);
}

TEST(ConnectionLimits, UnknownDescriptorsDoNotLimitCallers)
{
    EXPECT_EQ(connectionLimits(0).callers, 4096U);
}
