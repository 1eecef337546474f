#include "routing/calleraddresses.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

using namespace bluebell;

namespace {

std::vector<FleetMember> fleet(int size, int dataCentres)
{
    std::vector<FleetMember> daemons;
    for (int n = 0; n < size; ++n) {
        FleetMember it;
        it.vm = VmId("vm-" + std::to_string(n));
        it.dataCentre = DataCentreId("dc-" + std::to_string(n % dataCentres));
        it.callers = { it.vm.value(), 1 };
        daemons.push_back(it);
    }
    return daemons;
}

} // namespace

TEST(CallerAddresses, ASmallFleetIsListedCompletely)
{
    std::mt19937_64 random(1);
    EXPECT_EQ(chooseCallerAddresses(fleet(60, 5), DataCentreId("dc-1"), random).size(), 60U);
}

/// Regression: all daemons were listed in the order of their names. Callers use 64 addresses, so
/// two thirds of a fleet of 195 got no requests.
TEST(CallerAddresses, CallersOfALargeFleetUseAllDaemonsEvenly)
{
    std::mt19937_64 random(1);
    const auto daemons = fleet(195, 5);
    std::map<std::string, int> lookups;
    constexpr int Lookups = 1000;
    for (int n = 0; n < Lookups; ++n) {
        const DataCentreId callers("dc-" + std::to_string(n % 5));
        const auto addresses = chooseCallerAddresses(daemons, callers, random);
        ASSERT_EQ(addresses.size(), MaxCallerAddresses);
        for (const auto &it : addresses)
            ++lookups[it.host];
    }
    ASSERT_EQ(lookups.size(), daemons.size());
    const auto mean = Lookups * static_cast<int>(MaxCallerAddresses) / 195;
    for (const auto &[host, n] : lookups) {
        EXPECT_GT(n, mean / 2) << host;
        EXPECT_LT(n, mean * 2) << host;
    }
}

TEST(CallerAddresses, DaemonsInTheCallersDataCentreComeFirst)
{
    std::mt19937_64 random(1);
    const auto addresses = chooseCallerAddresses(fleet(195, 5), DataCentreId("dc-3"), random);
    std::set<std::string> listed;
    for (const auto &it : addresses)
        listed.insert(it.host);
    for (int n = 3; n < 195; n += 5)
        EXPECT_TRUE(listed.contains("vm-" + std::to_string(n)));
}
