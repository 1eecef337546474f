#pragma once

#include "core/time.h"

#include <cstdint>

/// \file
/// When a caller returns whose position in the rate limit comes too late for it.

namespace bluebell {

/// \returns when a caller that the rate limit has refused shall return
///
/// A caller whose position comes after half of its latency goal would get a late response. It is
/// told a time before that, different for each request, at which tokens of others that have not
/// come back may be left.
///
/// \param position time until the caller's tokens have accrued
/// \param latencyGoal target time to the response
/// \param random differs between requests
[[nodiscard]] Duration usefulReturn(Duration position, Duration latencyGoal, std::uint64_t random);

} // namespace bluebell
