#pragma once

#include "core/time.h"

#include <optional>

/// \file
/// Whether the store answers, as seen by all tasks that follow its tables.

namespace bluebell {

/// Combines what the calls of several tasks tell about the store, so that all of them act on an
/// outage when one notices it, and on its end when one gets a reply.
///
/// A call that was sent before or during an outage may never be answered, even when the store
/// replies to newer calls.
class StoreContact
{
public:
    /// A call that was sent at `sentAt` was given up or answered with an error.
    void noteFailure(TimePoint sentAt) noexcept;
    /// The store replied to a call that was sent at `sentAt`.
    ///
    /// \returns whether this ends an outage, so that calls sent before `sentAt` must be repeated
    [[nodiscard]] bool noteReply(TimePoint sentAt) noexcept;
    /// \returns whether a call has failed and no later call was answered
    [[nodiscard]] bool isLost() const noexcept { return m_isLost; }

private:
    bool m_isLost = false;
    /// When the latest call was sent that failed.
    std::optional<TimePoint> m_lastFailedCallAt;
    /// When the call was sent whose reply ended the last outage; earlier ones have been repeated.
    std::optional<TimePoint> m_repeatedUntil;
};

/// \returns the pause before a failed call is repeated: none for a call that took longer than
///          `interval`, which is the minimum time between the starts of both calls
[[nodiscard]] Duration pauseBeforeRetry(TimePoint sentAt, Duration interval,
                                        TimePoint now) noexcept;

} // namespace bluebell
