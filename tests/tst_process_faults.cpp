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

namespace {

const std::string Done = "data: [DONE]";

int orderRuns(const Site &site, const std::string &key)
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

TEST(ProcessConfig, RacingOperatorsGetOneAcceptanceAndOneConflict)
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
    const auto &loser = results[0].exitCode == 0 ? results[1] : results[0];
    const auto &winner = results[0].exitCode == 0 ? results[0] : results[1];
    EXPECT_EQ(winner.exitCode, 0) << winner.output;
    EXPECT_EQ(loser.exitCode, 4) << loser.output;
    EXPECT_THAT(loser.output, HasSubstr("+ class "));
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

TEST(ProcessConfig, WithdrawnKeyStopsOpenStreamsAlsoDuringAnOutage)
{
    Site site({ 3, "100ms" });
    site.applyRules();
    ASSERT_TRUE(site.ask(1, "cartridge-01", 2).contains(Done));
    site.control("platform", R"({"outage":true})");
    std::this_thread::sleep_for(seconds(6));
    // Served through the outage while a majority of the daemons agrees.
    EXPECT_TRUE(site.ask(2, "cartridge-01", 2).contains(Done));
    CallResult open;
    std::thread caller([&] { open = site.ask(1, "cartridge-01", 300, seconds(60)); });
    std::this_thread::sleep_for(seconds(2));
    const auto begin = steady_clock::now();
    EXPECT_EQ(site.ctl({ "key", "withdraw", site.key() }).exitCode, 0);
    const auto accepted = steady_clock::now();
    caller.join();
    EXPECT_LT(steady_clock::now() - begin, seconds(10));
    EXPECT_FALSE(open.contains(Done));
    EXPECT_TRUE(open.contains("key_withdrawn")) << open.body;
    // Refused everywhere within the stated bound; what begins before that is cut.
    CallResult late;
    EXPECT_TRUE(Site::eventually([&] {
        late = site.ask(3, "cartridge-01", 300);
        return late.status == 401U || late.contains(Done);
    }));
    EXPECT_EQ(late.status, 401U) << late.body;
    EXPECT_LT(steady_clock::now() - accepted, seconds(4));
    // Written to the table once it is back.
    site.control("platform", R"({"outage":false})");
    EXPECT_TRUE(Site::eventually(
            [&] { return site.ctl({ "get" }).output.find("\nkey ") == std::string::npos; }));
}

TEST(ProcessConfig, WithdrawnKeyStopsAQueuedRequest)
{
    Site site({ 1, "5ms", "30s" });
    site.applyRules();
    CallResult queued;
    std::thread caller([&] { queued = site.ask(1, "cartridge-40", 2, seconds(60)); });
    std::this_thread::sleep_for(seconds(1));
    EXPECT_EQ(site.ctl({ "key", "withdraw", site.key() }).exitCode, 0);
    caller.join();
    EXPECT_EQ(queued.status, 401U);
    EXPECT_TRUE(queued.contains("key_withdrawn")) << queued.body;
    EXPECT_TRUE(queued.contains("not_run")) << queued.body;
}

/// While a daemon cannot confirm its configuration an open stream waits; it is not cut.
TEST(ProcessConfig, OpenStreamOutlivesACutOffAndArrivesWhole)
{
    Site site({ 3, "100ms" });
    site.applyRules();
    ASSERT_TRUE(site.ask(1, "cartridge-01", 2).contains(Done));
    CallResult open;
    std::thread caller([&] { open = site.ask(1, "cartridge-01", 100, seconds(60)); });
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
    EXPECT_TRUE(open.contains(Done)) << open.body;
    EXPECT_TRUE(open.isWhole);
}

TEST(ProcessConfig, DaemonStartedInAnOutageTakesTheConfigurationFromPeers)
{
    Site site;
    site.applyRules();
    site.control("platform", R"({"outage":true})");
    site.startVm(4);
    EXPECT_TRUE(Site::eventually([&] { return site.isReady(4); }));
}

TEST(ProcessConfig, DaemonCutOffFromEveryoneServesNothing)
{
    Site site;
    site.applyRules();
    ASSERT_TRUE(site.ask(1, "cartridge-01", 2).contains(Done));
    site.control("platform", R"({"outage":true})");
    site.signalController(2, SIGSTOP);
    site.signalController(3, SIGSTOP);
    EXPECT_TRUE(Site::eventually([&] { return !site.isReady(1); }));
    const auto refused = site.ask(1, "cartridge-01", 2);
    EXPECT_EQ(refused.status, 503U);
    EXPECT_TRUE(refused.contains("not_run"));
}

TEST(ProcessOrders, EntryKilledInTheMiddleOfAnOrderNeverRunsItAgain)
{
    Site site({ 2 });
    site.applyRules();
    controlServices(site, R"({"delay_ms":3000})");
    std::thread caller([&] { (void)site.order(1, "o-1"); });
    ASSERT_TRUE(Site::eventually([&] { return orderRuns(site, "o-1") == 1; }));
    site.signalEntry(1, SIGKILL);
    caller.join();
    controlServices(site, R"({"delay_ms":0})");
    const auto repeat = site.order(2, "o-1");
    EXPECT_EQ(repeat.status, 409U) << repeat.body;
    EXPECT_TRUE(repeat.contains("outcome_unknown"));
    EXPECT_TRUE(Site::eventually([&] { return site.order(2, "o-1").status == 502U; }));
    EXPECT_EQ(orderRuns(site, "o-1"), 1);
}

TEST(ProcessOrders, LostReplyIsOutcomeUnknownAndAStatedRefusalIsNotRun)
{
    Site site({ 2 });
    site.applyRules();
    controlServices(site, R"({"lost_replies":1})");
    const auto lost = site.order(1, "o-1");
    EXPECT_EQ(lost.status, 502U);
    EXPECT_TRUE(lost.contains("\"execution\":\"outcome_unknown\"")) << lost.body;
    controlServices(site, R"({"lost_replies":0})");
    EXPECT_EQ(site.order(2, "o-1").status, 502U);
    EXPECT_EQ(orderRuns(site, "o-1"), 1);
    controlServices(site, R"({"refusals":1})");
    EXPECT_TRUE(site.order(1, "o-2").contains("\"execution\":\"not_run\""));
    EXPECT_EQ(orderRuns(site, "o-2"), 0);
    controlServices(site, R"({"refusals":0})");
    EXPECT_EQ(site.order(2, "o-2").status, 201U);
}

TEST(ProcessOrders, WithoutTheTableAnOrderIsRefusedAsNotRun)
{
    Site site({ 2 });
    site.applyRules();
    ASSERT_EQ(site.order(1, "o-0").status, 201U);
    site.control("platform", R"({"outage":true})");
    const auto refused = site.order(1, "o-1");
    EXPECT_TRUE(refused.contains("\"execution\":\"not_run\"")) << refused.body;
    EXPECT_EQ(orderRuns(site, "o-1"), 0);
}

TEST(ProcessOrders, LostReplyOfTheTableRunsTheOrderOnce)
{
    Site site({ 1 });
    site.applyRules();
    site.control("platform", R"({"lost_replies":1})");
    EXPECT_EQ(site.order(1, "o-1").status, 201U);
    EXPECT_EQ(orderRuns(site, "o-1"), 1);
}

TEST(ProcessLoads, ControllerKilledDuringALoadIsSucceeded)
{
    Site site({ 3, "5ms", "3s" });
    site.applyRules();
    const auto holder = site.holderOf("placement/0");
    ASSERT_NE(holder, 0);
    const int entry = holder == 1 ? 2 : 1;
    CallResult answer;
    std::thread caller([&] { answer = site.ask(entry, "cartridge-30", 3, seconds(60)); });
    ASSERT_TRUE(Site::eventually([&] {
        for (int n = 1; n <= 9; ++n)
            if (site.control("matcher-" + std::to_string(n), "{}").find("\"loads\":1")
                != std::string::npos)
                return true;
        return false;
    }));
    site.signalController(holder, SIGKILL);
    caller.join();
    if (!answer.contains(Done))
        answer = site.ask(entry, "cartridge-30", 3, seconds(60));
    EXPECT_TRUE(answer.contains(Done)) << answer.body;
    int loads = 0;
    for (int n = 1; n <= 9; ++n)
        loads += nlohmann::json::parse(site.control("matcher-" + std::to_string(n), "{}"))
                         .at("loads")
                         .get<int>();
    EXPECT_EQ(loads, 1);
}

TEST(ProcessLoads, HolderPausedPastItsLeaseIsFenced)
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
    EXPECT_TRUE(site.ask(entry, "cartridge-31", 3, seconds(60)).contains(Done));
    EXPECT_TRUE(Site::eventually([&] { return site.holderOf("placement/0") != holder; }));
}

TEST(ProcessStops, PlannedStopCutsNoStreamAndExitsWithSuccess)
{
    Site site({ 2, "100ms" });
    site.applyRules();
    ASSERT_TRUE(site.ask(1, "cartridge-01", 2).contains(Done));
    CallResult open;
    std::thread caller([&] { open = site.ask(1, "cartridge-01", 50, seconds(60)); });
    std::this_thread::sleep_for(seconds(1));
    site.signalEntry(1, SIGTERM);
    caller.join();
    EXPECT_TRUE(open.contains(Done));
    EXPECT_EQ(site.waitEntry(1), 0);
}

TEST(ProcessStops, RolesMoveWithoutARefusalWhenAControllerLeaves)
{
    Site site;
    site.applyRules();
    ASSERT_TRUE(site.ask(1, "cartridge-01", 2).contains(Done));
    const auto holder = site.holderOf("leicester-hifi");
    ASSERT_NE(holder, 0);
    const int entry = holder == 1 ? 2 : 1;
    site.signalController(holder, SIGTERM);
    EXPECT_EQ(site.waitController(holder), 0);
    for (int n = 0; n < 5; ++n) {
        const auto answer = site.ask(entry, "cartridge-01", 2);
        EXPECT_TRUE(answer.contains(Done)) << answer.body;
    }
}

TEST(ProcessStops, LeavingTargetGetsNoNewWork)
{
    Site site({ 2 });
    site.applyRules();
    ASSERT_TRUE(site.ask(1, "cartridge-01", 2).contains(Done));
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
        EXPECT_TRUE(site.ask(1 + n % 2, "cartridge-01", 2, seconds(60)).contains(Done));
    EXPECT_EQ(nlohmann::json::parse(site.control(leaving, "{}")).at("generations"), before);
}

TEST(ProcessStops, EntryAndControllerOfOneVmStopTogether)
{
    Site site({ 3, "100ms" });
    site.applyRules();
    ASSERT_TRUE(site.ask(3, "cartridge-01", 2).contains(Done));
    CallResult open;
    std::thread caller([&] { open = site.ask(3, "cartridge-01", 80, seconds(60)); });
    std::this_thread::sleep_for(seconds(1));
    site.signalController(3, SIGTERM);
    site.signalEntry(3, SIGTERM);
    caller.join();
    EXPECT_TRUE(open.contains(Done)) << open.body;
    EXPECT_EQ(site.waitEntry(3), 0);
    EXPECT_EQ(site.waitController(3), 0);
}

/// Every VM is replaced in turn while callers go on; they use the entries that are named to them.
TEST(ProcessStops, RollingReplacementUnderLoadCutsAndRefusesNothing)
{
    Site site({ 3, "20ms" });
    site.applyRules();
    ASSERT_TRUE(site.ask(1, "cartridge-01", 2).contains(Done));
    std::atomic<bool> isOver = false;
    std::atomic<int> entry = 2;
    std::atomic<int> asked = 0;
    std::vector<std::string> failures;
    std::thread caller([&] {
        while (!isOver) {
            const auto answer = site.ask(entry, "cartridge-01", 20, seconds(60));
            ++asked;
            if (!answer.contains(Done))
                failures.push_back(std::to_string(answer.status) + ' ' + answer.body);
        }
    });
    for (int old = 1; old <= 3; ++old) {
        const int fresh = old + 3;
        site.startVm(fresh);
        EXPECT_TRUE(Site::eventually([&] { return site.isReady(fresh); }));
        entry = fresh;
        site.signalEntry(old, SIGTERM);
        EXPECT_EQ(site.waitEntry(old), 0);
        site.signalController(old, SIGTERM);
        EXPECT_EQ(site.waitController(old), 0);
    }
    isOver = true;
    caller.join();
    EXPECT_GT(asked, 5);
    EXPECT_TRUE(failures.empty()) << failures.size() << " of " << asked
                                  << ", first: " << failures.front();
}
