#include "freeports.h"
#include "gateway/daemon.h"
#include "gateway/memberrow.h"
#include "http/client.h"
#include "peer/statuslink.h"
#include "platformstandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <limits>
#include <memory>

namespace asio = boost::asio;

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nestedObjects(std::size_t depth)
{
    std::string text;
    for (std::size_t n = 0; n < depth; ++n)
        text += R"({"a":)";
    return text + "1" + std::string(depth, '}');
}

nlohmann::json plainEntry(const Endpoint &address, std::uint64_t sequence)
{
    return { { "Service", "plain" },  { "Address", toString(address) },
             { "Zone", "leicester" }, { "Slots", 8 },
             { "State", "ready" },    { "born", sequence },
             { "Sequence", sequence } };
}

/// Runs a store, targets and one gateway in one thread.
class OddEntriesTest : public ::testing::Test
{
protected:
    OddEntriesTest()
        : store(context, { .readsPerSecond = 10000, .writesPerSecond = 2000 }),
          storeAddress(store.listen({ "127.0.0.1", 0 }).value())
    {
        store.put("op", "config", siteConfig(1).dump());
    }

    TargetStandIn &addTarget(const std::string &id, const std::string &service,
                             std::set<std::string> models = {})
    {
        targets.push_back(std::make_unique<TargetStandIn>(context, store, id, service));
        auto &it = *targets.back();
        it.isEngine = service == "engines";
        it.models = std::move(models);
        addresses[id] = it.listen();
        it.publishEntry();
        return it;
    }

    void startGateway()
    {
        GatewaySettings it;
        it.vm = VmId("vm-1");
        it.dataCentre = DataCentreId("leicester");
        for (auto *endpoint :
             { &it.callers, &it.readiness, &it.directory, &it.control, &it.peers, &it.relay })
            *endpoint = { "127.0.0.1", freePort() };
        it.store = storeAddress;
        it.stopTimeout = 3s;
        it.minTakeoverDelay = 300ms;
        settings = it;
        daemon = std::make_unique<gateway::Daemon>(context, std::move(it));
        ASSERT_TRUE(daemon->start());
        ASSERT_TRUE(runUntil([&] { return request("/open/x", {}) == 200 || targets.empty(); }));
    }

    ::testing::AssertionResult runUntil(const std::function<bool()> &condition, Duration limit = 8s)
    {
        const auto end = BootClock::now() + limit;
        while (!condition()) {
            if (BootClock::now() > end)
                return ::testing::AssertionFailure() << "the condition did not hold in time";
            if (context.stopped())
                context.restart();
            context.run_for(1ms);
        }
        return ::testing::AssertionSuccess();
    }

    void run(Duration length)
    {
        const auto end = BootClock::now() + length;
        (void)runUntil([&] { return BootClock::now() > end; }, length + 1s);
    }

    using Reply = std::optional<Result<HttpResponse>>;

    std::shared_ptr<Reply> send(const std::string &path, std::vector<HttpHeader> headers)
    {
        HttpCall call;
        call.endpoint = settings.callers;
        call.request = { "POST", path, std::move(headers), "{}" };
        call.request.headers.push_back({ "Host", "shop.example" });
        call.request.headers.push_back({ "X-Attempt-Id", "a" + std::to_string(++attempts) });
        call.request.headers.push_back({ "Authorization", "Bearer key-1" });
        call.timeout = 10s;
        auto reply = std::make_shared<Reply>();
        auto exchangeInto = [](std::shared_ptr<Reply> out, HttpCall it) -> asio::awaitable<void> {
            *out = co_await exchange(std::move(it));
        };
        asio::co_spawn(context, exchangeInto(reply, std::move(call)), asio::detached);
        return reply;
    }

    /// \returns the status of the response, or 0 if there was none
    unsigned request(const std::string &path, std::vector<HttpHeader> headers)
    {
        const auto reply = send(path, std::move(headers));
        EXPECT_TRUE(runUntil([&] { return reply->has_value(); }, 12s));
        return *reply && **reply ? (*reply)->value().status : 0;
    }

    asio::io_context context;
    standin::PlatformServer store;
    Endpoint storeAddress;
    std::vector<std::unique_ptr<TargetStandIn>> targets;
    std::map<std::string, Endpoint> addresses;
    GatewaySettings settings;
    std::unique_ptr<gateway::Daemon> daemon;
    int attempts = 0;
};

} // namespace

TEST_F(OddEntriesTest, DeepValuesAreRefusedAndTheOthersFollowed)
{
    constexpr std::size_t Depth = 32000;
    addTarget("p1", "plain");
    auto entry = plainEntry({ "127.0.0.1", 9 }, 1);
    entry["Models"] = "DEEP";
    auto text = entry.dump();
    text.replace(text.find("\"DEEP\""), 6, nestedArrays(Depth));
    for (const auto &deep : { nestedArrays(Depth), nestedObjects(10000), text })
        for (const std::string table : { "servers", "bluebell-members", "bluebell-roles" })
            store.put(table, "deep" + std::to_string(deep.size()), deep);
    store.put("bluebell-roles", "orders", nestedObjects(10000));
    startGateway();
    auto &second = addTarget("p2", "plain");
    EXPECT_TRUE(runUntil([&] { return request("/look/x", {}) == 200 && !second.runs.empty(); }));
    auto next = siteConfig(2);
    next["Tenants"][0]["ApiKeys"] = nlohmann::json::array({ "key-9" });
    store.put("op", "config", next.dump());
    EXPECT_TRUE(runUntil([&] { return request("/look/x", {}) == 401; }));
}

TEST_F(OddEntriesTest, EntryIsFollowedAfterAnOddOneWithHugeNumbers)
{
    auto &target = addTarget("p1", "plain");
    startGateway();
    constexpr auto Huge = std::numeric_limits<std::uint64_t>::max();
    store.put("servers", "p1", plainEntry(addresses["p1"], Huge).dump());
    run(2500ms);
    EXPECT_EQ(request("/look/x", {}), 200U);
    target.publishEntry("draining");
    EXPECT_TRUE(runUntil([&] { return request("/look/x", {}) == 503; }));
    target.publishEntry();
    EXPECT_TRUE(runUntil([&] { return request("/look/x", {}) == 200; }));
}

TEST_F(OddEntriesTest, TimeLeftThatIsTooLargeIsServed)
{
    addTarget("p1", "plain");
    startGateway();
    for (const std::string text :
         { "9223372036854775807", "9223372036855", "99999999999999999999" })
        EXPECT_EQ(request("/look/x", { { "X-Deadline-Ms", text } }), 200U) << text;
}

TEST_F(OddEntriesTest, OddAdapterOfACallerDoesNotStopTheOrders)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.onDisk = { "m0", "m1", "m2" };
    addTarget("p1", "plain");
    startGateway();
    EXPECT_GE(request("/chat/x", { { "X-Model", "m0/\xff" }, { "X-Deadline-Ms", "1500" } }), 400U);
    EXPECT_EQ(request("/chat/x", { { "X-Model", "m1" } }), 200U);
}

TEST_F(OddEntriesTest, LeaderRecordWithAnAbsurdDelayDoesNotStopTheOrders)
{
    store.put("bluebell-roles", "orders",
              R"({"vm":"vm-9","incarnation":"i9","epoch":3,"turn_left_ms":9000000000000,)"
              R"("released":true})");
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.onDisk = { "m0", "m1", "m2" };
    addTarget("p1", "plain");
    startGateway();
    run(1500ms);
    EXPECT_EQ(request("/chat/x", { { "X-Model", "m1" } }), 200U);
}

TEST_F(OddEntriesTest, RequestThatThrowsLeavesNothingBehind)
{
    addTarget("p1", "plain");
    HttpServer server(
            context, HttpLimits(),
            [&](const HttpRequest &call, HttpResponder &responder) -> asio::awaitable<void> {
                HttpResponse head;
                head.contentType = "text/event-stream";
                head.headers = { { "X-Attempt-Id", std::string(call.header("X-Attempt-Id")) },
                                 { "X-Server-Seal", "seal" } };
                (void)co_await responder.begin(std::move(head));
                (void)co_await responder.write("id: " + std::string(70000, '1') + "\ndata: t\n\n");
            });
    const auto address = toString(server.listen({ "127.0.0.1", 0 }).value());
    store.put("servers", "e1",
              R"({"Service":"engines","Address":")" + address
                      + R"(","Zone":"leicester","Slots":8,"State":"ready","born":1,"Sequence":1,)"
                        R"("Models":[{"Name":"m0","Adapters":[]}]})");
    startGateway();
    const auto reply = send("/review/x", { { "X-Model", "m0" } });
    EXPECT_TRUE(runUntil([&] { return reply->has_value(); }));
    auto next = siteConfig(2);
    next["Tenants"][0]["ApiKeys"] = nlohmann::json::array({ "key-9" });
    store.put("op", "config", next.dump());
    EXPECT_TRUE(runUntil([&] { return request("/look/x", {}) == 401; }));
    daemon->requestStop();
    EXPECT_TRUE(runUntil([&] { return context.stopped(); }));
    EXPECT_TRUE(daemon->stoppedGracefully());
}

TEST_F(OddEntriesTest, RequestThatThrowsIsAnswered)
{
    auto &target = addTarget("p1", "plain");
    startGateway();
    auto next = siteConfig(2);
    next["Tenants"][0]["Name"] = std::string(70000, 'x');
    store.put("op", "config", next.dump());
    run(500ms);
    const auto before = target.runs.size();
    EXPECT_EQ(request("/look/x", {}), 502U);
    EXPECT_EQ(target.runs.size(), before);
    next["Version"] = 3;
    next["Tenants"][0]["Name"] = "leicester-hifi";
    store.put("op", "config", next.dump());
    EXPECT_TRUE(runUntil([&] { return request("/look/x", {}) == 200; }));
}

TEST_F(OddEntriesTest, ConfiguredTimeThatIsTooLargeIsServed)
{
    addTarget("p1", "plain");
    startGateway();
    auto next = siteConfig(2);
    for (auto &it : next["Routes"])
        it["TimeoutMs"] = 1e300;
    store.put("op", "config", next.dump());
    run(500ms);
    EXPECT_EQ(request("/look/x", {}), 200U);
}

TEST_F(OddEntriesTest, DeepTargetListOfAPeerIsRefused)
{
    addTarget("p1", "plain");
    int fetches = 0;
    HttpServer server(context, HttpLimits(),
                      [&](const HttpRequest &, HttpResponder &responder) -> asio::awaitable<void> {
                          ++fetches;
                          HttpResponse response;
                          response.body =
                                  R"({"entries":{},"version":)" + nestedArrays(500000) + "}";
                          (void)co_await responder.send(std::move(response));
                      });
    FleetMember peer { VmId("vm-2"), IncarnationId("i2"), DataCentreId("leicester"), {}, {}, {} };
    peer.callers = peer.peers = { "127.0.0.1", freePort() };
    peer.control = server.listen({ "127.0.0.1", 0 }).value();
    store.put("bluebell-members", "vm-2", gateway::encodeMember(peer));
    startGateway();
    run(1s);
    auto cutOff = settings;
    cutOff.store = { "127.0.0.1", freePort() };
    daemon->applySettings(cutOff);
    StatusLink link(context.get_executor(), [](const DaemonStatus &) {});
    ASSERT_TRUE(link.open(peer.peers));
    DaemonStatus status;
    status.vm = peer.vm;
    status.incarnation = peer.incarnation;
    status.isReady = true;
    status.registryVersion = 1000;
    EXPECT_TRUE(runUntil([&] {
        status.uptime += 100ms;
        link.send({ settings.peers }, status);
        run(100ms);
        return fetches > 1;
    }));
    EXPECT_EQ(request("/look/x", {}), 200U);
}
