#include "tests/site.h"

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <fstream>

using namespace bluebell;
using namespace bluebell::tests;
using std::chrono::seconds;
using std::chrono::steady_clock;
using testing::HasSubstr;

/// \file
/// Outages, crashes, pauses and stops of real processes: what callers and operators then see.

namespace {

const std::string Done = "data: [DONE]";

int reservationRuns(const Site &site, const std::string &key)
{
    int runs = 0;
    for (const auto *service : { "stockroom-1", "stockroom-2", "stockroom-3" }) {
        const auto body = nlohmann::json::parse(site.control(service, "{}"));
        runs += body.at("orders").value(key, 0);
    }
    return runs;
}

void controlServices(const Site &site, const std::string &json)
{
    for (const auto *service : { "stockroom-1", "stockroom-2", "stockroom-3" })
        site.control(service, json);
}

void appendRule(const std::string &path, const std::string &line)
{
    std::ofstream(path, std::ios::app) << line << '\n';
}

} // namespace

TEST(ProcessConfig, ConcurrentApplyIsAcceptedOnceAndReportedAsConflictOnce)
{
    Site site;
    site.applyRules();
    const auto second = site.rulesPath() + ".second";
    std::ofstream(second) << std::ifstream(site.rulesPath()).rdbuf();
    appendRule(site.rulesPath(), "class first weight=1 timeout=1s # a");
    appendRule(second, "class second weight=1 timeout=1s # b");
    std::vector<CommandResult> results(2);
    std::thread a([&] { results[0] = site.ctl({ "apply", site.rulesPath(), "--wait", "30s" }); });
    std::thread b([&] { results[1] = site.ctl({ "apply", second, "--wait", "30s" }); });
    a.join();
    b.join();
    const auto &rejected = results[0].exitCode == 0 ? results[1] : results[0];
    const auto &accepted = results[0].exitCode == 0 ? results[0] : results[1];
    EXPECT_EQ(accepted.exitCode, 0) << accepted.output;
    EXPECT_EQ(rejected.exitCode, 4) << rejected.output;
    EXPECT_THAT(rejected.output, HasSubstr("+ class "));
}

TEST(ProcessConfig, LostReplyIsNeitherAppliedTwiceNorReportedAsConflict)
{
    Site site;
    site.applyRules();
    site.control("platform", R"({"lost_replies":1})");
    appendRule(site.rulesPath(), "class more weight=1 timeout=1s # a");
    const auto applied = site.ctl({ "apply", site.rulesPath(), "--wait", "30s" });
    EXPECT_EQ(applied.exitCode, 0) << applied.output;
    EXPECT_THAT(applied.output, HasSubstr("accepted as version 2"));
    EXPECT_THAT(site.ctl({ "get" }).output, HasSubstr("# version: 2\n"));
}

TEST(ProcessConfig, WithdrawnKeyStopsOpenStreamsDuringAnOutage)
{
    Site site({ 3, "100ms" });
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-01", 2).contains(Done));
    site.control("platform", R"({"outage":true})");
    std::this_thread::sleep_for(seconds(6));
    // Requests are served during the outage while a majority of the daemons is reachable.
    EXPECT_TRUE(site.streamChat(2, "cartridge-01", 2).contains(Done));
    CallResult streamResult;
    std::thread caller(
            [&] { streamResult = site.streamChat(1, "cartridge-01", 300, seconds(60)); });
    std::this_thread::sleep_for(seconds(2));
    const auto begin = steady_clock::now();
    EXPECT_EQ(site.ctl({ "key", "withdraw", site.key() }).exitCode, 0);
    const auto acceptedAt = steady_clock::now();
    caller.join();
    EXPECT_LT(steady_clock::now() - begin, seconds(10));
    EXPECT_FALSE(streamResult.contains(Done));
    EXPECT_TRUE(streamResult.contains("key_withdrawn")) << streamResult.body;
    // New requests are refused at every entry within the freshness bound of 4 s; streams that start
    // before that are cut.
    CallResult afterWithdrawal;
    EXPECT_TRUE(Site::eventually([&] {
        afterWithdrawal = site.streamChat(3, "cartridge-01", 300);
        return afterWithdrawal.status == 401U || afterWithdrawal.contains(Done);
    }));
    EXPECT_EQ(afterWithdrawal.status, 401U) << afterWithdrawal.body;
    EXPECT_LT(steady_clock::now() - acceptedAt, seconds(4));
    // The withdrawal is written to the table when the outage ends.
    site.control("platform", R"({"outage":false})");
    EXPECT_TRUE(Site::eventually(
            [&] { return site.ctl({ "get" }).output.find("\nkey ") == std::string::npos; }));
}

TEST(ProcessConfig, WithdrawnKeyStopsAQueuedRequest)
{
    Site site({ 1, "5ms", "30s" });
    site.applyRules();
    CallResult queued;
    std::thread caller([&] { queued = site.streamChat(1, "cartridge-40", 2, seconds(60)); });
    std::this_thread::sleep_for(seconds(1));
    EXPECT_EQ(site.ctl({ "key", "withdraw", site.key() }).exitCode, 0);
    caller.join();
    EXPECT_EQ(queued.status, 401U);
    EXPECT_TRUE(queued.contains("key_withdrawn")) << queued.body;
    EXPECT_TRUE(queued.contains("not_run")) << queued.body;
}

/// An open stream waits, instead of being cut, while its daemon cannot confirm the configuration.
TEST(ProcessConfig, OpenStreamSurvivesIsolationAndCompletes)
{
    Site site({ 3, "100ms" });
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-01", 2).contains(Done));
    CallResult streamResult;
    std::thread caller(
            [&] { streamResult = site.streamChat(1, "cartridge-01", 100, seconds(60)); });
    std::this_thread::sleep_for(seconds(1));
    site.control("platform", R"({"outage":true})");
    site.signalController(2, SIGSTOP);
    site.signalController(3, SIGSTOP);
    EXPECT_TRUE(Site::eventually([&] { return !site.isReady(1); }));
    std::this_thread::sleep_for(seconds(1));
    site.control("platform", R"({"outage":false})");
    site.signalController(2, SIGCONT);
    site.signalController(3, SIGCONT);
    caller.join();
    EXPECT_TRUE(streamResult.contains(Done)) << streamResult.body;
    EXPECT_TRUE(streamResult.isComplete);
}

TEST(ProcessConfig, DaemonStartedDuringAnOutageGetsTheConfigurationFromPeers)
{
    Site site;
    site.applyRules();
    site.control("platform", R"({"outage":true})");
    site.startVm(4);
    EXPECT_TRUE(Site::eventually([&] { return site.isReady(4); }));
}

TEST(ProcessConfig, IsolatedDaemonRefusesRequests)
{
    Site site;
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-01", 2).contains(Done));
    site.control("platform", R"({"outage":true})");
    site.signalController(2, SIGSTOP);
    site.signalController(3, SIGSTOP);
    EXPECT_TRUE(Site::eventually([&] { return !site.isReady(1); }));
    const auto refused = site.streamChat(1, "cartridge-01", 2);
    EXPECT_EQ(refused.status, 503U);
    EXPECT_TRUE(refused.contains("not_run"));
}

TEST(ProcessIdempotency, CallOfAKilledEntryIsNotRunAgain)
{
    Site site({ 2 });
    site.applyRules();
    controlServices(site, R"({"delay_ms":3000})");
    std::thread caller([&] { (void)site.postReservation(1, "o-1"); });
    ASSERT_TRUE(Site::eventually([&] { return reservationRuns(site, "o-1") == 1; }));
    site.signalEntry(1, SIGKILL);
    caller.join();
    controlServices(site, R"({"delay_ms":0})");
    const auto repeat = site.postReservation(2, "o-1");
    EXPECT_EQ(repeat.status, 409U) << repeat.body;
    EXPECT_TRUE(repeat.contains("outcome_unknown"));
    EXPECT_TRUE(Site::eventually([&] { return site.postReservation(2, "o-1").status == 502U; }));
    EXPECT_EQ(reservationRuns(site, "o-1"), 1);
}

TEST(ProcessIdempotency, LostReplyIsOutcomeUnknownAndRefusalIsNotRun)
{
    Site site({ 2 });
    site.applyRules();
    controlServices(site, R"({"lost_replies":1})");
    const auto lost = site.postReservation(1, "o-1");
    EXPECT_EQ(lost.status, 502U);
    EXPECT_TRUE(lost.contains("\"execution\":\"outcome_unknown\"")) << lost.body;
    controlServices(site, R"({"lost_replies":0})");
    EXPECT_EQ(site.postReservation(2, "o-1").status, 502U);
    EXPECT_EQ(reservationRuns(site, "o-1"), 1);
    controlServices(site, R"({"refusals":1})");
    EXPECT_TRUE(site.postReservation(1, "o-2").contains("\"execution\":\"not_run\""));
    EXPECT_EQ(reservationRuns(site, "o-2"), 0);
    controlServices(site, R"({"refusals":0})");
    EXPECT_EQ(site.postReservation(2, "o-2").status, 201U);
}

/// Regression: the service's 503 was passed on, also to repeats of the key, to callers who place an
/// order again after it.
TEST(ProcessIdempotency, PromisingStatusOfACallThatHasRunIsOutcomeUnknown)
{
    Site site({ 2 });
    site.applyRules();
    for (const auto *status : { "408", "429", "503" }) {
        const auto key = std::string("o-") + status;
        controlServices(site, std::string(R"({"failures":1,"failure_status":)") + status + '}');
        for (const int entry : { 1, 2 }) {
            const auto response = site.postReservation(entry, key);
            EXPECT_EQ(response.status, 502U) << status;
            EXPECT_TRUE(response.contains("\"execution\":\"outcome_unknown\"")) << response.body;
        }
        EXPECT_EQ(reservationRuns(site, key), 1);
        controlServices(site, R"({"failures":0})");
    }
}

TEST(ProcessIdempotency, CallDuringATableOutageIsRefusedAsNotRun)
{
    Site site({ 2 });
    site.applyRules();
    ASSERT_EQ(site.postReservation(1, "o-0").status, 201U);
    site.control("platform", R"({"outage":true})");
    const auto refused = site.postReservation(1, "o-1");
    EXPECT_TRUE(refused.contains("\"execution\":\"not_run\"")) << refused.body;
    EXPECT_EQ(reservationRuns(site, "o-1"), 0);
}

TEST(ProcessIdempotency, LostReplyOfTheTableRunsTheCallOnce)
{
    Site site({ 1 });
    site.applyRules();
    site.control("platform", R"({"lost_replies":1})");
    EXPECT_EQ(site.postReservation(1, "o-1").status, 201U);
    EXPECT_EQ(reservationRuns(site, "o-1"), 1);
}

TEST(ProcessLoads, LoadCompletesOnceWhenItsControllerIsKilled)
{
    Site site({ 3, "5ms", "3s" });
    site.applyRules();
    const auto holder = site.holderOf("placement/0");
    ASSERT_NE(holder, 0);
    const int entry = holder == 1 ? 2 : 1;
    CallResult response;
    std::thread caller([&] { response = site.streamChat(entry, "cartridge-30", 3, seconds(60)); });
    ASSERT_TRUE(Site::eventually([&] {
        for (int n = 1; n <= 9; ++n)
            if (site.control("matcher-" + std::to_string(n), "{}").find("\"loads\":1")
                != std::string::npos)
                return true;
        return false;
    }));
    site.signalController(holder, SIGKILL);
    caller.join();
    if (!response.contains(Done))
        response = site.streamChat(entry, "cartridge-30", 3, seconds(60));
    EXPECT_TRUE(response.contains(Done)) << response.body;
    int loads = 0;
    for (int n = 1; n <= 9; ++n)
        loads += nlohmann::json::parse(site.control("matcher-" + std::to_string(n), "{}"))
                         .at("loads")
                         .get<int>();
    EXPECT_EQ(loads, 1);
}

TEST(ProcessLoads, LeaderPausedPastItsLeaseIsFenced)
{
    Site site;
    site.applyRules();
    const auto holder = site.holderOf("placement/0");
    ASSERT_NE(holder, 0);
    site.signalController(holder, SIGSTOP);
    ASSERT_TRUE(Site::eventually([&] {
        const auto now = site.holderOf("placement/0");
        return now != 0 && now != holder;
    }));
    site.signalController(holder, SIGCONT);
    const int entry = holder == 1 ? 2 : 1;
    EXPECT_TRUE(site.streamChat(entry, "cartridge-31", 3, seconds(60)).contains(Done));
    EXPECT_TRUE(Site::eventually([&] { return site.holderOf("placement/0") != holder; }));
}

TEST(ProcessShutdown, GracefulStopCompletesOpenStreamsAndExitsWithSuccess)
{
    Site site({ 2, "100ms" });
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-01", 2).contains(Done));
    CallResult streamResult;
    std::thread caller([&] { streamResult = site.streamChat(1, "cartridge-01", 50, seconds(60)); });
    std::this_thread::sleep_for(seconds(1));
    site.signalEntry(1, SIGTERM);
    caller.join();
    EXPECT_TRUE(streamResult.contains(Done));
    EXPECT_EQ(site.waitEntry(1), 0);
}

TEST(ProcessShutdown, RolesMoveWithoutRefusalsWhenAControllerStops)
{
    Site site;
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-01", 2).contains(Done));
    const auto holder = site.holderOf("leicester-hifi");
    ASSERT_NE(holder, 0);
    const int entry = holder == 1 ? 2 : 1;
    site.signalController(holder, SIGTERM);
    EXPECT_EQ(site.waitController(holder), 0);
    for (int n = 0; n < 5; ++n) {
        const auto response = site.streamChat(entry, "cartridge-01", 2);
        EXPECT_TRUE(response.contains(Done)) << response.body;
    }
}

TEST(ProcessShutdown, LeavingTargetGetsNoNewRequests)
{
    Site site({ 2 });
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-01", 2).contains(Done));
    std::string leaving;
    for (int n = 1; n <= 9; ++n) {
        const auto name = "matcher-" + std::to_string(n);
        if (site.control(name, "{}").find("\"loads\":1") != std::string::npos)
            leaving = name;
    }
    ASSERT_FALSE(leaving.empty());
    site.control(leaving, R"({"leaving":true})");
    std::this_thread::sleep_for(seconds(3));
    const auto before = nlohmann::json::parse(site.control(leaving, "{}")).at("generations");
    for (int n = 0; n < 6; ++n)
        EXPECT_TRUE(site.streamChat(1 + n % 2, "cartridge-01", 2, seconds(60)).contains(Done));
    EXPECT_EQ(nlohmann::json::parse(site.control(leaving, "{}")).at("generations"), before);
}

TEST(ProcessShutdown, EntryAndControllerOfOneVmStopTogether)
{
    Site site({ 3, "100ms" });
    site.applyRules();
    ASSERT_TRUE(site.streamChat(3, "cartridge-01", 2).contains(Done));
    CallResult streamResult;
    std::thread caller([&] { streamResult = site.streamChat(3, "cartridge-01", 80, seconds(60)); });
    std::this_thread::sleep_for(seconds(1));
    site.signalController(3, SIGTERM);
    site.signalEntry(3, SIGTERM);
    caller.join();
    EXPECT_TRUE(streamResult.contains(Done)) << streamResult.body;
    EXPECT_EQ(site.waitEntry(3), 0);
    EXPECT_EQ(site.waitController(3), 0);
}

/// Replaces every VM in turn while a caller keeps sending requests to the newest entry.
TEST(ProcessShutdown, RollingReplacementUnderLoadFailsNoRequest)
{
    Site site({ 3, "20ms" });
    site.applyRules();
    ASSERT_TRUE(site.streamChat(1, "cartridge-01", 2).contains(Done));
    std::atomic<bool> isFinished = false;
    std::atomic<int> entry = 2;
    std::atomic<int> requestCount = 0;
    std::vector<std::string> failures;
    std::thread caller([&] {
        while (!isFinished) {
            const auto response = site.streamChat(entry, "cartridge-01", 20, seconds(60));
            ++requestCount;
            if (!response.contains(Done))
                failures.push_back(std::to_string(response.status) + ' ' + response.body);
        }
    });
    for (int replaced = 1; replaced <= 3; ++replaced) {
        const int replacement = replaced + 3;
        site.startVm(replacement);
        EXPECT_TRUE(Site::eventually([&] { return site.isReady(replacement); }));
        entry = replacement;
        site.signalEntry(replaced, SIGTERM);
        EXPECT_EQ(site.waitEntry(replaced), 0);
        site.signalController(replaced, SIGTERM);
        EXPECT_EQ(site.waitController(replaced), 0);
    }
    isFinished = true;
    caller.join();
    EXPECT_GT(requestCount, 5);
    EXPECT_TRUE(failures.empty()) << failures.size() << " of " << requestCount
                                  << ", first: " << failures.front();
}
