#include "placement/copycount.h"

#include <algorithm>
#include <cmath>

namespace bluebell {
namespace {

/// Fraction of an engine's slots that the requests of one model may take before another copy is
/// wanted.
constexpr double TargetUtilisation = 0.5;
/// Requests per second from which on a model has a second copy, and a third one.
constexpr double SecondCopyRate = 2;
constexpr double ThirdCopyRate = 10;

std::size_t copiesByRate(double arrivalsPerSecond)
{
    if (arrivalsPerSecond < SecondCopyRate)
        return 1;
    return arrivalsPerSecond < ThirdCopyRate ? 2 : 3;
}

} // namespace

std::size_t wantedCopies(const ModelLoad &load)
{
    const auto requests = static_cast<double>(load.inFlight);
    const auto perCopy = std::max(TargetUtilisation * load.slots, 1.0);
    const auto byLoad = static_cast<std::size_t>(std::ceil(requests / perCopy));
    return std::max(byLoad, copiesByRate(load.arrivalsPerSecond));
}

} // namespace bluebell
