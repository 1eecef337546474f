#pragma once

#include <cstddef>
#include <cstdint>

/// \file
/// Shares of the file descriptors of a gateway daemon.

namespace bluebell::gateway {

/// Maximum numbers of open connections.
struct ConnectionLimits
{
    /// Connections of callers.
    std::size_t callers = 0;
    /// Connections of each of the other servers.
    std::size_t system = 0;
};

/// Chooses limits under which every caller's connection can have a running request, which needs a
/// connection to a target, and descriptors remain for the daemon's own connections.
///
/// \param descriptors maximum number of descriptors of the process; 0 if unknown
[[nodiscard]] ConnectionLimits connectionLimits(std::uint32_t descriptors) noexcept;

} // namespace bluebell::gateway
