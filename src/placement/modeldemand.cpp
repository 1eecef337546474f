#include "placement/modeldemand.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

double urgencyOf(int priority)
{
    constexpr double WeightPerStep = 3.0;
    constexpr int NeutralPriority = 2;
    constexpr int LowestPriority = 4;
    return std::pow(WeightPerStep, NeutralPriority - std::clamp(priority, 0, LowestPriority));
}

} // namespace bluebell
