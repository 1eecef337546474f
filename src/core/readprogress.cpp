#include "core/readprogress.h"

#include <algorithm>

namespace bluebell {
namespace {

/// A request is given up for another one only if it holds more than this multiple of its bytes.
constexpr std::size_t MuchLargerFactor = 2;

template<typename Less>
std::optional<std::size_t> smallest(const std::vector<ReadProgress> &requests, Less less) noexcept
{
    const auto it = std::min_element(requests.begin(), requests.end(), less);
    if (it == requests.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - requests.begin());
}

} // namespace

std::optional<std::size_t> chooseStalled(const std::vector<ReadProgress> &requests,
                                         TimePoint now) noexcept
{
    const auto n = smallest(
            requests, [](const auto &a, const auto &b) { return a.lastBytesAt < b.lastBytesAt; });
    if (!n || now - requests[*n].lastBytesAt < StallTime)
        return std::nullopt;
    return n;
}

std::optional<std::size_t> chooseForMemory(const std::vector<ReadProgress> &requests,
                                           std::size_t heldBytes, TimePoint now) noexcept
{
    if (const auto n = chooseStalled(requests, now))
        return n;
    const auto n = smallest(requests,
                            [](const auto &a, const auto &b) { return a.heldBytes > b.heldBytes; });
    if (!n || requests[*n].heldBytes <= MuchLargerFactor * heldBytes)
        return std::nullopt;
    return n;
}

} // namespace bluebell
