#pragma once

#include "core/time.h"

#include <map>
#include <utility>

/// \file
/// The times at which callers that the rate limit has refused were told to return.

namespace bluebell {

/// Spreads the return of refused callers over the time in which their tokens accrue.
class ReturnTimes
{
public:
    /// Longest time that a refused caller is told to wait.
    static constexpr Duration MaxWait = std::chrono::seconds(8);

    /// Determines when a refused caller shall return and reserves its tokens until then.
    ///
    /// Callers that were refused before with the same or a more urgent priority return first. A
    /// caller that would have to wait for longer than MaxWait is told MaxWait and has no position.
    ///
    /// \param tokens tokens of the request
    /// \param deficit tokens that must accrue before those of any caller
    /// \param rate tokens per second that accrue
    /// \param priority lower numbers are more urgent
    /// \returns the time to wait
    Duration add(double tokens, double deficit, double rate, int priority, TimePoint now);

private:
    /// Positions within this time are kept as one, which bounds their number.
    static constexpr Duration SlotLength = std::chrono::milliseconds(10);

    /// Tokens by the time of return and the priority.
    std::map<std::pair<TimePoint, int>, double> m_positions;
};

} // namespace bluebell
