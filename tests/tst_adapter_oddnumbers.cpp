#include "gateway/memberrow.h"
#include "platform/documents.h"
#include "platform/requests.h"
#include "platform/settings.h"
#include "platform/storecodec.h"
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

namespace {

HttpRequest callWith(const std::string &name, const std::string &value)
{
    return { "POST", "/look/x", { { "Host", "h" }, { "X-Attempt-Id", "a" }, { name, value } }, {} };
}

json validEntry()
{
    return json::parse(R"({"Service":"engines","Address":"127.0.0.1:80","Zone":"z","Slots":8,
        "State":"ready","born":1000,"Sequence":7,"Version":"v1","ColdLeftMs":0,"Busy":false,
        "Models":[{"Name":"m0","Version":1,"Adapters":["a@1",{"Name":"b"}]}],
        "Coming":["m0/c@2"],"AtHand":{"InMemory":["m1@1"],"OnDisk":[{"Name":"m2"}]}})");
}

json validMember()
{
    return { { "incarnation", "i" },
             { "data_centre", "d" },
             { "callers", "127.0.0.1:1000" },
             { "peers", "127.0.0.1:1001" },
             { "control", "127.0.0.1:1002" },
             { "relay", "127.0.0.1:1003" },
             { "capacity", 500 } };
}

std::optional<FleetMember> decodedMember(const json &it)
{
    return gateway::decodeMember({ "t", "vm-1", it.dump(), 1, false });
}

/// \returns the value at `path`, with the part at `path` replaced by the JSON text `value`
std::string withText(json it, const json::json_pointer &path, const std::string &value)
{
    it[path] = "PLACEHOLDER";
    auto text = it.dump();
    const std::string quoted = "\"PLACEHOLDER\"";
    return text.replace(text.find(quoted), quoted.size(), value);
}

const std::vector<std::string> &oddValues()
{
    static const std::vector<std::string> Values {
        "null",
        "true",
        "0",
        "-1",
        "1e300",
        "-1e300",
        "1e999",
        "0.5",
        "4294967296",
        "18446744073709551615",
        "18446744073709551616",
        "9223372036854775808",
        "-9223372036854775808",
        "\"\"",
        "\"127.0.0.1:70000\"",
        "\"127.0.0.1:0\"",
        "\"127.0.0.1:-1\"",
        R"("\u0000\r\nX-Evil: 1")",
        "\"\xff\xfe\"",
        "[]",
        "{}",
        "[[],{},null,1e300,\"@\",\"/\",\"/@\"]",
        R"([{"Name":1},{"Name":""},{"Name":"x","Adapters":[{},[],"@","a"]}])",
        std::string(20000, '[') + std::string(20000, ']'),
    };
    return Values;
}

/// \returns the paths of all parts of `it`, apart from the whole
std::vector<json::json_pointer> pathsOf(const json &it)
{
    std::vector<json::json_pointer> paths;
    const auto flat = it.flatten();
    for (const auto &[path, value] : flat.items())
        for (json::json_pointer part(path); !part.empty(); part = part.parent_pointer())
            if (std::find(paths.begin(), paths.end(), part) == paths.end())
                paths.push_back(part);
    return paths;
}

} // namespace

TEST(OddNumbers, TimeLeftIsCutToABound)
{
    for (const std::string text :
         { "9223372036854775807", "9223372036855", "99999999999999999999999" }) {
        const auto it = platform::decodeRequest(callWith("X-Deadline-Ms", text));
        ASSERT_TRUE(it) << text;
        EXPECT_EQ(*it.value().timeLeft, Duration(24h)) << text;
    }
    EXPECT_FALSE(platform::decodeRequest(callWith("X-Deadline-Ms", "-1")));
    EXPECT_FALSE(platform::decodeRequest(callWith("X-Deadline-Ms", "1e3")));
}

TEST(OddNumbers, TokenCountsThatAreTooLargeGiveNoTokensBack)
{
    for (const std::string text : { "9223372036854775807,9223372036854775807",
                                    "9223372036854775807,1", "99999999999999999999,1" }) {
        const auto it = platform::decodeRequest(callWith("X-Token-Counts", text));
        ASSERT_TRUE(it) << text;
        EXPECT_GT(*it.value().tokens, 1'000'000'000) << text;
        SharedRate rate({ 100, 100 }, TimePoint(1s));
        (void)rate.admit(*it.value().tokens, TimePoint(10s));
        const auto wait = rate.admit(*it.value().tokens, TimePoint(11s));
        ASSERT_TRUE(wait) << text;
        EXPECT_GT(*wait, 0s) << text;
    }
}

TEST(OddNumbers, RetryTimeAfterHugeCountsIsPositive)
{
    SharedRate rate({ 100, 100 }, TimePoint(1s));
    (void)rate.admit(std::numeric_limits<Tokens>::max() / 4, TimePoint(10s));
    const auto wait = rate.admit(1, TimePoint(11s));
    ASSERT_TRUE(wait);
    EXPECT_GT(*wait, 0s);
    EXPECT_LE(*wait, 1h);
}

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

TEST(OddNumbers, EntryWithANumberOutOfRangeIsRefused)
{
    EXPECT_TRUE(platform::decodeTarget("t", validEntry().dump()));
    const auto refused = [](const std::string &path, const std::string &value) {
        return !platform::decodeTarget("t",
                                       withText(validEntry(), json::json_pointer(path), value));
    };
    EXPECT_TRUE(refused("/Slots", "4294967296"));
    EXPECT_TRUE(refused("/Slots", "18446744073709551615"));
    EXPECT_TRUE(refused("/Slots", "1e300"));
    EXPECT_TRUE(refused("/Address", "\"127.0.0.1:0\""));
    EXPECT_TRUE(refused("/Address", "\"127.0.0.1:70000\""));
    EXPECT_FALSE(platform::decodeTarget("t\r\nX-Evil: 1", validEntry().dump()));
    EXPECT_FALSE(platform::decodeTarget("", validEntry().dump()));
}

TEST(OddNumbers, MemberRowWithANumberOutOfRangeIsRefused)
{
    EXPECT_TRUE(decodedMember(validMember()));
    for (const auto *name : { "callers", "peers", "control" })
        for (const auto *address : { "127.0.0.1:0", "127.0.0.1:70000" }) {
            auto it = validMember();
            it[name] = address;
            EXPECT_FALSE(decodedMember(it)) << name << address;
        }
    for (const json &n : { json(std::uint64_t(1) << 32U), json(-1), json(1e300), json("x") }) {
        auto it = validMember();
        it["capacity"] = n;
        EXPECT_FALSE(decodedMember(it)) << n;
    }
    auto it = validMember();
    it.erase("capacity");
    it.erase("relay");
    EXPECT_TRUE(decodedMember(it));
}

TEST(OddNumbers, RecordWithANumberOutOfRangeIsRefused)
{
    for (const std::string port : { "65536", "70000", "-1", "0.5", "1e300", "\"80\"" }) {
        const auto member =
                R"({"vm":"v","incarnation":"i","host":"127.0.0.1","port":)" + port + "}";
        EXPECT_FALSE(rows::decodeMember(member)) << port;
        EXPECT_FALSE(rows::decodeRole(R"({"role":"r","epoch":1,"holder":)" + member + "}")) << port;
        EXPECT_FALSE(rows::decodeMember(
                R"({"vm":"v","incarnation":"i","host":"h","port":80,"entry":{"host":"h",)"
                R"("leaving":false,"port":)"
                + port + "}}"))
                << port;
    }
    for (const std::string n : { "-1", "1e300", "0.5", "18446744073709551616" }) {
        EXPECT_FALSE(rows::decodeHead(R"({"version":1,"snapshot":)" + n + "}")) << n;
        EXPECT_FALSE(rows::decodeSnapshot(R"({"lines":[],"version":)" + n + "}")) << n;
    }
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

TEST(OddNumbers, EveryFieldOfAnEntryMayBeOdd)
{
    const auto valid = validEntry();
    std::size_t accepted = 0;
    for (const auto &path : pathsOf(valid))
        for (const auto &value : oddValues()) {
            const auto text = withText(valid, path, value);
            const auto entry = platform::decodeTarget("t", text);
            accepted += entry ? 1 : 0;
            if (entry) {
                EXPECT_GT(entry.value().slots, 0U) << path << value;
            }
            (void)platform::decodeReport(text);
        }
    EXPECT_GT(accepted, 0U);
}

TEST(OddNumbers, EveryFieldOfAConfigurationMayBeOdd)
{
    auto valid = siteConfig(1);
    valid["Tenants"][0]["RatePerS"] = 10;
    valid["Tenants"][0]["Burst"] = 10;
    for (const auto &path : pathsOf(valid))
        for (const auto &value : oddValues()) {
            const auto config = platform::decodeConfig(withText(valid, path, value));
            if (!config)
                continue;
            for (const auto &it : config.value().routes) {
                EXPECT_GT(it.timeout, 0s) << path << value;
                EXPECT_LE(it.timeout, 24h) << path << value;
            }
        }
}

TEST(OddNumbers, EveryFieldOfAMemberRowMayBeOdd)
{
    const auto valid = validMember();
    for (const auto &path : pathsOf(valid))
        for (const auto &value : oddValues())
            (void)gateway::decodeMember({ "t", "vm-1", withText(valid, path, value), 1, false });
}

TEST(OddNumbers, DeepAnswersOfTheStoreAndOfEnginesDoNotExhaustTheStack)
{
    constexpr std::size_t Depth = 500000;
    const auto deep = std::string(Depth, '[') + std::string(Depth, ']');
    EXPECT_FALSE(platform::decodeSnapshot(deep, 0));
    EXPECT_FALSE(platform::decodeWritten(deep, 0));
    EXPECT_FALSE(platform::decodeReport(deep));
    const auto snapshot = platform::decodeSnapshot(
            R"({"Ver":)" + deep + R"(,"Rows":[)" + deep + R"(,{"Key":"k","Value":)" + deep + "}]}",
            0);
    ASSERT_TRUE(snapshot);
    ASSERT_EQ(snapshot.value().rows.size(), 1U);
    EXPECT_EQ(snapshot.value().rows[0].value, "");
    const auto report = platform::decodeReport(R"({"Sequence":1,"Models":)" + deep + "}");
    ASSERT_TRUE(report);
    EXPECT_TRUE(report.value().state.resident.empty());
}

TEST(OddNumbers, RandomChangesOfRowsAreDecodedOrRefused)
{
    constexpr int Cases = 3000;
    std::mt19937_64 random(22);
    const std::vector<std::string> valid { validEntry().dump(), validMember().dump(),
                                           siteConfig(1).dump() };
    for (int n = 0; n < Cases; ++n) {
        auto text = valid[random() % valid.size()];
        for (auto changes = 1 + random() % 4; changes > 0; --changes) {
            const auto at = random() % text.size();
            if (random() % 2 == 0)
                text[at] = static_cast<char>(random());
            else
                text.replace(at, random() % 6, oddValues()[random() % (oddValues().size() - 1)]);
        }
        (void)platform::decodeTarget("t", text);
        (void)platform::decodeReport(text);
        (void)platform::decodeConfig(text);
        (void)gateway::decodeMember({ "t", "vm-1", text, 1, false });
    }
}
