#include "gateway/memberrow.h"
#include "platform/documents.h"
#include "platform/requests.h"
#include "platform/settings.h"
#include "platformstandin.h"
#include "rate/sharedrate.h"
#include "records/rows.h"
#include "site/siteindex.h"

#include <gtest/gtest.h>

#include <fstream>
#include <random>

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;
using nlohmann::json;

TEST(OddNumbers, ConfiguredNumbersAreCutToTheirBounds)
{
    const std::vector<std::string> numbers { "1e300", "18446744073709551615",
                                             "9223372036854775807" };
    for (const auto &n : numbers) {
        json config = siteConfig(1);
        auto &route = config["Routes"][0];
        for (const auto *name : { "TimeoutMs", "LatencyGoalMs", "GapAimMs", "Priority" })
            route[name] = json::parse(n);
        auto &limits = config["Limits"];
        for (const auto *name : { "HeaderBytes", "MaxBodyBytes" })
            limits[name] = std::uint64_t(1) << 40U;
        for (const auto *name : { "HeaderTimeoutMs", "IdleTimeoutMs" })
            limits[name] = json::parse(n);
        auto &organisation = config["Tenants"][0];
        for (const auto *name : { "RatePerS", "Burst", "PlainTokens", "Priority" })
            organisation[name] = json::parse(n);
        for (const auto *name : { "LoadS", "WarmS", "DiskS", "WeightsMb", "AdapterMb" })
            config["Services"][0]["Engine"]["Models"][0][name] = json::parse(n);
        const auto decoded = platform::decodeConfig(config.dump());
        ASSERT_TRUE(decoded) << n;
        const auto &it = decoded.value();
        for (const auto d :
             { it.routes[0].timeout, it.routes[0].latencyGoal, it.routes[0].eventGapGoal,
               it.limits.headerTimeout, it.limits.idleTimeout })
            EXPECT_EQ(d, Duration(24h)) << n;
        EXPECT_GT(it.routes[0].priority, 9) << n;
        EXPECT_EQ(it.limits.headerBytes, 1U << 20U);
        EXPECT_EQ(it.limits.bodyBytes, 1U << 30U);
        EXPECT_GT(it.organisations[0].limit->rate, 1'000'000) << n;
        EXPECT_GT(it.organisations[0].limit->burst, 1'000'000) << n;
        EXPECT_GT(it.organisations[0].defaultTokens, 1'000'000) << n;
        const auto &model = it.services.at(ServiceId("engines")).engine->models.at(ModelId("m0"));
        for (const auto d : { model.storeLoadTime, model.memoryLoadTime, model.diskLoadTime })
            EXPECT_EQ(d, Duration(24h)) << n;
        EXPECT_LE(model.weights, 1e12) << n;
    }
}

TEST(OddNumbers, ConfiguredCountsDoNotWrapToZero)
{
    json config = siteConfig(1);
    config["Routes"][0]["MaxAttempts"] = std::uint64_t(1) << 32U;
    config["Routes"][0].erase("Service");
    config["Routes"][0]["Split"] =
            json::array({ { { "Service", "engines" }, { "Weight", std::uint64_t(1) << 32U } } });
    config["Services"][0]["MaxConns"] = std::uint64_t(1) << 32U;
    config["Services"][0]["Engine"]["Slots"] = std::uint64_t(1) << 32U;
    config["Services"][0]["Engine"]["AdapterSlots"] = std::uint64_t(1) << 32U;
    const auto decoded = platform::decodeConfig(config.dump());
    ASSERT_TRUE(decoded);
    const auto &it = decoded.value();
    EXPECT_GT(it.routes[0].maxTargets, 0U);
    EXPECT_NE(chooseService(it.routes[0], 5), nullptr);
    const auto &service = it.services.at(ServiceId("engines"));
    EXPECT_GT(service.connectionLimit, 0U);
    EXPECT_GT(service.engine->slots, 0U);
    EXPECT_GT(service.engine->adapterSlots, 0U);
}

TEST(OddNumbers, SettingsAreCutToTheirBounds)
{
    const auto path = ::testing::TempDir() + "odd-settings-" + std::to_string(::getpid());
    for (const std::string n : { "1e300", "inf", "nan", "-1.0" }) {
        std::ofstream(path) << "NodeName='v'\nZone='z'\nInnerPortRange=[1000,1010]\n"
                               "[Listen]\nFront='127.0.0.1:1'\nReady='127.0.0.1:2'\n"
                               "Directory='127.0.0.1:3'\n[Platform]\nAddress='127.0.0.1:4'\n"
                               "[Limits]\nCpuShare="
                            << n << "\nCores=1.0\n[Bounds]\nGraceS=" << n << "\nLeaseMs=" << n
                            << "\nDrainMs=" << n << "\nttl_max_s=" << n << "\n";
        const auto it = platform::readSettings(path);
        ASSERT_TRUE(it) << n << it.error().message;
        for (const auto d : { it.value().stopTimeout, it.value().minTakeoverDelay,
                              it.value().drainTimeout, it.value().maxAddressTtl }) {
            EXPECT_GT(d, 0s) << n;
            EXPECT_LE(d, 24h) << n;
        }
        EXPECT_LE(it.value().capacity, 1'000'000U) << n;
    }
    std::remove(path.c_str());
}
