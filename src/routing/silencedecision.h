#pragma once

#include "core/time.h"

#include <cstdint>

/// \file
/// Decides when a target that sends nothing is given up for another one.

namespace bluebell {

/// What decides whether a request may leave a silent target.
struct SilenceFacts
{
    /// Whether the caller still wants the response.
    bool isWanted = true;
    /// Whether the request may be executed again.
    bool isRetryable = false;
    /// Targets that may have executed the request, the silent one included.
    std::uint32_t runs = 1;
    /// Maximum number of targets that may execute the request.
    std::uint32_t maxTargets = 1;
    /// Whether the service's retry budget allows a retry.
    bool hasRetry = false;
};

/// \returns whether the request may be sent to another target now, if there is one
///
/// Otherwise leaving the silent target, which may be sound, would cost the caller its response.
[[nodiscard]] bool canLeaveSilentTarget(const SilenceFacts &facts) noexcept;

/// \returns the time without a response after which a target may be given up
[[nodiscard]] Duration responseSilenceLimit(Duration latencyGoal);

/// \returns the time without a byte after which the target of a stream may be given up
///
/// \param callersTimeout gap after which the caller gives up, see streamFirstByteTimeout()
[[nodiscard]] Duration streamSilenceLimit(Duration callersTimeout);

} // namespace bluebell
