#pragma once

#include <cstddef>
#include <vector>

/// \file
/// Spreads requests over engines whose loads are known with a delay.

namespace bluebell {

/// An engine that may be chosen.
struct SpreadCandidate
{
    /// Cost of sending a request to it, in multiples of its slots.
    double cost = 0;
    double slots = 1;
};

/// Chooses an engine so that requests that many daemons send at the same time, all with the same
/// old loads, even the costs out instead of all reaching the engine with the lowest one.
///
/// `arrivals` requests are distributed over the candidates so that the costs of those that get any
/// are equal afterwards, and each candidate is chosen with the probability of its part in them.
///
/// \param arrivals requests expected until the loads are renewed
/// \param random uniformly distributed in [0, 1)
/// \returns index of the chosen candidate; `candidates` must not be empty
[[nodiscard]] std::size_t chooseSpread(const std::vector<SpreadCandidate> &candidates,
                                       double arrivals, double random);

} // namespace bluebell
