#pragma once

#include "core/time.h"

#include <cstddef>
#include <deque>

/// \file
/// Sums of tokens over recent time windows.

namespace bluebell {

/// Tokens by the time at which they were admitted, in bins, for a limited time.
class RecentTokens
{
public:
    /// Resolution of the windows.
    static constexpr Duration BinLength = std::chrono::milliseconds(50);

    /// \param lifetime how long tokens are kept
    explicit RecentTokens(Duration lifetime) : m_lifetime(lifetime) { }

    /// Adds tokens; a negative number takes back tokens that were added before.
    void add(double tokens, TimePoint at);
    /// Takes back tokens, the latest ones first.
    void takeBack(double tokens);
    /// Multiplies all tokens before `end` by `factor`.
    void scaleBefore(TimePoint end, double factor);
    /// \returns the tokens from `begin` on, including the whole bin that contains it
    [[nodiscard]] double since(TimePoint begin) const;
    /// \returns the tokens from `begin` on and before `end`
    [[nodiscard]] double between(TimePoint begin, TimePoint end) const;

private:
    struct Bin
    {
        TimePoint begin;
        double tokens = 0;
    };

    Duration m_lifetime;
    /// In ascending order of time.
    std::deque<Bin> m_bins;
};

} // namespace bluebell
