#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// Soak of three real gateway processes under seeded disruptions, before a store and targets that
/// run in the calling process.

namespace bluebell::testing {

/// What a soak has seen.
struct SoakResult
{
    std::size_t requests = 0;
    /// Requests on kept connections.
    std::size_t reused = 0;
    /// Requests that broke no rule: why a complete response may be missing, or early failures.
    std::map<std::string, std::size_t> notes;
    /// Complete responses by status.
    std::map<unsigned, std::size_t> statuses;
    /// Each with the seed, the time, the request, what happened around it and the gateway's log.
    std::vector<std::string> violations;
};

/// Runs callers against the gateways while configurations, settings, targets, the store and the
/// processes change, then checks every request.
///
/// \param seed of all choices; the timing of processes and threads still varies between runs
/// \param length of the disruptions; starting and the last requests take up to 20 s more
[[nodiscard]] SoakResult runGatewaySoak(std::uint64_t seed, std::chrono::seconds length);

} // namespace bluebell::testing
