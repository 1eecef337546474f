#include "gateway/daemon.h"
#include "http/client.h"
#include "platformstandin.h"
#include "relay/relaygroups.h"
#include "relay/subscription.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <unistd.h>

namespace asio = boost::asio;

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

/// \returns an unused port of the loopback interface, a different one for each call
///
/// Ports chosen by the system are not used: it may return the same port twice, or assign it to a
/// connection of another test before the gateway listens on it.
std::uint16_t freePort()
{
    constexpr int First = 20000;
    constexpr int Last = 32000;
    constexpr int PortsPerProcess = 125;
    static int next = First + ::getpid() * PortsPerProcess % (Last - First);
    asio::io_context context;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(next);
        next = next + 1 < Last ? next + 1 : First;
        asio::ip::tcp::acceptor acceptor(context);
        boost::system::error_code ec;
        acceptor.open(asio::ip::tcp::v4(), ec);
        acceptor.bind({ asio::ip::make_address("127.0.0.1"), port }, ec);
        if (!ec)
            return port;
    }
}

gateway::GatewaySettings settingsOf(const std::string &vm, const Endpoint &store)
{
    gateway::GatewaySettings it;
    it.vm = VmId(vm);
    it.dataCentre = DataCentreId("leicester");
    for (auto *endpoint :
         { &it.callers, &it.readiness, &it.directory, &it.control, &it.peers, &it.relay })
        *endpoint = { "127.0.0.1", freePort() };
    it.store = store;
    it.stopTimeout = 3s;
    it.minTakeoverDelay = 300ms;
    return it;
}

constexpr standin::PlatformLimits StoreLimits { .readsPerSecond = 10000, .writesPerSecond = 2000 };

/// A gateway with its own event loop, so that a test can suspend it.
struct GatewayProcess
{
    explicit GatewayProcess(gateway::GatewaySettings settings)
        : daemon(context, std::move(settings))
    {
    }

    asio::io_context context;
    gateway::Daemon daemon;
    bool isFrozen = false;
};

/// Runs a store, targets and gateways in one thread.
class GatewayTest : public ::testing::Test
{
protected:
    GatewayTest()
        : store(context, StoreLimits), storeAddress(store.listen({ "127.0.0.1", 0 }).value())
    {
        setConfig(siteConfig(1));
    }

    void setConfig(const nlohmann::json &it) { store.put("op", "config", it.dump()); }

    TargetStandIn &addTarget(const std::string &id, const std::string &service,
                             std::set<std::string> models = {})
    {
        targets.push_back(std::make_unique<TargetStandIn>(context, store, id, service));
        auto &it = *targets.back();
        it.isEngine = service == "engines";
        it.models = std::move(models);
        it.listen();
        it.publishEntry();
        return it;
    }

    gateway::Daemon &addGateway(const std::string &vm)
    {
        settings.push_back(settingsOf(vm, storeAddress));
        processes.push_back(std::make_unique<GatewayProcess>(settings.back()));
        EXPECT_TRUE(processes.back()->daemon.start());
        return processes.back()->daemon;
    }

    /// Runs all event loops, except those of frozen gateways, until `condition` holds.
    ::testing::AssertionResult runUntil(const std::function<bool()> &condition, Duration limit = 8s)
    {
        const auto end = BootClock::now() + limit;
        while (!condition()) {
            if (BootClock::now() > end)
                return ::testing::AssertionFailure() << "the condition did not hold in time";
            if (context.stopped())
                context.restart();
            context.run_for(1ms);
            for (const auto &it : processes)
                if (!it->isFrozen)
                    it->context.poll();
        }
        return ::testing::AssertionSuccess();
    }

    void run(Duration length)
    {
        const auto end = BootClock::now() + length;
        (void)runUntil([&] { return BootClock::now() > end; }, length + 1s);
    }

    struct Reply
    {
        std::optional<Result<HttpResponse>> result;

        [[nodiscard]] unsigned status() const
        {
            return result && *result ? result->value().status : 0;
        }
        [[nodiscard]] std::string body() const
        {
            return result && *result ? result->value().body : std::string();
        }
    };

    HttpCall callTo(const Endpoint &endpoint, const std::string &path, const std::string &key,
                    std::vector<HttpHeader> headers)
    {
        HttpCall call;
        call.endpoint = endpoint;
        call.request.method = "POST";
        call.request.path = path;
        call.request.body = "{}";
        call.request.headers = std::move(headers);
        call.request.headers.push_back({ "Host", "shop.example" });
        call.request.headers.push_back({ "X-Attempt-Id", "a" + std::to_string(++attempts) });
        if (!key.empty())
            call.request.headers.push_back({ "Authorization", "Bearer " + key });
        call.timeout = 10s;
        return call;
    }

    std::shared_ptr<Reply> send(std::size_t gateway, const std::string &path,
                                const std::string &key = "key-1",
                                std::vector<HttpHeader> headers = {})
    {
        auto reply = std::make_shared<Reply>();
        auto exchangeInto = [](std::shared_ptr<Reply> out, HttpCall call) -> asio::awaitable<void> {
            out->result = co_await exchange(std::move(call));
        };
        asio::co_spawn(
                context,
                exchangeInto(reply,
                             callTo(settings[gateway].callers, path, key, std::move(headers))),
                asio::detached);
        return reply;
    }

    unsigned request(std::size_t gateway, const std::string &path, const std::string &key = "key-1",
                     std::vector<HttpHeader> headers = {})
    {
        const auto reply = send(gateway, path, key, std::move(headers));
        EXPECT_TRUE(runUntil([&] { return reply->result.has_value(); }));
        lastBody = reply->body();
        return reply->status();
    }

    unsigned requestSystem(const Endpoint &endpoint, const std::string &path)
    {
        auto reply = std::make_shared<Reply>();
        auto call = callTo(endpoint, path, {}, {});
        call.request.method = "GET";
        auto exchangeInto = [](std::shared_ptr<Reply> out, HttpCall it) -> asio::awaitable<void> {
            out->result = co_await exchange(std::move(it));
        };
        asio::co_spawn(context, exchangeInto(reply, std::move(call)), asio::detached);
        EXPECT_TRUE(runUntil([&] { return reply->result.has_value(); }));
        lastBody = reply->body();
        return reply->status();
    }

    ::testing::AssertionResult awaitReady(std::size_t gateway)
    {
        return runUntil(
                [&] { return requestSystem(settings[gateway].readiness, "/-/ready") == 200; });
    }

    asio::io_context context;
    standin::PlatformServer store;
    Endpoint storeAddress;
    std::vector<std::unique_ptr<TargetStandIn>> targets;
    std::vector<gateway::GatewaySettings> settings;
    std::vector<std::unique_ptr<GatewayProcess>> processes;
    std::string lastBody;
    int attempts = 0;
};

const std::vector<HttpHeader> ModelZero { { "X-Model", "m0" }, { "X-Token-Counts", "10,20" } };
const std::vector<HttpHeader> ModelOne { { "X-Model", "m1" }, { "X-Token-Counts", "10,20" } };
const std::string FiveEvents = "id: 1\ndata: t\n\nid: 2\ndata: t\n\nid: 3\ndata: t\n\n"
                               "id: 4\ndata: t\n\nid: 5\ndata: t\n\n";

} // namespace

TEST_F(GatewayTest, RelaysEachKindOfRequest)
{
    addTarget("e1", "engines", { "m0" });
    auto &plain = addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/chat/x", "key-1", ModelZero), 200U);
    EXPECT_EQ(lastBody, FiveEvents);
    EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_EQ(lastBody, "answer of p1");
    EXPECT_EQ(request(0, "/look/x"), 200U);
    EXPECT_EQ(request(0, "/open/x", ""), 200U);
    EXPECT_EQ(plain.runs.size(), 3U);
}

TEST_F(GatewayTest, DoesNotForwardTheCallersKey)
{
    auto &plain = addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/look/x", "key-1", { { "X-Tenant", "forged" }, { "X-Hold", "7" } }),
              200U);
    HttpRequest seen;
    seen.headers = plain.lastHeaders;
    EXPECT_EQ(seen.header("Authorization"), "");
    EXPECT_EQ(seen.header("X-Hold"), "");
    EXPECT_EQ(seen.header("X-Tenant"), "leicester-hifi");
    EXPECT_EQ(seen.header("X-Expect-Instance"), "p1");
}

TEST_F(GatewayTest, RefusesUnknownKeysAndRoutes)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/look/x", "key-2"), 401U);
    EXPECT_EQ(request(0, "/look/x", ""), 401U);
    EXPECT_EQ(request(0, "/nowhere/x"), 404U);
}

TEST_F(GatewayTest, RespondsUnavailableWithoutAConfiguration)
{
    store.remove("op", "config");
    addGateway("vm-1");
    run(200ms);
    EXPECT_EQ(requestSystem(settings[0].readiness, "/-/ready"), 503U);
    EXPECT_EQ(request(0, "/look/x"), 503U);
}

TEST_F(GatewayTest, ListsTheAddressesOfAllGateways)
{
    addGateway("vm-1");
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_TRUE(runUntil([&] {
        requestSystem(settings[0].directory, "/-/resolve?Name=shop.example&Region=r&Zone=z");
        return nlohmann::json::parse(lastBody)["Addresses"].size() == 2;
    }));
}

TEST_F(GatewayTest, LoadsAColdModelOnceForAllWaitingRequests)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.onDisk = { "m0", "m1", "m2" };
    addGateway("vm-1");
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(0));
    ASSERT_TRUE(awaitReady(1));
    std::vector<std::shared_ptr<Reply>> replies;
    for (int n = 0; n < 6; ++n)
        replies.push_back(send(n % 2, "/chat/x", "key-1", ModelOne));
    for (const auto &it : replies) {
        EXPECT_TRUE(runUntil([&] { return it->result.has_value(); }));
        EXPECT_EQ(it->body(), FiveEvents);
    }
    EXPECT_EQ(std::count(engine.orders.begin(), engine.orders.end(), "load m1"), 1);
}

TEST_F(GatewayTest, RejectsAWithdrawnKey)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/look/x"), 200U);
    auto next = siteConfig(2);
    next["Tenants"][0]["ApiKeys"] = nlohmann::json::array({ "key-9" });
    setConfig(next);
    run(300ms);
    EXPECT_EQ(request(0, "/look/x"), 401U);
    EXPECT_EQ(request(0, "/look/x", "key-9"), 200U);
}

TEST_F(GatewayTest, CancelsAWaitingRequestWhenItsKeyIsWithdrawn)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.onDisk = { "m0", "m1", "m2" };
    engine.loadTime = 1500ms;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto reply = send(0, "/chat/x", "key-1", ModelOne);
    run(200ms);
    auto next = siteConfig(2);
    next["Tenants"][0]["ApiKeys"] = nlohmann::json::array();
    setConfig(next);
    EXPECT_TRUE(runUntil([&] { return reply->result.has_value(); }, 1s));
    EXPECT_EQ(reply->status(), 401U);
    EXPECT_TRUE(engine.runs.empty());
}

/// Regression: streams were cut 4 s after their key was withdrawn, even long before their deadline.
TEST_F(GatewayTest, FinishesARunningStreamAfterItsKeyIsWithdrawn)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.behaviour.workDuration = 1000ms;
    auto first = siteConfig(1);
    first["Routes"][0]["TimeoutMs"] = 12000;
    store.put("op", "config", first.dump());
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto reply = send(0, "/chat/x", "key-1", ModelZero);
    run(300ms);
    auto next = siteConfig(2);
    next["Tenants"][0]["ApiKeys"] = nlohmann::json::array();
    // Later versions must not shorten the deadline again.
    for (int version = 2; version < 8; ++version) {
        next["Version"] = version;
        setConfig(next);
        run(50ms);
    }
    EXPECT_TRUE(runUntil([&] { return reply->result.has_value(); }, 8s));
    EXPECT_EQ(reply->body(), FiveEvents);
}

TEST_F(GatewayTest, IgnoresAnOlderConfiguration)
{
    addTarget("p1", "plain");
    auto first = siteConfig(7);
    first["Routes"][3]["Prefix"] = "/new/";
    setConfig(first);
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    setConfig(siteConfig(6));
    run(200ms);
    EXPECT_EQ(request(0, "/new/x"), 200U);
    EXPECT_EQ(request(0, "/look/x"), 404U);
}

TEST_F(GatewayTest, ResumesAnInterruptedStreamAtAnotherTarget)
{
    auto &first = addTarget("e1", "engines", { "m0" });
    auto &second = addTarget("e2", "engines", { "m0" });
    first.behaviour.cutAfterEvents = 2;
    second.behaviour.cutAfterEvents = 2;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    EXPECT_EQ(request(0, "/review/x", "key-1", ModelZero), 200U);
    EXPECT_EQ(lastBody, FiveEvents);
    EXPECT_EQ(first.runs.size() + second.runs.size(), 3U);
}

TEST_F(GatewayTest, AbortsAnInterruptedStreamThatIsNotResumable)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.behaviour.cutAfterEvents = 2;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto reply = send(0, "/chat/x", "key-1", ModelZero);
    ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }));
    EXPECT_FALSE(*reply->result);
    EXPECT_EQ(engine.runs.size(), 1U);
}

TEST_F(GatewayTest, ExecutesANonIdempotentRequestOnlyOnce)
{
    auto &first = addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    first.behaviour.dropsRequests = true;
    second.behaviour.dropsRequests = true;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_EQ(request(0, "/order/x"), 502U);
    EXPECT_EQ(first.runs.size() + second.runs.size(), 1U);
}

TEST_F(GatewayTest, RefundsTheRateOfRequestsThatDidNotRun)
{
    auto limited = siteConfig(2);
    limited["Tenants"][0]["Unit"] = "token_count";
    limited["Tenants"][0]["RatePerS"] = 1;
    limited["Tenants"][0]["Burst"] = 200;
    setConfig(limited);
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const std::vector<HttpHeader> eighty { { "X-Token-Counts", "60,20" } };
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(request(0, "/order/x", "key-1", eighty), 503U);
    addTarget("p1", "plain");
    run(900ms);
    EXPECT_EQ(request(0, "/order/x", "key-1", eighty), 200U);
    EXPECT_EQ(request(0, "/order/x", "key-1", eighty), 429U);
}

TEST_F(GatewayTest, RetriesANonIdempotentRequestWhenATargetIsFull)
{
    auto &first = addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    first.behaviour.isFull = true;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    for (int n = 0; n < 3; ++n)
        EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_EQ(second.runs.size(), 3U);
    EXPECT_TRUE(first.runs.empty());
}

TEST_F(GatewayTest, RetriesAnIdempotentRequestAfterAFailure)
{
    auto &first = addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    first.behaviour.fails = true;
    second.behaviour.usesWrongAttemptId = true;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto status = request(0, "/look/x");
    EXPECT_TRUE(status == 500U || status == 502U);
    EXPECT_EQ(first.runs.size() + second.runs.size(), 2U);
}

TEST_F(GatewayTest, SendsNoRequestsToADrainingTarget)
{
    auto &first = addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    first.publishEntry("draining");
    run(800ms);
    for (int n = 0; n < 5; ++n)
        EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_TRUE(first.runs.empty());
    EXPECT_EQ(second.runs.size(), 5U);
}

TEST_F(GatewayTest, IgnoresMalformedEntries)
{
    addTarget("p1", "plain");
    store.put("servers", "x1", "not json");
    store.put("servers", "x2", R"({"Service":"plain","Address":7})");
    store.put("servers", "x3",
              R"({"Service":"plain","Address":"127.0.0.1:1","Zone":"z","Slots":1,"State":"odd",)"
              R"("Sequence":1})");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    for (int n = 0; n < 5; ++n)
        EXPECT_EQ(request(0, "/order/x"), 200U);
}

TEST_F(GatewayTest, KeepsServingDuringAStoreOutage)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    store.faults().outage = true;
    run(1500ms);
    EXPECT_EQ(request(0, "/order/x"), 200U);
    store.faults().outage = false;
    auto next = siteConfig(2);
    next["Routes"][3]["Prefix"] = "/new/";
    setConfig(next);
    EXPECT_TRUE(runUntil([&] { return request(0, "/new/x") == 200; }, 3s));
}

TEST_F(GatewayTest, ReadsTheTableAgainWhenTheStoreLosesItsHistory)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    store.compact();
    auto next = siteConfig(2);
    next["Routes"][3]["Prefix"] = "/new/";
    setConfig(next);
    EXPECT_TRUE(runUntil([&] { return request(0, "/new/x") == 200; }, 3s));
}

/// Regression: the end of an outage was noticed only when the complete table was read again, so
/// entries that had expired during the outage were dropped at once.
TEST_F(GatewayTest, KeepsEntriesThatExpiredDuringAnOutageForAGracePeriod)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(900ms);
    store.faults().outage = true;
    run(3500ms);
    store.remove("servers", "p1");
    store.faults().outage = false;
    run(700ms);
    EXPECT_EQ(request(0, "/order/x"), 200U);
    run(2500ms);
    const auto sentAt = BootClock::now();
    EXPECT_EQ(request(0, "/order/x"), 503U);
    EXPECT_LT(BootClock::now() - sentAt, 1s);
}

/// Regression: entries missing after a loss of the change history were kept as if after an outage.
TEST_F(GatewayTest, DropsMissingEntriesAtOnceAfterLostHistory)
{
    addTarget("p1", "plain");
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(3s);
    store.remove("servers", "p1");
    store.compact();
    run(1000ms);
    EXPECT_EQ(request(0, "/order/x"), 503U);
}

TEST_F(GatewayTest, AnotherDaemonTakesOverAsLeader)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.onDisk = { "m0", "m1", "m2" };
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(500ms);
    addGateway("vm-2");
    ASSERT_TRUE(awaitReady(1));
    processes[0]->isFrozen = true;
    EXPECT_TRUE(runUntil([&] { return request(1, "/chat/x", "key-1", ModelOne) == 200; }, 8s));
    EXPECT_NE(store.value("bluebell-roles", "orders").find("vm-2"), std::string::npos);
}

/// Only relays read the store in a fleet of this size; the others hear of changes from them. Relays
/// that stop responding are replaced.
TEST_F(GatewayTest, ALargeFleetFollowsChangesThroughRelays)
{
    constexpr std::size_t Size = Fleet::MaxMeshSize + 4;
    addTarget("p1", "plain");
    auto &second = addTarget("p2", "plain");
    for (std::size_t n = 0; n < Size; ++n)
        addGateway("vm-" + std::to_string(n));
    const auto servesAt = [&](std::size_t gateway, const std::string &path) {
        return request(gateway, path) == 200;
    };
    for (std::size_t n = 0; n < Size; ++n)
        ASSERT_TRUE(awaitReady(n)) << n;
    run(1500ms);
    auto next = siteConfig(2);
    next["Routes"][3]["Prefix"] = "/new/";
    setConfig(next);
    run(1000ms);
    for (std::size_t n = 0; n < Size; ++n)
        EXPECT_TRUE(servesAt(n, "/new/x")) << n;

    std::vector<VmId> vms;
    for (std::size_t n = 0; n < Size; ++n)
        vms.emplace_back("vm-" + std::to_string(n));
    std::vector<RelayCandidate> daemons;
    for (const auto &vm : vms)
        daemons.push_back({ vm, DataCentreId("leicester"), 0 });
    const RelayGroups groups(daemons);
    std::set<VmId> frozen;
    for (std::size_t rank = 0; rank < Subscription::RelayCount; ++rank)
        frozen.insert(groups.ranking(0).at(rank));
    for (std::size_t n = 0; n < Size; ++n)
        processes[n]->isFrozen = frozen.contains(vms[n]);
    run(2500ms);
    second.publishEntry("draining");
    next["Version"] = 3;
    next["Routes"][3]["Prefix"] = "/newer/";
    setConfig(next);
    run(2000ms);
    const auto runsBefore = second.runs.size();
    for (std::size_t n = 0; n < Size; ++n)
        if (!frozen.contains(vms[n])) {
            EXPECT_TRUE(servesAt(n, "/newer/x")) << n;
        }
    EXPECT_EQ(second.runs.size(), runsBefore);
}

TEST_F(GatewayTest, ServesUntilCallersDisconnectAndRemovesItsRowOnStop)
{
    addTarget("p1", "plain");
    auto &daemon = addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    EXPECT_NE(store.value("bluebell-members", "vm-1"), "");
    daemon.requestStop();
    EXPECT_EQ(requestSystem(settings[0].readiness, "/-/ready"), 503U);
    EXPECT_EQ(request(0, "/order/x"), 200U);
    EXPECT_TRUE(runUntil([&] { return store.value("bluebell-members", "vm-1").empty(); }, 4s));
    EXPECT_TRUE(runUntil([&] { return daemon.stoppedGracefully(); }, 4s));
}
