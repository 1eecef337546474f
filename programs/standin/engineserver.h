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
/// Stand-in of a model engine: loads, adapters, streams with resume and cancel, reports.

namespace bluebell::standin {

struct EngineSettings
{
    Bytes memory = 80ULL << 30U;
    std::uint32_t slots = 8;
    bool checksFencing = true;
    /// Between two tokens of one request on an idle engine.
    Duration tokenInterval = std::chrono::milliseconds(5);
    /// Where checkpoints are cached at the start; all others are remote.
    std::map<ModelId, CacheTier> tiers;
};

/// Faults that tests switch on.
struct EngineFaults
{
    bool isLeaving = false;
    /// Loads fail after their time.
    bool failsLoads = false;
    /// A stream is cut after so many tokens; 0 for never. Counts down with `cuts`.
    int cutAfter = 0;
    /// A stream goes silent after so many tokens; 0 for never.
    int silentAfter = 0;
    /// Streams that the two faults above strike.
    int strikes = 0;
    /// Every token is preceded by one of another request and one of an older attempt.
    bool crossesTokens = false;
};

/// What an engine did, for tests and measurements.
struct EngineAudit
{
    std::uint64_t loads = 0;
    std::uint64_t unloads = 0;
    std::uint64_t staleOrders = 0;
    std::uint64_t generations = 0;
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
    /// Forgets everything, as a restart does.
    void restart();

    [[nodiscard]] const EngineAudit &audit() const noexcept { return m_audit; }
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
    void refuse(const IntentId &intent);
    [[nodiscard]] Bytes usedBytes() const;
    boost::asio::awaitable<void> pause(Duration d);

    boost::asio::io_context &m_context;
    WeightStore &m_store;
    EngineSettings m_settings;
    EngineFaults m_faults;
    EngineAudit m_audit;
    std::uint64_t m_run = 1;
    std::string m_incarnation;
    std::uint64_t m_sequence = 0;
    Epoch m_highestEpoch = 0;
    std::map<ReplicaKey, Replica> m_replicas;
    std::set<IntentId> m_knownIntents;
    std::deque<IntentId> m_refused;
    std::map<ModelId, CacheTier> m_tiers;
    std::set<std::string> m_cancelled;
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    HttpServer m_server;
};

/// \returns token number `offset` of the answer to `prompt`; the same on every engine
[[nodiscard]] std::string answerToken(const std::string &prompt, std::uint64_t offset);

} // namespace bluebell::standin
