#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/requestcontext.h"

/// \file
/// What a request may still do, by its route, its caller and the state of the daemon.

namespace bluebell::gateway {

/// Requests that arrive during a stop end this long before the kill of the process.
inline constexpr Duration StopMargin = std::chrono::milliseconds(600);
/// Maximum number of attempts for one request, including those that fail to connect.
inline constexpr std::uint32_t MaxSends = 8;

/// \returns the gap in a stream, or the time before it, after which its caller gives up
[[nodiscard]] Duration callersPatience(const Route &route);

/// \returns whether the request might not finish before this daemon stops; the caller should then
/// retry at another daemon. A response that has begun is continued as long as possible.
[[nodiscard]] bool isTooLateToStart(const GatewayState &state, const RequestContext &it,
                                    TimePoint now);

[[nodiscard]] TargetRequirements targetRequirements(const RequestContext &it);

/// \returns whether the request may be sent to one more target, if it is executed again there and
/// the retry budget allows it
[[nodiscard]] bool mayRunAgain(const GatewayState &state, const RequestContext &it);

} // namespace bluebell::gateway
