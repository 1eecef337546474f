#pragma once

#include "freeports.h"
#include "gateway/daemon.h"
#include "http/client.h"
#include "platformstandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <functional>
#include <memory>

/// \file
/// Fixture for tests of gateways with a store and targets on the loopback interface.

namespace bluebell::testing {

using namespace std::chrono_literals;

inline GatewaySettings settingsOf(const std::string &vm, const Endpoint &store)
{
    GatewaySettings it;
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

inline constexpr standin::PlatformLimits StoreLimits { .readsPerSecond = 10000,
                                                       .writesPerSecond = 2000 };

/// A gateway with its own event loop, so that a test can suspend it.
struct GatewayProcess
{
    explicit GatewayProcess(GatewaySettings settings) : daemon(context, std::move(settings)) { }

    boost::asio::io_context context;
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
        auto exchangeInto = [](std::shared_ptr<Reply> out,
                               HttpCall call) -> boost::asio::awaitable<void> {
            out->result = co_await exchange(std::move(call));
        };
        boost::asio::co_spawn(
                context,
                exchangeInto(reply,
                             callTo(settings[gateway].callers, path, key, std::move(headers))),
                boost::asio::detached);
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
        auto exchangeInto = [](std::shared_ptr<Reply> out,
                               HttpCall it) -> boost::asio::awaitable<void> {
            out->result = co_await exchange(std::move(it));
        };
        boost::asio::co_spawn(context, exchangeInto(reply, std::move(call)), boost::asio::detached);
        EXPECT_TRUE(runUntil([&] { return reply->result.has_value(); }));
        lastBody = reply->body();
        return reply->status();
    }

    ::testing::AssertionResult awaitReady(std::size_t gateway)
    {
        return runUntil(
                [&] { return requestSystem(settings[gateway].readiness, "/-/ready") == 200; });
    }

    boost::asio::io_context context;
    standin::PlatformServer store;
    Endpoint storeAddress;
    std::vector<std::unique_ptr<TargetStandIn>> targets;
    std::vector<GatewaySettings> settings;
    std::vector<std::unique_ptr<GatewayProcess>> processes;
    std::string lastBody;
    int attempts = 0;
};

inline const std::vector<HttpHeader> ModelZero { { "X-Model", "m0" },
                                                 { "X-Token-Counts", "10,20" } };
inline const std::vector<HttpHeader> ModelOne { { "X-Model", "m1" },
                                                { "X-Token-Counts", "10,20" } };
inline const std::string FiveEvents = "id: 1\ndata: t\n\nid: 2\ndata: t\n\nid: 3\ndata: t\n\n"
                                      "id: 4\ndata: t\n\nid: 5\ndata: t\n\n";

} // namespace bluebell::testing
