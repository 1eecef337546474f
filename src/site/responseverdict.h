#pragma once

#include "site/siteconfig.h"
#include "site/targetresponse.h"

#include <cstdint>

/// \file
/// Decides from the head of a target's response what becomes of it.

namespace bluebell {

/// What becomes of a target's response.
enum class ResponseVerdict : std::uint8_t {
    /// The target's own; its status, signature and body are for the caller.
    PassOn,
    /// The target states that it has not executed the request, which may be sent to another one.
    NotRun,
    /// Not the target's own, or of another attempt. The request may have been executed.
    Untrusted,
    /// The target's own, but its status promises that the request was not executed, and the target
    /// does not state that. The request must not run twice, so its caller must not see the promise.
    Withhold,
};

/// Decides on a response to a request of `route`.
///
/// All responses of targets pass this decision before any byte of them reaches a caller.
[[nodiscard]] ResponseVerdict judgeResponse(const ResponseHead &head, const Route &route);

} // namespace bluebell
