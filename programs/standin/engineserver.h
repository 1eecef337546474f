#pragma once

#include "http/server.h"
#include "placement/ledger.h"
#include "standin/weightstore.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <set>
#include <string>

/// \file
/// Stand-in for a model engine: loads models and adapters, streams tokens with resumption and
/// cancellation, and reports its state.

namespace bluebell::standin {

struct EngineSettings
{
    Bytes memory = 80ULL << 30U;
    /// Requests that run at the same time; further ones wait.
    std::uint32_t slots = 8;
    /// Refuses orders with an old fencing number or for another incarnation.
    bool checksFencing = true;
    /// Time between two tokens of one request.
    Duration tokenInterval = std::chrono::milliseconds(5);
    /// Initial cache tier of models; those not listed are remote.
    std::map<ModelId, CacheTier> tiers;
};

/// Faults that tests inject.
struct EngineFaults
{
    /// Refuses new requests and reports that the engine is leaving.
    bool isLeaving = false;
    /// Loads fail at the end of their load time.
    bool failsLoads = false;
    /// Number of tokens after which a stream is cut; 0 for never.
    int cutAfter = 0;
    /// Number of tokens after which a stream goes silent; 0 for never.
    int silentAfter = 0;
    /// How long such a stream is silent before it goes on.
    Duration silence = std::chrono::minutes(2);
    /// Number of further streams that `cutAfter` and `silentAfter` apply to.
    int affectedStreams = 0;
    /// Number of further generations that begin and whose connection is closed without a response.
    int lostStarts = 0;
    /// Precedes every token by one of another request and one of an older attempt.
    bool injectsForeignTokens = false;
};

/// Counters of an engine since its construction, for tests and measurements.
struct EngineCounters
{
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    /// Orders refused because of `EngineSettings::checksFencing`.
    std::uint64_t staleOrders = 0;
    /// Generations started.
    std::uint64_t generations = 0;
    /// Largest memory that replicas held at one time.
    Bytes peakBytes = 0;
    /// Generations that began while the engine was leaving.
    std::uint64_t startedWhileLeaving = 0;
};

class EngineServer
{
public:
    EngineServer(boost::asio::io_context &context, WeightStore &store, EngineSettings settings);

    Result<Endpoint> listen(const Endpoint &endpoint) { return m_server.listen(endpoint); }

    void setFaults(const EngineFaults &faults) { m_faults = faults; }
    /// Simulates a restart: drops all replicas and orders and takes a new incarnation.
    void restart();

    [[nodiscard]] const EngineCounters &counters() const noexcept { return m_counters; }
    [[nodiscard]] bool isResident(const ReplicaKey &key) const;
    [[nodiscard]] std::uint32_t running() const noexcept { return m_running; }
    [[nodiscard]] std::size_t replicaCount() const noexcept { return m_replicas.size(); }

private:
    struct Replica
    {
        ReplicaState state = ReplicaState::Loading;
        Bytes bytes = 0;
        IntentId intent;
        std::uint32_t running = 0;
    };

    struct Order
    {
        IntentId intent;
        bool isLoad = true;
        ReplicaKey key;
        Bytes bytes = 0;
        Epoch epoch = 0;
        std::string incarnation;
    };

    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> generate(const std::string &body, HttpResponder &responder);
    [[nodiscard]] HttpResponse order(const std::string &body);
    [[nodiscard]] HttpResponse report();
    [[nodiscard]] HttpResponse cancel(const std::string &body);
    [[nodiscard]] HttpResponse control(const std::string &body);
    void startLoad(const Order &order);
    void startUnload(const Order &order);
    boost::asio::awaitable<void> load(Order order, std::uint64_t run);
    boost::asio::awaitable<void> unload(Order order, std::uint64_t run);
    /// Records a refused order for the reports, which list the newest of them.
    void refuse(const IntentId &intent);
    [[nodiscard]] Bytes usedBytes() const;
    boost::asio::awaitable<void> pause(Duration d);

    boost::asio::io_context &m_context;
    WeightStore &m_store;
    EngineSettings m_settings;
    EngineFaults m_faults;
    EngineCounters m_counters;
    /// Incremented by a restart, so that loads and streams of an earlier run end.
    std::uint64_t m_run = 1;
    std::string m_incarnation;
    std::uint64_t m_sequence = 0;
    Epoch m_highestEpoch = 0;
    std::map<ReplicaKey, Replica> m_replicas;
    /// Orders that have been processed; sending one of them again has no effect.
    std::set<IntentId> m_knownIntents;
    std::deque<IntentId> m_refused;
    std::map<ModelId, CacheTier> m_tiers;
    std::set<std::string> m_cancelled;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    HttpServer m_server;
};

/// \returns token number `offset` of the response to `prompt`; the same on every engine
[[nodiscard]] std::string responseToken(const std::string &prompt, std::uint64_t offset);

} // namespace bluebell::standin
