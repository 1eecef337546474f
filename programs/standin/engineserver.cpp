#include "standin/engineserver.h"

#include "core/digest.h"
#include "standin/common.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace asio = boost::asio;
using nlohmann::json;

namespace bluebell::standin {
namespace {

constexpr std::size_t MaxRefusals = 64;
constexpr Duration UnloadTime = std::chrono::milliseconds(20);
constexpr Duration SlotPollInterval = std::chrono::milliseconds(1);

std::string_view toText(ReplicaState state)
{
    switch (state) {
    case ReplicaState::Loading:
        return "loading";
    case ReplicaState::Resident:
        return "resident";
    case ReplicaState::Unloading:
        break;
    }
    return "unloading";
}

std::string_view toText(CacheTier tier)
{
    switch (tier) {
    case CacheTier::Memory:
        return "memory";
    case CacheTier::Disk:
        return "disk";
    case CacheTier::Remote:
        break;
    }
    return "remote";
}

/// \returns an error response which states that the request was not executed
HttpResponse notRunResponse(std::string_view reason)
{
    auto response = jsonResponse(503, { { "error", reason } });
    response.headers.push_back({ "Execution", "not_run" });
    return response;
}

std::string sseEvent(const json &body)
{
    return "data: " + body.dump() + "\n\n";
}

/// Identifies one attempt of a request.
struct RequestAttempt
{
    std::string request;
    std::uint32_t number = 0;
};

std::string tokenEvent(const RequestAttempt &attempt, std::uint64_t offset,
                       const std::string &token)
{
    return sseEvent({ { "request_id", attempt.request },
                      { "attempt", attempt.number },
                      { "offset", offset },
                      { "token", token } });
}

std::string endEvent(const RequestAttempt &attempt, std::uint64_t length)
{
    return sseEvent({ { "request_id", attempt.request },
                      { "attempt", attempt.number },
                      { "end", length },
                      { "reason", "length" } });
}

/// \returns the event of a token of another request and that of one of an older attempt
std::string foreignTokenEvents(const RequestAttempt &attempt, std::uint64_t offset)
{
    return tokenEvent({ "another", attempt.number }, offset, "crossed ")
            + tokenEvent({ attempt.request, attempt.number - 1 }, offset, "late ");
}

} // namespace

std::string responseToken(const std::string &prompt, std::uint64_t offset)
{
    static constexpr std::array<std::string_view, 12> Words {
        "stylus", "groove", "tracks", "gently", "the",   "spare",
        "clasp",  "fits",   "your",   "brooch", "hinge", "cartridge",
    };
    const auto hash = stableHash(prompt + '#' + std::to_string(offset));
    return std::string(Words.at(hash % Words.size())) + ' ';
}

EngineServer::EngineServer(asio::io_context &context, WeightStore &store, EngineSettings settings)
    : m_context(context), m_store(store), m_settings(std::move(settings)),
      m_incarnation(randomHex(8)), m_tiers(m_settings.tiers),
      m_server(context, HttpLimits {},
               [this](const HttpRequest &request, HttpResponder &responder) {
                   return handle(request, responder);
               })
{
}

void EngineServer::restart()
{
    ++m_run;
    m_incarnation = randomHex(8);
    m_sequence = 0;
    m_highestEpoch = 0;
    m_replicas.clear();
    m_knownIntents.clear();
    m_refused.clear();
}

bool EngineServer::isResident(const ReplicaKey &key) const
{
    const auto it = m_replicas.find(key);
    return it != m_replicas.end() && it->second.state == ReplicaState::Resident;
}

asio::awaitable<void> EngineServer::pause(Duration d)
{
    asio::steady_timer timer(m_context);
    timer.expires_after(d);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> EngineServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    const auto path = pathWithoutQuery(request.path);
    if (path == "/v1/generate") {
        co_await generate(request.body, responder);
        co_return;
    }
    HttpResponse response = jsonErrorResponse(404, "no such call");
    if (path == "/v1/report")
        response = report();
    else if (path == "/v1/orders")
        response = order(request.body);
    else if (path == "/v1/cancel")
        response = cancel(request.body);
    else if (path == "/control")
        response = control(request.body);
    (void)co_await responder.send(std::move(response));
}

HttpResponse EngineServer::report()
{
    json body = { { "incarnation", m_incarnation },  { "sequence", ++m_sequence },
                  { "leaving", m_faults.isLeaving }, { "memory", m_settings.memory },
                  { "running", m_running },          { "waiting", m_waiting },
                  { "replicas", json::array() },     { "tiers", json::object() },
                  { "refused", json::array() } };
    for (const auto &[key, replica] : m_replicas)
        body["replicas"].push_back({ { "replica", toString(key) },
                                     { "state", toText(replica.state) },
                                     { "bytes", replica.bytes },
                                     { "intent", replica.intent.value() },
                                     { "running", replica.running } });
    for (const auto &[model, tier] : m_tiers)
        body["tiers"][model.value()] = toText(tier);
    for (const auto &intent : m_refused)
        body["refused"].push_back(intent.value());
    return jsonResponse(200, body);
}

HttpResponse EngineServer::order(const std::string &body)
{
    const auto it = json::parse(body, nullptr, false);
    if (it.is_discarded())
        return jsonErrorResponse(400, "not JSON");
    const Order order { IntentId(it.at("intent").get<std::string>()),
                        it.at("action") == "load",
                        parseReplicaKey(it.at("replica").get<std::string>()),
                        it.at("bytes").get<Bytes>(),
                        it.at("epoch").get<Epoch>(),
                        it.at("incarnation").get<std::string>() };
    const bool isStale = order.epoch < m_highestEpoch || order.incarnation != m_incarnation;
    if (m_settings.checksFencing && isStale) {
        ++m_counters.staleOrders;
        return jsonErrorResponse(409, "old fencing number");
    }
    m_highestEpoch = std::max(m_highestEpoch, order.epoch);
    if (m_knownIntents.insert(order.intent).second)
        order.isLoad ? startLoad(order) : startUnload(order);
    return jsonResponse(200, { { "accepted", true } });
}

void EngineServer::refuse(const IntentId &intent)
{
    m_refused.push_back(intent);
    if (m_refused.size() > MaxRefusals)
        m_refused.pop_front();
}

Bytes EngineServer::usedBytes() const
{
    Bytes sum = 0;
    for (const auto &[key, replica] : m_replicas)
        sum += replica.bytes;
    return sum;
}

void EngineServer::startLoad(const Order &order)
{
    const bool lacksBaseModel =
            !order.key.adapter.isEmpty() && !isResident({ order.key.model, AdapterId() });
    if (m_replicas.contains(order.key) || lacksBaseModel) {
        refuse(order.intent);
        return;
    }
    ++m_counters.loads;
    m_replicas[order.key] = { ReplicaState::Loading, order.bytes, order.intent, 0 };
    m_counters.peakBytes = std::max(m_counters.peakBytes, usedBytes());
    asio::co_spawn(m_context, load(order, m_run), asio::detached);
}

asio::awaitable<void> EngineServer::load(Order order, std::uint64_t run)
{
    const auto tier = m_tiers.find(order.key.model);
    if (!order.key.adapter.isEmpty())
        co_await m_store.loadAdapter();
    else if (tier == m_tiers.end() || tier->second == CacheTier::Remote)
        co_await m_store.loadModel();
    else
        co_await pause(m_store.settings().modelLoad / (tier->second == CacheTier::Disk ? 4 : 20));
    if (run != m_run)
        co_return;
    const auto it = m_replicas.find(order.key);
    if (it == m_replicas.end())
        co_return;
    if (m_faults.failsLoads) {
        refuse(order.intent);
        m_replicas.erase(it);
        co_return;
    }
    it->second.state = ReplicaState::Resident;
    if (order.key.adapter.isEmpty())
        m_tiers[order.key.model] = CacheTier::Memory;
}

void EngineServer::startUnload(const Order &order)
{
    const auto it = m_replicas.find(order.key);
    if (it == m_replicas.end())
        return;
    if (it->second.running > 0) {
        // The order has no effect while requests run, but can be sent again later.
        m_knownIntents.erase(order.intent);
        return;
    }
    ++m_counters.unloads;
    it->second.state = ReplicaState::Unloading;
    asio::co_spawn(m_context, unload(order, m_run), asio::detached);
}

asio::awaitable<void> EngineServer::unload(Order order, std::uint64_t run)
{
    co_await pause(UnloadTime);
    if (run != m_run)
        co_return;
    m_replicas.erase(order.key);
    if (order.key.adapter.isEmpty())
        m_tiers[order.key.model] = CacheTier::Disk;
}

HttpResponse EngineServer::cancel(const std::string &body)
{
    const auto it = json::parse(body, nullptr, false);
    if (!it.is_discarded() && it.contains("request_id"))
        m_cancelled.insert(it.at("request_id").get<std::string>());
    return jsonResponse(200, json::object());
}

asio::awaitable<void> EngineServer::generate(const std::string &body, HttpResponder &responder)
{
    const auto it = json::parse(body, nullptr, false);
    if (it.is_discarded()) {
        (void)co_await responder.send(jsonErrorResponse(400, "not JSON"));
        co_return;
    }
    const ReplicaKey key { ModelId(it.at("model").get<std::string>()),
                           AdapterId(it.at("adapter").get<std::string>()) };
    if (m_faults.isLeaving || !isResident(key)) {
        (void)co_await responder.send(
                notRunResponse(m_faults.isLeaving ? "leaving" : "not resident"));
        co_return;
    }
    const RequestAttempt attempt { it.at("request_id").get<std::string>(),
                                   it.at("attempt").get<std::uint32_t>() };
    const auto prompt = it.at("prompt").get<std::string>();
    const auto length = std::max<std::uint64_t>(it.at("max_tokens").get<std::uint64_t>(), 1);
    auto offset = it.at("offset").get<std::uint64_t>();
    const auto run = m_run;
    const auto replica = [&]() -> Replica * {
        const auto found = m_replicas.find(key);
        return run == m_run && found != m_replicas.end() ? &found->second : nullptr;
    };
    ++m_counters.generations;
    if (m_faults.lostStarts > 0) {
        --m_faults.lostStarts;
        co_return;
    }
    ++replica()->running;
    ++m_waiting;
    while (m_running >= m_settings.slots)
        co_await pause(SlotPollInterval);
    --m_waiting;
    ++m_running;
    const bool isAffected =
            m_faults.affectedStreams > 0 && (m_faults.cutAfter > 0 || m_faults.silentAfter > 0);
    if (isAffected)
        --m_faults.affectedStreams;
    const auto faults = m_faults;
    HttpResponse head;
    head.contentType = "text/event-stream";
    bool isComplete = co_await responder.begin(std::move(head));
    for (int sent = 0; isComplete && offset < length; ++offset, ++sent) {
        co_await pause(m_settings.tokenInterval);
        if (isAffected && faults.silentAfter > 0 && sent == faults.silentAfter)
            co_await pause(faults.silence);
        const bool isCut = isAffected && faults.cutAfter > 0 && sent >= faults.cutAfter;
        if (isCut || replica() == nullptr || m_cancelled.contains(attempt.request)) {
            isComplete = false;
            break;
        }
        auto chunk = tokenEvent(attempt, offset, responseToken(prompt, offset));
        if (faults.injectsForeignTokens)
            chunk.insert(0, foreignTokenEvents(attempt, offset));
        isComplete = co_await responder.write(std::move(chunk));
    }
    if (isComplete)
        isComplete = co_await responder.write(endEvent(attempt, length));
    --m_running;
    if (auto *found = replica())
        --found->running;
    if (isComplete)
        (void)co_await responder.end();
}

HttpResponse EngineServer::control(const std::string &body)
{
    const auto it = json::parse(body, nullptr, false);
    if (it.is_discarded())
        return jsonErrorResponse(400, "not JSON");
    m_faults.isLeaving = it.value("leaving", m_faults.isLeaving);
    m_faults.failsLoads = it.value("fails_loads", m_faults.failsLoads);
    m_faults.cutAfter = it.value("cut_after", m_faults.cutAfter);
    m_faults.silentAfter = it.value("silent_after", m_faults.silentAfter);
    const auto silence = toMilliseconds(m_faults.silence).count();
    m_faults.silence = std::chrono::milliseconds(it.value("silent_ms", silence));
    m_faults.affectedStreams = it.value("strikes", m_faults.affectedStreams);
    m_faults.lostStarts = it.value("lost_starts", m_faults.lostStarts);
    m_faults.injectsForeignTokens = it.value("crosses_tokens", m_faults.injectsForeignTokens);
    if (it.value("restart", false))
        restart();
    return jsonResponse(200,
                        { { "loads", m_counters.loads },
                          { "unloads", m_counters.unloads },
                          { "stale_orders", m_counters.staleOrders },
                          { "generations", m_counters.generations },
                          { "replicas", m_replicas.size() },
                          { "peak_bytes", m_counters.peakBytes } });
}

} // namespace bluebell::standin
