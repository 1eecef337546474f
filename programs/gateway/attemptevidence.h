#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/requestcontext.h"
#include "site/targetresponse.h"

/// \file
/// Turns the course of attempts into evidence on which prompt parts crash targets.

namespace bluebell::gateway {

/// Notes that the response head of an attempt has arrived.
void noteResponseHead(GatewayState &state, Attempt &attempt, const ResponseHead &head,
                      TimePoint now);

/// Notes that events of the latest attempt's stream have arrived.
void noteEvents(GatewayState &state, RequestContext &it, TimePoint now);

/// Notes how an attempt has ended.
void noteAttemptEnd(GatewayState &state, const RequestContext &it, Attempt &attempt,
                    const AttemptResult &result, TimePoint now);

} // namespace bluebell::gateway
