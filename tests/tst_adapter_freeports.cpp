#include "freeports.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <set>

using namespace bluebell::testing;

namespace {

/// Far from the ids of processes of other tests, whose claims would move the ranges.
constexpr int ProcessId = 1;

} // namespace

// Guards against tests that start together and choose the same ports before either has opened them.
TEST(FreePorts, RangesOfProcessesThatFollowEachOtherDoNotOverlap)
{
    const PortRange one(ProcessId);
    const PortRange next(ProcessId + 1);
    EXPECT_GE(std::abs(one.first() - next.first()), PortRange::PortsPerRange);
}

// Guards against two processes with one range, as their ids are a multiple of the ranges apart.
TEST(FreePorts, AClaimedRangeIsNotClaimedAgain)
{
    const PortRange one(ProcessId);
    const PortRange same(ProcessId + PortRange::Ranges);
    EXPECT_GE(std::abs(one.first() - same.first()), PortRange::PortsPerRange);
}

// Guards against a fleet whose last daemons get ports outside of the range of the process.
TEST(FreePorts, AFleetOf21GatewaysGetsDifferentPortsOfOneRange)
{
    PortRange range(ProcessId);
    std::set<int> ports;
    for (int n = 0; n < 21 * 6; ++n)
        ports.insert(range.take(1));
    EXPECT_EQ(ports.size(), 21U * 6U);
    EXPECT_GT(*ports.begin(), range.first());
    EXPECT_LT(*ports.rbegin(), range.first() + PortRange::PortsPerRange);
}

// Guards against a port that a daemon cannot open, for connections or for datagrams.
TEST(FreePorts, LeavesOutPortsInUse)
{
    PortRange range(ProcessId);
    const int next = range.take(1) + 1;
    const int streams = next + 3;
    const int datagrams = next + 8;
    const auto address = boost::asio::ip::address_v4::loopback();
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, boost::asio::ip::tcp::v4());
    boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
    // A port that can't be bound is in use as well.
    boost::system::error_code ec;
    acceptor.bind({ address, static_cast<std::uint16_t>(streams) }, ec);
    acceptor.listen(1, ec);
    socket.bind({ address, static_cast<std::uint16_t>(datagrams) }, ec);
    for (int n = 0; n < PortRange::PortsPerRange; ++n) {
        const int port = range.take(6);
        EXPECT_TRUE(streams < port || streams >= port + 6) << port;
        EXPECT_TRUE(datagrams < port || datagrams >= port + 6) << port;
    }
}

// Guards against an end of the ports in a process that runs many tests, and against a port that is
// returned again while the range has others.
TEST(FreePorts, PortsAreReturnedAgainAfterAllOthers)
{
    PortRange range(ProcessId);
    const int first = range.take(1);
    std::set<int> ports;
    auto port = first;
    while (ports.insert(port).second)
        port = range.take(1);
    EXPECT_EQ(port, first);
    EXPECT_GE(ports.size(), 21U * 6U);
}
