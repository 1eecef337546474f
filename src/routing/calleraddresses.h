#pragma once

#include "membership/fleetmember.h"

#include <cstddef>
#include <random>
#include <vector>

/// \file
/// Choice of the daemons that a caller is told to connect to.

namespace bluebell {

/// Number of addresses that callers use of one lookup; they ignore the others.
inline constexpr std::size_t MaxCallerAddresses = 64;

/// Chooses the daemons for the response to an address lookup.
///
/// In a fleet of up to MaxCallerAddresses these are all daemons. In a larger one, daemons in the
/// caller's data centre come first and the rest is a random sample, so that over many lookups the
/// callers spread over all daemons.
///
/// \param daemons the daemons that callers can use
[[nodiscard]] std::vector<Endpoint> chooseCallerAddresses(const std::vector<FleetMember> &daemons,
                                                          const DataCentreId &callersDataCentre,
                                                          std::mt19937_64 &random);

} // namespace bluebell
