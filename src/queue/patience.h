#pragma once

#include "core/time.h"

#include <optional>

/// \file
/// Whether a request should wait for a model that is being loaded, or be refused at once.

namespace bluebell {

/// What is known of a request that waits for a model.
struct WaitFacts
{
    TimePoint receivedAt;
    /// The caller gets its final answer by then.
    TimePoint deadline;
    /// An answer within this time of receivedAt is on time.
    Duration latencyGoal {};
    /// The longest silence that the caller bears before the first byte.
    Duration patience {};
    /// When the model can serve, if anybody knows.
    std::optional<TimePoint> readyAt;
};

/// What becomes of a request that waits.
struct WaitVerdict
{
    /// Set when the request is refused: the time after which it can be served.
    std::optional<Duration> refuseWithRetryAfter;
    /// Otherwise, when to ask again at the latest.
    TimePoint askAgainAt;
};

/// Decides by whether the caller will still be there when the model can serve.
///
/// Without an estimate the request waits for one, a small part of its goal; then it waits on, since
/// nothing speaks against it, until the caller's patience ends.
[[nodiscard]] WaitVerdict decideWait(const WaitFacts &facts, TimePoint now);

/// \returns how long callers of a stream wait for its first event before they give up
///
/// \param latencyGoal time within which the first event is on time
/// \param pauseGoal longest pause between events that is on time
[[nodiscard]] Duration streamPatience(Duration latencyGoal, Duration pauseGoal);

} // namespace bluebell
