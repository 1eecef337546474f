#include "core/digest.h"
#include "peer/statuscodec.h"
#include "platform/documents.h"
#include "platform/requests.h"
#include "platform/settings.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

const std::string Entry = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1",)"
                          R"("Slots":6,"State":"ready","ColdLeftMs":0,"Sequence":4,"born":7})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

HttpRequest request(std::vector<HttpHeader> headers)
{
    HttpRequest it;
    it.method = "POST";
    it.path = "/chat/x?y=1";
    it.headers = std::move(headers);
    return it;
}

/// A temporary settings file, deleted by the destructor.
class SettingsFile
{
public:
    explicit SettingsFile(const std::string &text)
        : m_path(std::filesystem::temp_directory_path()
                 / ("bluebell-settings-" + std::to_string(::getpid())))
    {
        std::ofstream(m_path) << text;
    }
    ~SettingsFile() { std::filesystem::remove(m_path); }
    SettingsFile(const SettingsFile &) = delete;
    SettingsFile &operator=(const SettingsFile &) = delete;

    [[nodiscard]] std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

const std::string Settings = R"(
NodeName = "front-1"
Zone = "leicester"
InnerPortRange = [7600, 7615]
Unknown = "passed over"
[Listen]
Front = "10.1.0.25:8221"
Ready = "10.1.0.25:8224"
Directory = "10.1.0.25:8220"
[Limits]
MaxFds = 4100
[Bounds]
GraceS = 8
LeaseMs = 3000
[Platform]
Address = "10.200.1.7:8225"
)";

} // namespace

TEST(PlatformDocuments, DecodesAnEntry)
{
    const auto entry = platform::decodeTarget("i-1", Entry);
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry.value().id, TargetId("i-1"));
    EXPECT_EQ(entry.value().slots, 6U);
    EXPECT_EQ(entry.value().startTimeMs, 7U);
    EXPECT_EQ(entry.value().heartbeat, 4U);
    EXPECT_FALSE(entry.value().isDraining);
    EXPECT_FALSE(entry.value().engine);
}

TEST(PlatformDocuments, RejectsMalformedEntries)
{
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> {
                 { R"("s")", "7" },
                 { R"("10.0.0.1:80")", R"("nowhere")" },
                 { "6", R"("6")" },
                 { R"("ready")", R"("odd")" },
                 { R"("Sequence":4)", R"("Sequence":-4)" },
                 { R"("born":7)", R"("born":7.5)" },
                 { "{", "[" },
         })
        EXPECT_FALSE(platform::decodeTarget("i-1", replaced(Entry, from, to))) << to;
}

TEST(PlatformDocuments, DecodesAReport)
{
    const auto report = platform::decodeReport(
            R"({"Stage":"prefill_decode","Models":[{"Name":"m","Version":1,"Adapters":["a1"]}],)"
            R"("Busy":true,"Sequence":9,"born":5,"Coming":["m/a2@3"],)"
            R"("AtHand":{"InMemory":["m"],"OnDisk":["m","n"]}})");
    ASSERT_TRUE(report);
    const auto &state = report.value().state;
    EXPECT_TRUE(state.resident.contains({ ModelId("m"), AdapterId("a1") }));
    EXPECT_TRUE(state.pendingAdapters.contains({ ModelId("m"), AdapterId("a2") }));
    EXPECT_TRUE(state.onDisk.contains(ModelId("n")));
    EXPECT_TRUE(state.isBusy);
    EXPECT_EQ(state.sequence, 9U);
    EXPECT_FALSE(platform::decodeReport(R"({"Sequence":1})"));
}

TEST(PlatformDocuments, DecodesAConfiguration)
{
    const auto config = platform::decodeConfig(
            R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/","Kind":"streaming",)"
            R"("TimeoutMs":12000,"LatencyGoalMs":250,"GapAimMs":300,"Priority":1,"MaxAttempts":2,)"
            R"("Resumable":true,"Split":[{"Service":"a","Weight":90},{"Service":"b","Weight":10}],)"
            R"("NewField":1}],"Services":[{"Name":"a","MaxConns":370,"Engine":{"Slots":64,)"
            R"("WeightsMb":200000.0,"AdapterSlots":8,"HostMb":56000.0,"DiskMb":300000.0,"LoadsPerS":3.3,"Models":[{"Name":"m",)"
            R"("WeightsMb":42700.0,"LoadS":6.0,"AdapterMb":66.0,"WarmS":0.44,"DiskS":0.57}]}}],)"
            R"("Tenants":[{"Name":"t","ApiKeys":["k"],"Priority":0,"Unit":"token_count",)"
            R"("PlainTokens":200,"RatePerS":54730,"Burst":100}],"Limits":{"HeaderBytes":99}})");
    ASSERT_TRUE(config);
    const auto &it = config.value();
    EXPECT_EQ(it.version, 7U);
    ASSERT_EQ(it.routes.size(), 1U);
    EXPECT_EQ(it.routes[0].services.size(), 2U);
    EXPECT_TRUE(it.routes[0].isRetryable());
    EXPECT_EQ(it.routes[0].eventGapGoal, 300ms);
    const auto &model = it.services.at(ServiceId("a")).engine->models.at(ModelId("m"));
    EXPECT_EQ(model.diskLoadTime, 570ms);
    EXPECT_EQ(it.services.at(ServiceId("a")).engine->hostMemory, 56000);
    EXPECT_EQ(it.services.at(ServiceId("a")).engine->disk, 300000);
    EXPECT_EQ(it.organisations[0].keys[0], digestOfKey("k"));
    EXPECT_EQ(it.organisations[0].limit->rate, 54730);
    EXPECT_TRUE(it.organisations[0].countsTokens);
    EXPECT_EQ(it.limits.headerBytes, 99U);
    EXPECT_FALSE(platform::decodeConfig("[]"));
    EXPECT_FALSE(platform::decodeConfig(R"({"Routes":[]})"));
}

TEST(PlatformRequests, DecodesTheHeadersOfARequest)
{
    const auto it = platform::decodeRequest(request({ { "Host", "shop.example:80" },
                                                      { "X-Attempt-Id", "a" },
                                                      { "X-Deadline-Ms", "1500" },
                                                      { "X-Model", "m/a3" },
                                                      { "X-Token-Counts", "10,20" },
                                                      { "Authorization", "bearer key" } }));
    ASSERT_TRUE(it);
    EXPECT_EQ(it.value().host, "shop.example");
    EXPECT_EQ(it.value().timeLeft, 1500ms);
    EXPECT_EQ(it.value().replica->adapter, AdapterId("a3"));
    EXPECT_EQ(it.value().tokens, 30);
    EXPECT_EQ(it.value().key, "key");
}

TEST(PlatformRequests, RejectsMalformedHeaders)
{
    const std::vector<HttpHeader> good { { "Host", "h" }, { "X-Attempt-Id", "a" } };
    EXPECT_TRUE(platform::decodeRequest(request(good)));
    for (const auto &bad :
         { HttpHeader { "Host", "other" }, HttpHeader { "X-Deadline-Ms", "soon" },
           HttpHeader { "X-Deadline-Ms", "-5" }, HttpHeader { "X-Token-Counts", "10" } }) {
        auto headers = good;
        headers.push_back(bad);
        EXPECT_FALSE(platform::decodeRequest(request(headers))) << bad.name << bad.value;
    }
    EXPECT_FALSE(platform::decodeRequest(request({ { "Host", "h" } })));
}

TEST(PlatformRequests, ForwardsAllButHopByHopAndSystemHeaders)
{
    auto in = request({ { "Host", "h" },
                        { "X-Attempt-Id", "a" },
                        { "Connection", "close, X-Hop" },
                        { "X-Hop", "1" },
                        { "x-hold", "1" },
                        { "KV-FROM", "1" },
                        { "X-Pin-Ms", "1" },
                        { "X-Kv-Backup", "1" },
                        { "X-Prompt-Prefix", "5c:8" },
                        { "Authorization", "Bearer k" } });
    in.body = "body";
    ForwardDetails details;
    details.target = TargetId("i-1");
    details.timeLeft = 700ms;
    const auto out = platform::encodeForward(in, details);
    for (const auto *name : { "Connection", "X-Hop", "X-Hold", "Kv-From", "X-Pin-Ms", "X-Kv-Backup",
                              "Authorization", "X-Tenant" })
        EXPECT_EQ(out.header(name), "") << name;
    // It is sent from where it is held; a copy would hold it twice.
    EXPECT_TRUE(out.body.empty());
    EXPECT_EQ(out.header("X-Prompt-Prefix"), "5c:8");
    EXPECT_EQ(out.header("X-Deadline-Ms"), "700");
    EXPECT_EQ(out.header("X-Expect-Instance"), "i-1");
    EXPECT_EQ(out.path, in.path);
}

TEST(PlatformRequests, OnlyErrorsThatDidNotRunGetARetryableStatus)
{
    Error error { ErrorCode::Unavailable, "no target", Execution::NotRun, 400ms };
    auto response = platform::encodeError(error, RequestId("a"));
    EXPECT_EQ(response.status, 503U);
    EXPECT_EQ(response.header("Retry-After"), "0.400");
    error.execution = Execution::OutcomeUnknown;
    response = platform::encodeError(error, RequestId("a"));
    EXPECT_EQ(response.status, 502U);
    EXPECT_EQ(response.header("Retry-After"), "");
    error.code = ErrorCode::DeadlineExceeded;
    EXPECT_EQ(platform::encodeError(error, RequestId("a")).status, 504U);
    EXPECT_EQ(platform::encodeError(error, RequestId("a")).header("X-Server-Seal"), "");
}

TEST(PlatformRequests, ClassifiesResponses)
{
    HttpResponse head;
    head.status = 200;
    head.headers = { { "X-Attempt-Id", "a" }, { "X-Server-Seal", "s" } };
    EXPECT_TRUE(platform::decodeResponse(head, RequestId("a")).matchesAttempt);
    EXPECT_FALSE(platform::decodeResponse(head, RequestId("b")).matchesAttempt);
    head.headers.push_back({ "Content-Encoding", "gzip" });
    EXPECT_TRUE(platform::decodeResponse(head, RequestId("a")).isEncoded);
    head.status = 421;
    EXPECT_TRUE(platform::decodeResponse(head, RequestId("a")).isNotRun);
}

TEST(PlatformResponses, ReadsThatATargetIsLeavingFromAnyStatus)
{
    HttpResponse head;
    EXPECT_FALSE(platform::decodeNotices(head).isLeaving);
    head.headers = { { "server-leaving", "1" } };
    for (const auto status : { 200U, 202U, 421U, 429U, 500U, 503U }) {
        head.status = status;
        EXPECT_TRUE(platform::decodeNotices(head).isLeaving) << status;
    }
    head.headers = { { "Server-Leaving", "0" } };
    EXPECT_FALSE(platform::decodeNotices(head).isLeaving);
}

TEST(PlatformResponses, ReadsTheTimeThatATargetNamesWithStatus503)
{
    HttpResponse head;
    head.status = 503;
    EXPECT_FALSE(platform::decodeNotices(head).holdOff);
    EXPECT_FALSE(platform::decodeNotices(head).hasInvalidHoldOff);
    const auto decode = [&](const std::string &value) {
        head.headers = { { "Retry-After", value } };
        return platform::decodeNotices(head);
    };
    EXPECT_EQ(decode("2").holdOff, Duration(2s));
    EXPECT_EQ(decode("0.25").holdOff, Duration(250ms));
    EXPECT_EQ(decode("0").holdOff, Duration::zero());
    EXPECT_EQ(decode("86400").holdOff, Duration(24h));
    EXPECT_GT(decode("1e300").holdOff, Duration(24h));
    for (const auto *value :
         { "-1", "nan", "inf", "-inf", "soon", "2 s", "1e999", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
        EXPECT_FALSE(decode(value).holdOff) << value;
        EXPECT_TRUE(decode(value).hasInvalidHoldOff) << value;
    }
    head.status = 429;
    EXPECT_FALSE(decode("2").holdOff);
}

TEST(PlatformSettings, ReadsAFileAndIgnoresUnknownFields)
{
    const SettingsFile file(Settings);
    const auto it = platform::readSettings(file.path());
    ASSERT_TRUE(it);
    EXPECT_EQ(it.value().vm, VmId("front-1"));
    EXPECT_EQ(it.value().stopTimeout, 8s);
    EXPECT_EQ(it.value().minTakeoverDelay, 3s);
    EXPECT_EQ(toString(it.value().peers), "10.1.0.25:7600");
    EXPECT_EQ(it.value().maxDescriptors, 4100U);
    const SettingsFile unlimited(replaced(Settings, "MaxFds", "Other"));
    EXPECT_EQ(platform::readSettings(unlimited.path()).value().maxDescriptors, 0U);
}

TEST(PlatformSettings, ReportsMissingFieldsAndMalformedFiles)
{
    const SettingsFile missing(replaced(Settings, "Zone", "Ozone"));
    const auto without = platform::readSettings(missing.path());
    ASSERT_FALSE(without);
    EXPECT_NE(without.error().message.find("Zone"), std::string::npos);
    const SettingsFile broken("NodeName = ");
    EXPECT_FALSE(platform::readSettings(broken.path()));
    EXPECT_FALSE(platform::readSettings("/nowhere/settings.toml"));
}

TEST(StatusCodec, RoundTripsAllFields)
{
    DaemonStatus it;
    it.vm = VmId("vm");
    it.incarnation = IncarnationId("i");
    it.uptime = 5s;
    it.isReady = true;
    it.configVersion = 7;
    it.registryVersion = 8;
    it.timeSinceStoreReply = 300ms;
    it.leaderEpoch = 9;
    it.demand = { { ServiceId("s"), { ModelId("m"), AdapterId("a") }, 3, 27.5, 40ms, 1.5 } };
    it.inFlight = { { TargetId("t"), { ModelId("m"), AdapterId() }, 4 } };
    it.rates = { { OrganisationId("o"), 100, -5 } };
    it.includesDemand = true;
    it.placement = { 3,
                     5,
                     { { TargetId("t"),
                         { { ModelId("m"), AdapterId() }, { ModelId("m"), AdapterId("a") } } } } };
    it.estimates = { { ServiceId("s"), ModelId("n"), 2s } };
    const auto back = decodeStatus(encode(it));
    ASSERT_TRUE(back);
    const auto &out = back.value();
    EXPECT_EQ(out.vm, it.vm);
    EXPECT_EQ(out.uptime, it.uptime);
    EXPECT_TRUE(out.isReady);
    EXPECT_EQ(out.leaderEpoch, 9U);
    ASSERT_EQ(out.demand.size(), 1U);
    EXPECT_EQ(out.demand[0].key, it.demand[0].key);
    EXPECT_EQ(out.demand[0].oldestWait, 40ms);
    EXPECT_EQ(out.inFlight[0].count, 4U);
    EXPECT_EQ(out.rates[0].level, -5);
    EXPECT_TRUE(out.includesDemand);
    EXPECT_EQ(out.placement.base, 3U);
    EXPECT_EQ(out.placement.number, 5U);
    EXPECT_EQ(out.placement.changed, it.placement.changed);
    EXPECT_EQ(out.estimates[0].readyIn, 2s);
}

TEST(PromptParts, AreTheSameInEverySpelling)
{
    const auto partsOf = [](std::vector<HttpHeader> headers) {
        headers.push_back({ "Host", "h" });
        headers.push_back({ "X-Attempt-Id", "a1" });
        const auto it = platform::decodeRequest(request(std::move(headers)));
        EXPECT_TRUE(it);
        return it ? it.value().sharedParts : std::vector<PromptPartId>();
    };
    const std::vector<PromptPartId> expected { PromptPartId("5c1e"), PromptPartId("91bd"),
                                               PromptPartId("0") };
    EXPECT_EQ(partsOf({ { "X-Prompt-Prefix", "5c1e:800,91bd:410,0:1,e4:250" } }), expected);
    EXPECT_EQ(partsOf({ { "x-prompt-prefix", "05C1E:800, 91BD ,000:1,:7,e4:250" } }), expected);
    EXPECT_EQ(partsOf({ { "X-Prompt-Prefix", "5c1e:800,91bd:410" },
                        { "X-Prompt-Prefix", "0:1,e4:250" } }),
              expected);
    EXPECT_TRUE(partsOf({ { "X-Prompt-Prefix", "e4:250" } }).empty());
    EXPECT_TRUE(partsOf({}).empty());
    const auto longId = partsOf({ { "X-Prompt-Prefix", std::string(9000, 'a') + ":1,e4:250" } });
    ASSERT_EQ(longId.size(), 1U);
    EXPECT_LE(longId[0].value().size(), 32U);
}

TEST(StatusCodec, RejectsMalformedInput)
{
    EXPECT_FALSE(decodeStatus("short"));
    EXPECT_FALSE(decodeStatus(std::string(64, '\xff')));
    const auto good = encode(DaemonStatus());
    EXPECT_FALSE(decodeStatus(std::string_view(good).substr(0, 8)));
}
