#include "routing/calleraddresses.h"

#include <algorithm>

namespace bluebell {

std::vector<Endpoint> chooseCallerAddresses(const std::vector<FleetMember> &daemons,
                                            const DataCentreId &callersDataCentre,
                                            std::mt19937_64 &random)
{
    std::vector<const FleetMember *> chosen;
    chosen.reserve(daemons.size());
    for (const auto &it : daemons)
        chosen.push_back(&it);
    if (chosen.size() > MaxCallerAddresses) {
        std::shuffle(chosen.begin(), chosen.end(), random);
        std::stable_partition(chosen.begin(), chosen.end(),
                              [&](const auto *it) { return it->dataCentre == callersDataCentre; });
        chosen.resize(MaxCallerAddresses);
    }
    std::vector<Endpoint> addresses;
    addresses.reserve(chosen.size());
    for (const auto *it : chosen)
        addresses.push_back(it->callers);
    return addresses;
}

} // namespace bluebell
