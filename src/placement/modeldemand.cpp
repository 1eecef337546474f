#include "placement/modeldemand.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

double urgencyOf(int priority)
{
    constexpr double PerRank = 3.0;
    constexpr int NeutralRank = 2;
    constexpr int LowestRank = 4;
    return std::pow(PerRank, NeutralRank - std::clamp(priority, 0, LowestRank));
}

} // namespace bluebell
