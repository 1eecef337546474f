#include "platformstandin.h"

#include "core/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace asio = boost::asio;

namespace bluebell::testing {
namespace {

using nlohmann::json;

HttpResponse statusOnly(unsigned status)
{
    HttpResponse response;
    response.status = status;
    response.body = "{}";
    return response;
}

} // namespace

TargetStandIn::TargetStandIn(asio::io_context &context, standin::PlatformServer &store,
                             std::string id, std::string service)
    : m_context(context), m_store(store), m_id(std::move(id)), m_service(std::move(service))
{
    createServer();
}

void TargetStandIn::createServer()
{
    m_server = std::make_unique<HttpServer>(
            m_context, HttpLimits(), [this](const HttpRequest &request, HttpResponder &responder) {
                return handle(request, responder);
            });
}

bool TargetStandIn::isDeadly(const HttpRequest &request) const
{
    const auto parts = request.header("X-Prompt-Prefix");
    return !behaviour.deadlyPart.empty() && parts.find(behaviour.deadlyPart) != parts.npos;
}

void TargetStandIn::crash()
{
    ++crashes;
    auto restart = [](TargetStandIn &self) -> asio::awaitable<void> {
        self.stop();
        co_await sleepFor(self.behaviour.restartTime);
        self.restart();
    };
    asio::co_spawn(m_context, restart(*this), asio::detached);
}

Endpoint TargetStandIn::listen()
{
    m_address = m_server->listen({ "127.0.0.1", 0 }).value();
    return m_address;
}

void TargetStandIn::stop()
{
    m_server.reset();
}

void TargetStandIn::restart()
{
    startTimeMs += 1000;
    m_sequence = 0;
    createServer();
    listen();
    publishEntry();
}

json TargetStandIn::state() const
{
    json it = { { "born", startTimeMs }, { "Sequence", m_sequence } };
    if (!isEngine)
        return it;
    it["Models"] = json::array();
    for (const auto &model : models)
        it["Models"].push_back(
                { { "Name", model }, { "Version", 1 }, { "Adapters", json::array() } });
    it["AtHand"] = { { "InMemory", json::array() }, { "OnDisk", json(onDisk) } };
    it["Busy"] = m_isBusy;
    return it;
}

void TargetStandIn::publishEntry(const std::string &stateName)
{
    auto it = state();
    it["Sequence"] = ++m_heartbeat;
    it["Service"] = m_service;
    it["Address"] = toString(m_address);
    it["Zone"] = zone;
    it["Version"] = "v1";
    it["Slots"] = 8;
    it["State"] = stateName;
    it["ColdLeftMs"] = coldLeftMs;
    m_store.put("servers", m_id, it.dump());
}

HttpResponse TargetStandIn::acceptOrder(const std::string &text)
{
    const auto body = json::parse(text);
    if (m_isBusy || body["Expected"] != m_sequence)
        return statusOnly(409);
    ++m_sequence;
    m_isBusy = true;
    const auto name = body["Model"].get<std::string>();
    const bool isLoad = body["Operation"] == "load";
    orders.push_back(body["Operation"].get<std::string>() + " " + name);
    auto execute = [](TargetStandIn &self, std::string model, bool load) -> asio::awaitable<void> {
        co_await sleepFor(load ? self.loadTime : Duration(1000000));
        if (load)
            self.models.insert(model);
        else
            self.models.erase(model);
        self.onDisk.insert(model);
        self.m_isBusy = false;
        self.publishEntry();
    };
    asio::co_spawn(m_context, execute(*this, name, isLoad), asio::detached);
    return statusOnly(202);
}

void TargetStandIn::addNotices(HttpResponse &response) const
{
    if (behaviour.isLeaving)
        response.headers.push_back({ "Server-Leaving", "1" });
    if (!behaviour.retryAfter.empty())
        response.headers.push_back({ "Retry-After", behaviour.retryAfter });
}

HttpResponse TargetStandIn::holdOff(const HttpRequest &request) const
{
    auto response = statusOnly(503);
    response.headers.push_back({ "X-Attempt-Id", std::string(request.header("X-Attempt-Id")) });
    response.headers.push_back({ "X-Server-Seal", "seal-of-" + m_id });
    if (behaviour.statesNotRun)
        response.headers.push_back({ "X-Not-Executed", "1" });
    return response;
}

asio::awaitable<void> TargetStandIn::handle(const HttpRequest &request, HttpResponder &responder)
{
    ++calls;
    HttpResponse response;
    const bool isExpectedTarget = request.header("X-Expect-Instance") == m_id;
    if (!isExpectedTarget) {
        response = statusOnly(421);
    } else if (!behaviour.retryAfter.empty()) {
        response = holdOff(request);
    } else if (request.path == "/-/report") {
        response.body = state().dump();
    } else if (request.path == "/-/order") {
        response = acceptOrder(request.body);
    } else {
        auto running = run(request, responder);
        co_await std::move(running);
        co_return;
    }
    addNotices(response);
    (void)co_await responder.send(std::move(response));
}

asio::awaitable<void> TargetStandIn::awaitEndOfSilence()
{
    while (BootClock::now() < behaviour.silentUntil)
        co_await sleepFor(behaviour.silentUntil - BootClock::now());
}

void TargetStandIn::notify(TargetStep step, const std::string &attempt) const
{
    if (observer)
        observer(step, attempt);
}

asio::awaitable<void> TargetStandIn::run(const HttpRequest &request, HttpResponder &responder)
{
    auto response = statusOnly(200);
    const auto attempt = std::string(request.header("X-Attempt-Id"));
    if (!behaviour.omitsAttemptId)
        response.headers.push_back(
                { "X-Attempt-Id", behaviour.usesWrongAttemptId ? "another" : attempt });
    addNotices(response);
    const auto model = std::string(request.header("X-Model"));
    notify(TargetStep::Received, attempt);
    if (behaviour.isFull || (isEngine && !models.contains(model))) {
        response.status = behaviour.isFull ? 503 : 421;
        response.headers.push_back({ "X-Not-Executed", "1" });
        ++refusals;
        notify(TargetStep::Refused, attempt);
        (void)co_await responder.send(std::move(response));
        co_return;
    }
    runs.push_back(attempt);
    notify(TargetStep::Executing, attempt);
    lastHeaders = request.headers;
    co_await sleepFor(behaviour.headDelay + behaviour.workDuration);
    co_await awaitEndOfSilence();
    if (behaviour.dropsRequests)
        co_return;
    response.headers.push_back({ "X-Server-Seal", "seal-of-" + m_id });
    if (behaviour.failureStatus != 0)
        response.status = behaviour.failureStatus;
    response.body = "answer of " + m_id;
    const bool isResumed = !request.header("Last-Event-Id").empty();
    if (isResumed && !resume(response)) {
        (void)co_await responder.send(std::move(response));
        co_return;
    }
    if (isEngine && response.status == 200) {
        auto streaming = stream(request, std::move(response), responder);
        co_await std::move(streaming);
        co_return;
    }
    const bool isSent = co_await responder.send(std::move(response));
    notify(isSent ? TargetStep::Finished : TargetStep::Disconnected, attempt);
}

bool TargetStandIn::resume(HttpResponse &response) const
{
    switch (behaviour.resumption) {
    case Resumption::Fails:
        response.status = 500;
        return false;
    case Resumption::IsUnknown:
        response.status = 404;
        return false;
    case Resumption::SendsText:
        response.contentType = "text/plain";
        response.body += "\n\n";
        return false;
    default:
        return true;
    }
}

int TargetStandIn::firstEvent(const HttpRequest &request) const
{
    const auto last = request.header("Last-Event-Id");
    if (last.empty() || behaviour.resumption == Resumption::RepeatsEvents)
        return 1;
    const auto next = std::stoi(std::string(last)) + 1;
    return behaviour.resumption == Resumption::SkipsAnEvent ? next + 1 : next;
}

asio::awaitable<void> TargetStandIn::stream(const HttpRequest &request, HttpResponse head,
                                            HttpResponder &responder)
{
    head.contentType = "text/event-stream";
    const auto attempt = std::string(request.header("X-Attempt-Id"));
    const bool hasBegun = co_await responder.begin(std::move(head));
    if (!hasBegun) {
        notify(TargetStep::Disconnected, attempt);
        co_return;
    }
    if (isDeadly(request)) {
        co_await sleepFor(behaviour.workDuration);
        crash();
        co_await sleepFor(behaviour.restartTime);
        co_return;
    }
    int sent = 0;
    for (int n = firstEvent(request); n <= events; ++n) {
        if (behaviour.cutAfterEvents > 0 && sent == behaviour.cutAfterEvents) {
            // A crash may cut the stream in the middle of an event.
            (void)co_await responder.write("id: " + std::to_string(n) + "\nda");
            co_return;
        }
        co_await awaitEndOfSilence();
        const bool isSent = co_await responder.write("id: " + std::to_string(n) + "\ndata: t\n\n");
        if (!isSent) {
            notify(TargetStep::Disconnected, attempt);
            co_return;
        }
        ++sent;
        co_await sleepFor(behaviour.workDuration);
        if (sent == behaviour.silentAfterEvents)
            co_await sleepFor(behaviour.silence);
    }
    const bool hasEnded = co_await responder.end();
    notify(hasEnded ? TargetStep::Finished : TargetStep::Disconnected, attempt);
}

json siteConfig(std::uint64_t version, int models)
{
    const auto route = [](const std::string &name, const std::string &kind,
                          const std::string &service) {
        return json {
            { "Name", name },       { "Host", "shop.example" }, { "Prefix", "/" + name + "/" },
            { "Kind", kind },       { "TimeoutMs", 5000 },      { "LatencyGoalMs", 300 },
            { "Priority", 1 },      { "Service", service },     { "MaxAttempts", 1 },
            { "Anonymous", false }, { "Resumable", false },     { "GapAimMs", 250 }
        };
    };
    auto review = route("review", "streaming", "engines");
    review["Resumable"] = true;
    review["MaxAttempts"] = 3;
    auto look = route("look", "idempotent", "plain");
    look["MaxAttempts"] = 2;
    auto open = route("open", "idempotent", "plain");
    open["Anonymous"] = true;
    json engine = { { "Slots", 8 },
                    { "WeightsMb", 130000 },
                    { "AdapterSlots", 2 },
                    { "LoadsPerS", 3.0 },
                    { "Models", json::array() } };
    for (int n = 0; n < models; ++n)
        engine["Models"].push_back({ { "Name", "m" + std::to_string(n) },
                                     { "WeightsMb", 60000 },
                                     { "LoadS", 0.1 },
                                     { "WarmS", 0.1 },
                                     { "DiskS", 0.1 },
                                     { "Adapters", 0 },
                                     { "AdapterMb", 10 } });
    return { { "Version", version },
             { "Routes",
               json::array({ route("chat", "streaming", "engines"), review,
                             route("order", "non_idempotent", "plain"), look, open }) },
             { "Services",
               json::array({ { { "Name", "engines" }, { "MaxConns", 100 }, { "Engine", engine } },
                             { { "Name", "plain" }, { "MaxConns", 100 } } }) },
             { "Tenants",
               json::array({ { { "Name", "leicester-hifi" },
                               { "ApiKeys", json::array({ "key-1" }) } } }) },
             { "Limits",
               { { "HeaderBytes", 16384 },
                 { "MaxBodyBytes", 1048576 },
                 { "HeaderTimeoutMs", 3000 },
                 { "IdleTimeoutMs", 15000 } } } };
}

} // namespace bluebell::testing
