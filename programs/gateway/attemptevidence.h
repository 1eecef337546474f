#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/requestcontext.h"

/// \file
/// Turns the course of attempts into evidence on which prompt parts crash targets.

namespace bluebell::gateway {

/// Notes that the response head of the latest attempt has arrived.
void noteResponseHead(GatewayState &state, RequestContext &it, const ResponseHead &head,
                      TimePoint now);

/// Notes that events of the latest attempt's stream have arrived.
void noteEvents(GatewayState &state, RequestContext &it, TimePoint now);

/// Notes how the latest attempt has ended.
void noteAttemptEnd(GatewayState &state, RequestContext &it, const AttemptResult &result,
                    TimePoint now);

} // namespace bluebell::gateway
