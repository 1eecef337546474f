#include "rate/recenttokens.h"

#include <algorithm>
#include <iterator>

namespace bluebell {

void RecentTokens::add(double tokens, TimePoint at)
{
    if (m_bins.empty() || at >= m_bins.back().begin + BinLength) {
        m_bins.push_back({ at, 0 });
        while (at - m_bins.front().begin > m_lifetime)
            m_bins.pop_front();
    }
    auto it = m_bins.rbegin();
    while (it->begin > at && std::next(it) != m_bins.rend())
        ++it;
    it->tokens += tokens;
}

void RecentTokens::takeBack(double tokens)
{
    for (auto it = m_bins.rbegin(); it != m_bins.rend() && tokens > 0; ++it) {
        const auto part = std::clamp(it->tokens, 0.0, tokens);
        it->tokens -= part;
        tokens -= part;
    }
}

void RecentTokens::scaleBefore(TimePoint end, double factor)
{
    for (auto &it : m_bins)
        if (it.begin < end)
            it.tokens *= factor;
}

double RecentTokens::since(TimePoint begin) const
{
    double sum = 0;
    for (auto it = m_bins.rbegin(); it != m_bins.rend(); ++it) {
        if (it->begin + BinLength <= begin)
            break;
        sum += it->tokens;
    }
    return sum;
}

double RecentTokens::between(TimePoint begin, TimePoint end) const
{
    return since(begin) - since(end);
}

} // namespace bluebell
