#include "routing/loadspreading.h"

#include <algorithm>
#include <numeric>

namespace bluebell {

std::size_t chooseSpread(const std::vector<SpreadCandidate> &candidates, double arrivals,
                         double random)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return candidates[a].cost < candidates[b].cost;
    });
    // Finds the common cost at which the cheapest candidates have taken all arrivals.
    double slots = 0;
    double weightedCost = 0;
    double level = 0;
    for (const auto n : order) {
        const auto &it = candidates[n];
        if (slots > 0 && it.cost >= level)
            break;
        slots += it.slots;
        weightedCost += it.slots * it.cost;
        level = (arrivals + weightedCost) / slots;
    }
    auto left = random * arrivals;
    for (const auto n : order) {
        const auto &it = candidates[n];
        const auto part = it.slots * std::max(level - it.cost, 0.0);
        if (left < part)
            return n;
        left -= part;
    }
    return order.front();
}

} // namespace bluebell
