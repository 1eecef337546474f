#pragma once

#include "core/time.h"

#include <optional>

/// \file
/// What a gateway reads from the head of a target's response, independent of the platform's header
/// names.

namespace bluebell {

/// What a target states of itself in the head of any response.
struct TargetNotices
{
    /// Whether the target is leaving and must get no new request.
    bool isLeaving = false;
    /// Time for which the target asks this daemon to send it nothing.
    std::optional<Duration> holdOff;
    /// Whether it states a time that is no valid one.
    bool hasInvalidHoldOff = false;
};

/// Properties of a response that can be read from its head.
struct ResponseHead
{
    unsigned status = 0;
    /// Whether the response carries the id of the attempt that was sent.
    bool matchesAttempt = false;
    /// Whether the response carries the id of another attempt, so that it says nothing of this one.
    bool namesOtherAttempt = false;
    /// Whether the response carries the target's signature, as every response of a target does.
    bool isSigned = false;
    /// Whether the target states that it did not execute the request.
    bool isNotRun = false;
    /// Whether another target has the address, or the target does not hold the model.
    bool isMisdirected = false;
    /// Whether the body has a content encoding, which targets do not use.
    bool isEncoded = false;
    TargetNotices notices;

    [[nodiscard]] bool isSuccess() const noexcept { return status >= 200 && status < 300; }
};

} // namespace bluebell
