#pragma once

#include "gateway/requestcontext.h"
#include "http/client.h"

#include <memory>
#include <optional>
#include <set>

/// \file
/// An attempt at another target while the current target of a request is silent.

namespace bluebell::gateway {

enum class TakeoverState : std::uint8_t {
    /// The other target has not answered yet.
    Opening,
    /// The other target has begun a response that continues the current one.
    Accepted,
    /// The other target cannot be reached, or has refused or failed the request.
    Failed,
};

/// An attempt at another target that becomes the request's current one when its target has accepted
/// it. Until then the current target may go on, which ends the takeover.
struct Takeover
{
    TakeoverState state = TakeoverState::Opening;
    Attempt attempt;
    /// Closes the connection to the other target.
    std::shared_ptr<CancelSource> cancel = std::make_shared<CancelSource>();
    /// Set while the takeover is accepted.
    std::optional<HttpStream> stream;
    /// Targets that have failed to take the request over in this silence.
    std::set<TargetId> failedTargets;
};

} // namespace bluebell::gateway
