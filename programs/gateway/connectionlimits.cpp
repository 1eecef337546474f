#include "gateway/connectionlimits.h"

#include <algorithm>

namespace bluebell::gateway {
namespace {

/// Descriptors that are not available for sockets.
constexpr std::size_t FileDescriptors = 200;
/// Listening and datagram sockets, and connections to the store and to peers.
constexpr std::size_t OwnSockets = 120;
constexpr std::size_t SystemServers = 3;
/// Fraction of the sockets that each of the other servers may use.
constexpr std::size_t SystemDivisor = 32;
constexpr std::size_t MinConnections = 16;
constexpr ConnectionLimits Unknown { .callers = 4096, .system = 256 };

} // namespace

ConnectionLimits connectionLimits(std::uint32_t descriptors) noexcept
{
    if (descriptors == 0)
        return Unknown;
    constexpr auto Reserved = FileDescriptors + OwnSockets;
    const auto sockets = std::max<std::size_t>(descriptors, Reserved) - Reserved;
    const auto system = std::clamp(sockets / SystemDivisor, MinConnections, Unknown.system);
    // One for the caller and one for the target.
    const auto left = sockets - std::min(sockets, SystemServers * system);
    const auto callers = std::clamp(left / 2, MinConnections, Unknown.callers);
    return { .callers = callers, .system = system };
}

} // namespace bluebell::gateway
