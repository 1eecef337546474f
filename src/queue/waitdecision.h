#pragma once

#include "core/time.h"

#include <optional>

/// \file
/// Decides whether a request waits for a model that is being loaded or is refused at once.

namespace bluebell {

/// Times that decide whether a request waits for a model.
struct WaitFacts
{
    /// When the request was received or, within a stream, when its latest event was sent.
    TimePoint receivedAt;
    /// Time by which the caller must have its final response.
    TimePoint deadline;
    /// Target time from receivedAt to the response.
    Duration latencyGoal {};
    /// Time from receivedAt after which the caller gives up if it has received no byte.
    Duration firstByteTimeout {};
    /// Estimated time at which the model can serve, if known.
    std::optional<TimePoint> readyAt;
};

/// Whether a request continues to wait or is refused.
struct WaitDecision
{
    /// Set when the request is refused: time after which a retry can be served.
    std::optional<Duration> refuseWithRetryAfter;
    /// Otherwise, the latest time to decide again.
    TimePoint recheckAt;
};

/// Lets a request wait if its first byte can arrive before its deadline and the caller's timeout.
///
/// Without an estimate the request waits, since the model may still become ready in time, until too
/// little time is left to serve it.
[[nodiscard]] WaitDecision decideWait(const WaitFacts &facts, TimePoint now);

/// \returns the time that callers of a stream are expected to wait for its first event
///
/// \param latencyGoal target time to the first event
/// \param eventGapGoal target for the longest gap between events
[[nodiscard]] Duration streamFirstByteTimeout(Duration latencyGoal, Duration eventGapGoal);

} // namespace bluebell
