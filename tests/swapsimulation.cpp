#include "tests/swapsimulation.h"

#include "placement/demandtracker.h"
#include "placement/swapplanner.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bluebell::tests {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint Start { std::chrono::seconds(1000) };
constexpr Duration Step = milliseconds(5);
constexpr Duration PlanInterval = milliseconds(25);
constexpr Duration ReportLag = milliseconds(200);
constexpr Duration RunTime = milliseconds(900);
constexpr Duration UnloadTime = milliseconds(50);
constexpr Duration StoreRateWindow = std::chrono::seconds(5);
constexpr std::size_t CopiesInMemory = 2;
/// Number of engines where each busy model is resident at the start.
constexpr int BusyCopies = 3;
const ServiceId Engines("engines");
const VmId Vm("vm-1");

/// Expectations of one kind of caller.
struct CallerKind
{
    int priority;
    Duration goal;
    Duration maxWait;
};

/// A simulated engine, which executes one order at a time.
struct Engine
{
    EngineState state;
    std::map<ModelId, std::uint32_t> running;
    std::optional<PlacementOrder> order;
    TimePoint orderEnd;
    bool isFromStore = false;
    /// Time that the load from the weight store still needs at full speed.
    Duration storeLoadLeft {};
    /// Recent states; reports show the one from ReportLag ago.
    std::deque<std::pair<TimePoint, EngineState>> history;
    /// Copies, the least recently used first.
    std::deque<ModelId> inMemory;
    std::deque<ModelId> onDisk;
};

struct Caller
{
    ModelId model;
    const CallerKind *kind = nullptr;
    CallerReport *report = nullptr;
    TimePoint at;
    WaitId wait = 0;
};

struct RunningRequest
{
    TargetId engine;
    ModelId model;
    TimePoint end;
};

ModelId modelName(int n)
{
    return ModelId("m" + std::to_string(100 + n));
}

/// Simulates the engines and callers; a policy decides on the orders.
class Simulation
{
public:
    explicit Simulation(const SwapSimulationSettings &settings)
        : m_settings(settings),
          m_random(settings.seed), m_chat { 1, settings.chatGoal, std::chrono::seconds(2) },
          m_second { 2, settings.secondGoal, std::chrono::seconds(4) }, m_rare {
              0, settings.rareGoal, std::chrono::seconds(10)
          }
    {
        makeModels();
        makeEngines();
    }

    template<typename Policy>
    SwapSimulationReport run(Policy &policy)
    {
        const auto end = Start + m_settings.warmUp + m_settings.length;
        for (m_now = Start; m_now < end; m_now += Step) {
            advanceStoreLoads();
            finishOrders();
            finishRequests();
            if (m_now >= Start + m_settings.warmUp)
                generateCallers();
            if ((m_now - Start) % PlanInterval == Duration::zero())
                policy.plan(*this);
            serve(policy);
        }
        countUncovered();
        return m_report;
    }

    // Interface for policies.

    [[nodiscard]] TimePoint now() const { return m_now; }
    [[nodiscard]] const EngineSpec &spec() const { return m_spec; }
    [[nodiscard]] const std::map<TargetId, Engine> &engines() const { return m_engines; }
    [[nodiscard]] const std::deque<Caller> &waiting() const { return m_waiting; }
    [[nodiscard]] DemandTracker &demand() { return m_demand; }
    [[nodiscard]] std::vector<ModelInFlight> inFlight() const
    {
        std::vector<ModelInFlight> all;
        for (const auto &[id, engine] : m_engines)
            for (const auto &[model, count] : engine.running)
                if (count > 0)
                    all.push_back({ id, { model, AdapterId() }, count });
        return all;
    }
    [[nodiscard]] EngineState reportOf(const TargetId &id) const
    {
        const auto &history = m_engines.at(id).history;
        auto state = history.front().second;
        for (const auto &[at, it] : history)
            if (at <= m_now - ReportLag)
                state = it;
        return state;
    }
    [[nodiscard]] std::map<TargetId, TargetEntry> entries() const
    {
        std::map<TargetId, TargetEntry> all;
        for (const auto &[id, engine] : m_engines) {
            TargetEntry entry;
            entry.id = id;
            entry.service = Engines;
            entry.slots = 64;
            entry.startTimeMs = 1;
            entry.engine = engine.state;
            all.emplace(id, std::move(entry));
        }
        return all;
    }
    OrderOutcome accept(const PlacementOrder &order)
    {
        auto &engine = m_engines.at(order.target);
        ++m_report.orders;
        if (engine.order || order.expectedSequence != engine.state.sequence) {
            ++m_report.refusedOrders;
            return OrderOutcome::Conflict;
        }
        ++engine.state.sequence;
        engine.state.isBusy = true;
        engine.order = order;
        engine.isFromStore = false;
        if (order.action == IntentAction::Load)
            startLoad(engine, order.key.model);
        else
            engine.orderEnd = m_now + UnloadTime;
        recordState(engine);
        return OrderOutcome::Accepted;
    }

private:
    static Megabytes between(Megabytes least, Megabytes most, double share)
    {
        return least + (most - least) * share;
    }
    static Duration between(Duration least, Duration most, double share)
    {
        return least + std::chrono::duration_cast<Duration>((most - least) * share);
    }
    void makeModels()
    {
        m_spec.weights = m_settings.memory;
        m_spec.adapterSlots = 8;
        m_spec.slots = 64;
        m_spec.hostMemory = m_settings.hostMemory;
        m_spec.disk = m_settings.disk;
        m_spec.storeLoadsPerSecond = m_settings.storeLoadsPerSecond;
        for (int n = 0; n < m_settings.models; ++n) {
            ModelSpec model;
            model.weights = n % 3 == 0 ? 72700 : 65100;
            if (n % 5 == 4)
                model.weights = 42700;
            const auto share = double(n * 7 % 10) / 9;
            if (m_settings.largestModel > 0)
                model.weights = between(m_settings.smallestModel, m_settings.largestModel, share);
            model.storeLoadTime = m_settings.storeLoad;
            model.diskLoadTime =
                    between(m_settings.shortestDiskLoad, m_settings.longestDiskLoad, share);
            model.memoryLoadTime =
                    between(m_settings.shortestMemoryLoad, m_settings.longestMemoryLoad, share);
            m_spec.models.emplace(modelName(n), model);
        }
    }
    void makeEngines()
    {
        int next = m_settings.busyNow;
        for (int n = 0; n < m_settings.engines; ++n) {
            Engine engine;
            if (n < m_settings.busyNow * BusyCopies)
                addResident(engine, modelName(n % m_settings.busyNow));
            const int residentModels = m_settings.diskCopies > 0
                    ? m_settings.models - m_settings.storeOnlyModels
                    : m_settings.models;
            while (next < residentModels && fits(engine, modelName(next)))
                addResident(engine, modelName(next++));
            const int copies = std::max(m_settings.diskCopies, 1);
            for (int m = 0; m < m_settings.models - m_settings.storeOnlyModels; ++m)
                for (int copy = 0; copy < copies; ++copy)
                    if ((m + copy * 31) % m_settings.engines == n)
                        addToDisk(engine, modelName(m));
            m_engines.emplace(TargetId("t" + std::to_string(n)), engine);
        }
        for (auto &[id, engine] : m_engines)
            recordState(engine);
    }
    [[nodiscard]] bool fits(const Engine &engine, const ModelId &model) const
    {
        auto held = m_spec.models.at(model).weights;
        for (const auto &key : engine.state.resident)
            held += m_spec.models.at(key.model).weights;
        return held <= m_spec.weights;
    }
    /// Evicts the least recently used copies beyond the room.
    void trim(std::deque<ModelId> &copies, Megabytes room) const
    {
        Megabytes held = 0;
        for (const auto &model : copies)
            held += m_spec.models.at(model).weights;
        while (held > room) {
            held -= m_spec.models.at(copies.front()).weights;
            copies.pop_front();
        }
    }
    void addToDisk(Engine &engine, const ModelId &model) const
    {
        std::erase(engine.onDisk, model);
        engine.onDisk.push_back(model);
        if (m_settings.disk > 0)
            trim(engine.onDisk, m_settings.disk);
        engine.state.onDisk = { engine.onDisk.begin(), engine.onDisk.end() };
    }
    void addResident(Engine &engine, const ModelId &model) const
    {
        engine.state.resident.insert({ model, AdapterId() });
        addToDisk(engine, model);
        std::erase(engine.inMemory, model);
        engine.inMemory.push_back(model);
        if (m_settings.hostMemory > 0)
            trim(engine.inMemory, m_settings.hostMemory);
        else if (engine.inMemory.size() > CopiesInMemory)
            engine.inMemory.pop_front();
        engine.state.inMemory = { engine.inMemory.begin(), engine.inMemory.end() };
    }
    void countUncovered()
    {
        std::set<ModelId> covered;
        for (const auto &[id, engine] : m_engines) {
            covered.insert(engine.onDisk.begin(), engine.onDisk.end());
            covered.insert(engine.inMemory.begin(), engine.inMemory.end());
            for (const auto &key : engine.state.resident)
                covered.insert(key.model);
        }
        m_report.uncovered = m_settings.models - static_cast<int>(covered.size());
    }
    void recordState(Engine &engine)
    {
        engine.history.emplace_back(m_now, engine.state);
        while (engine.history.size() > 1 && engine.history[1].first <= m_now - ReportLag)
            engine.history.pop_front();
    }
    void startLoad(Engine &engine, const ModelId &model)
    {
        m_report.overcommitted += fits(engine, model) ? 0 : 1;
        const auto &spec = m_spec.models.at(model);
        auto duration = spec.memoryLoadTime;
        if (!engine.state.inMemory.contains(model))
            duration = spec.diskLoadTime;
        if (!engine.state.onDisk.contains(model)) {
            engine.isFromStore = true;
            engine.storeLoadLeft = spec.storeLoadTime;
            duration = Duration::zero();
            noteStoreLoad();
        }
        engine.orderEnd = m_now + duration;
    }
    void noteStoreLoad()
    {
        ++m_report.storeLoads;
        m_storeLoads.push_back(m_now);
        while (m_now - m_storeLoads.front() > StoreRateWindow)
            m_storeLoads.pop_front();
        m_report.maxStoreLoads =
                std::max(m_report.maxStoreLoads, static_cast<int>(m_storeLoads.size()));
    }
    /// Loads in progress share the weight store's throughput.
    void advanceStoreLoads()
    {
        const auto n = std::count_if(m_engines.begin(), m_engines.end(),
                                     [](const auto &it) { return it.second.isFromStore; });
        const auto speed =
                std::min(1.0, double(m_settings.storeFullSpeed) / double(std::max(n, 1L)));
        for (auto &[id, engine] : m_engines)
            if (engine.isFromStore)
                engine.storeLoadLeft -= std::chrono::duration_cast<Duration>(Step * speed);
    }
    void finishOrders()
    {
        for (auto &[id, engine] : m_engines) {
            if (!engine.order || m_now < engine.orderEnd
                || (engine.isFromStore && engine.storeLoadLeft > Duration::zero()))
                continue;
            const auto &key = engine.order->key;
            const bool isLoad = engine.order->action == IntentAction::Load;
            if (!isLoad && engine.running[key.model] > 0)
                continue;
            if (isLoad)
                addResident(engine, key.model);
            else
                engine.state.resident.erase(key);
            engine.order.reset();
            engine.isFromStore = false;
            engine.state.isBusy = false;
            recordState(engine);
        }
    }
    void finishRequests()
    {
        std::erase_if(m_runningRequests, [&](const RunningRequest &request) {
            if (m_now < request.end)
                return false;
            --m_engines.at(request.engine).running[request.model];
            return true;
        });
    }
    bool happens(double perSecond)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < perSecond * toSeconds(Step);
    }
    void generateCallers()
    {
        const auto since = m_now - Start - m_settings.warmUp;
        const bool isBurst = since >= m_settings.burstBegin && since < m_settings.burstEnd;
        const auto shift = static_cast<int>(since / m_settings.shiftInterval);
        if (happens(m_settings.chatPerSecond)) {
            const auto n = static_cast<int>(m_random() % unsigned(m_settings.busyNow));
            addCaller(modelName((shift + n) % m_settings.busyModels), m_chat, m_report.chat);
        }
        if (m_settings.secondPerSecond > 0 && happens(m_settings.secondPerSecond)) {
            const auto n = static_cast<int>(m_random() % unsigned(m_settings.busyModels));
            addCaller(modelName(n), m_second, m_report.second);
        }
        if (happens(m_settings.rarePerSecond * (isBurst ? 2 : 1))) {
            const auto rare = unsigned(m_settings.models - m_settings.busyModels);
            addCaller(modelName(m_settings.busyModels + static_cast<int>(m_random() % rare)),
                      m_rare, m_report.rare);
        }
    }
    void addCaller(const ModelId &model, const CallerKind &kind, CallerReport &report)
    {
        ++report.requestCount;
        const ReplicaKey key { model, AdapterId() };
        m_demand.noteArrival(Engines, key, m_now);
        const auto wait = m_demand.startWait(Engines, key, urgencyOf(kind.priority), m_now);
        m_waiting.push_back({ model, &kind, &report, m_now, wait });
    }
    template<typename Policy>
    void serve(const Policy &policy)
    {
        std::erase_if(m_waiting, [&](const Caller &caller) {
            auto &report = *caller.report;
            if (auto *engine = engineFor(caller.model, policy)) {
                ++engine->second.running[caller.model];
                m_runningRequests.push_back({ engine->first, caller.model, m_now + RunTime });
                ++(m_now - caller.at <= caller.kind->goal ? report.onTime : report.late);
            } else if (m_now - caller.at > caller.kind->maxWait) {
                ++report.timedOut;
            } else {
                return false;
            }
            m_demand.endWait(caller.wait);
            return true;
        });
    }
    template<typename Policy>
    std::pair<const TargetId, Engine> *engineFor(const ModelId &model, const Policy &policy)
    {
        std::pair<const TargetId, Engine> *best = nullptr;
        std::uint32_t least = 0;
        for (auto &it : m_engines) {
            const ReplicaKey key { model, AdapterId() };
            const bool isUnloading = it.second.order && it.second.order->key == key
                    && it.second.order->action == IntentAction::Unload;
            if (!it.second.state.resident.contains(key) || isUnloading
                || !policy.serves(it.first, key))
                continue;
            std::uint32_t n = 0;
            for (const auto &[name, count] : it.second.running)
                n += count;
            if (n >= m_spec.slots || (best && n >= least))
                continue;
            best = &it;
            least = n;
        }
        return best;
    }

    SwapSimulationSettings m_settings;
    std::mt19937 m_random;
    CallerKind m_chat;
    CallerKind m_second;
    CallerKind m_rare;
    TimePoint m_now = Start;
    EngineSpec m_spec;
    std::map<TargetId, Engine> m_engines;
    std::deque<Caller> m_waiting;
    std::vector<RunningRequest> m_runningRequests;
    DemandTracker m_demand;
    std::deque<TimePoint> m_storeLoads;
    SwapSimulationReport m_report;
};

/// Runs SwapPlanner in the same way as the gateway does.
class PlannerPolicy
{
public:
    void plan(Simulation &simulation)
    {
        if (!m_isStarted) {
            Service service;
            service.name = Engines;
            service.engine = simulation.spec();
            m_planner.setServices({ { Engines, service } });
            m_isStarted = true;
        }
        const auto now = simulation.now();
        m_planner.noteTargets(simulation.entries(), now);
        m_planner.noteDemand(Vm, simulation.demand().demand(now), simulation.inFlight(), now);
        for (const auto &id : m_planner.reportsDue(1000, now))
            m_planner.noteReport(id, 1, simulation.reportOf(id), now);
        for (const auto &order : m_planner.plan(now))
            m_planner.noteOutcome(order, simulation.accept(order), now);
        m_residents = m_planner.residents();
    }
    [[nodiscard]] bool serves(const TargetId &target, const ReplicaKey &key) const
    {
        const auto it = m_residents.find(target);
        return it != m_residents.end() && it->second.contains(key);
    }

private:
    SwapPlanner m_planner;
    ResidentReplicas m_residents;
    bool m_isStarted = false;
};

/// Loads the models with the longest waiting requests on the engines with the fewest running
/// requests.
class LeastLoadedPolicy
{
public:
    void plan(Simulation &simulation)
    {
        std::set<ModelId> handled;
        for (const auto &[id, engine] : simulation.engines())
            if (engine.order && engine.order->action == IntentAction::Load)
                handled.insert(engine.order->key.model);
        std::set<TargetId> taken;
        for (const auto &caller : simulation.waiting()) {
            const ReplicaKey key { caller.model, AdapterId() };
            const bool isHeld = std::any_of(
                    simulation.engines().begin(), simulation.engines().end(),
                    [&](const auto &it) { return it.second.state.resident.contains(key); });
            if (isHeld || !handled.insert(caller.model).second)
                continue;
            if (const auto *engine = leastLoaded(simulation, taken)) {
                taken.insert(engine->first);
                (void)simulation.accept(orderFor(simulation, *engine, key));
            }
        }
    }
    [[nodiscard]] static bool serves(const TargetId &, const ReplicaKey &) { return true; }

private:
    using Item = std::pair<const TargetId, Engine>;

    static const Item *leastLoaded(const Simulation &simulation, const std::set<TargetId> &taken)
    {
        const Item *best = nullptr;
        std::uint32_t least = 0;
        for (const auto &it : simulation.engines()) {
            if (it.second.order || taken.contains(it.first))
                continue;
            std::uint32_t n = 0;
            for (const auto &[name, count] : it.second.running)
                n += count;
            if (best && n >= least)
                continue;
            best = &it;
            least = n;
        }
        return best;
    }
    static PlacementOrder orderFor(const Simulation &simulation, const Item &it,
                                   const ReplicaKey &key)
    {
        const auto &[id, engine] = it;
        auto free = simulation.spec().weights;
        for (const auto &held : engine.state.resident)
            free -= simulation.spec().models.at(held.model).weights;
        PlacementOrder order { id, 1, IntentAction::Load, key, engine.state.sequence };
        if (free >= simulation.spec().models.at(key.model).weights)
            return order;
        order.action = IntentAction::Unload;
        order.key = *std::min_element(engine.state.resident.begin(), engine.state.resident.end(),
                                      [&](const auto &a, const auto &b) {
                                          return running(engine, a) < running(engine, b);
                                      });
        return order;
    }
    static std::uint32_t running(const Engine &engine, const ReplicaKey &key)
    {
        const auto it = engine.running.find(key.model);
        return it == engine.running.end() ? 0 : it->second;
    }
};

template<typename Policy>
SwapSimulationReport simulate(const SwapSimulationSettings &settings)
{
    Simulation simulation(settings);
    Policy policy;
    return simulation.run(policy);
}

} // namespace

SwapSimulationSettings largeSite()
{
    SwapSimulationSettings site;
    site.engines = 90;
    site.models = 274;
    site.busyModels = 26;
    site.busyNow = 4;
    site.storeOnlyModels = 12;
    site.memory = 83000;
    site.smallestModel = 16000;
    site.largestModel = 34000;
    site.hostMemory = 56000;
    site.disk = 300000;
    site.diskCopies = 2;
    site.storeLoad = milliseconds(10200);
    site.storeFullSpeed = 2;
    site.shortestDiskLoad = milliseconds(350);
    site.longestDiskLoad = milliseconds(510);
    site.shortestMemoryLoad = milliseconds(270);
    site.longestMemoryLoad = milliseconds(390);
    site.chatPerSecond = 120;
    site.chatGoal = milliseconds(400);
    site.secondPerSecond = 47;
    site.rarePerSecond = 66;
    site.rareGoal = std::chrono::seconds(4);
    return site;
}

SwapSimulationReport simulatePlanner(const SwapSimulationSettings &settings)
{
    return simulate<PlannerPolicy>(settings);
}

SwapSimulationReport simulateLeastLoaded(const SwapSimulationSettings &settings)
{
    return simulate<LeastLoadedPolicy>(settings);
}

} // namespace bluebell::tests
