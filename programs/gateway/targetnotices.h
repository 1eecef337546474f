#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/requestcontext.h"
#include "site/targetresponse.h"

/// \file
/// Applies what targets state of themselves in their responses.

namespace bluebell::gateway {

/// Applies the notices of any response of a target.
///
/// \param startTimeMs start time of the run of the target to which the request was sent
void applyNotices(GatewayState &state, const TargetId &target, std::uint64_t startTimeMs,
                  const TargetNotices &notices, TimePoint now);

/// Applies the notices of the response to an attempt of a caller's request. Called before any part
/// of the response is passed on.
void applyNotices(GatewayState &state, RequestContext &it, const Attempt &attempt,
                  const TargetNotices &notices, TimePoint now);

} // namespace bluebell::gateway
