#include "placement/swapplanner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Time that an adapter takes, with allowance for others on their way.
constexpr Duration AdapterLoad = milliseconds(15);
/// Time that an unload takes when nothing runs.
constexpr Duration UnloadTime = milliseconds(53);
/// How much later another target may have a model ready before a resident one makes way for it.
constexpr Duration EvictionCost = milliseconds(200);
/// Added to the time of a load, so that it has ended for certain.
constexpr Duration EndAllowance = milliseconds(15);
/// Added to an unload that must wait for running requests.
constexpr Duration RunningWait = milliseconds(1000);
/// How long a model that is waited for waits for an engine with a copy of it to be free, before it
/// takes one of the few loads from the weight store.
constexpr Duration PatienceForCopy = milliseconds(4000);
/// Loads from the weight store that run at full speed together.
constexpr std::size_t FullSpeedLoads = 4;
/// Window over which the weight store counts the beginning of loads.
constexpr Duration StoreWindow = std::chrono::seconds(5);
/// Part of the weight store's rate that is used, so that its bound holds in every window.
constexpr double StoreShare = 0.9;
/// Loads from the weight store under way up to which a model is loaded that nobody waits for.
constexpr std::size_t PrefetchLoads = 3;
/// Loads under way up to which a model with a high pressure is loaded, at a lower speed for all.
constexpr std::size_t UrgentLoads = 6;
constexpr double UrgentPressure = 30;
/// Requests a second from which on a model has a second copy, and a third one.
constexpr double SecondCopyFrom = 2;
constexpr double ThirdCopyFrom = 10;
/// Gain of one more copy for each request a second.
constexpr double SpareGain = 0.4;
/// Loss below which a model may make way for one that nobody has asked for yet.
constexpr double PrefetchGain = 1.0;

/// \returns the urgency of what is waited for, which grows with the time waited
double pressureOf(const ModelDemand &it)
{
    return it.urgency * (1.0 + toSeconds(it.oldestWait));
}

} // namespace

void SwapPlanner::setServices(const std::map<ServiceId, Service> &services)
{
    m_services = services;
}

const EngineSpec *SwapPlanner::engineOf(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() || !it->second.engine ? nullptr : &*it->second.engine;
}

const ModelSpec *SwapPlanner::specOf(const ServiceId &service, const ModelId &model) const
{
    const auto *engine = engineOf(service);
    if (!engine)
        return nullptr;
    const auto it = engine->models.find(model);
    return it == engine->models.end() ? nullptr : &it->second;
}

void SwapPlanner::noteTargets(const std::map<TargetId, TargetEntry> &targets, TimePoint now)
{
    std::erase_if(m_engines, [&](const auto &it) { return !targets.contains(it.first); });
    for (const auto &[id, entry] : targets)
        if (entry.engine)
            m_engines[id].noteEntry(entry, now);
}

void SwapPlanner::noteReport(const TargetId &target, std::uint64_t born, const EngineState &state,
                             TimePoint now)
{
    const auto it = m_engines.find(target);
    if (it != m_engines.end() && (born == 0 || it->second.entry().born == born))
        it->second.noteReport(state, now);
}

void SwapPlanner::noteReportFailed(const TargetId &target)
{
    if (const auto it = m_engines.find(target); it != m_engines.end())
        it->second.noteReportFailed();
}

void SwapPlanner::noteDemand(const VmId &vm, std::vector<ModelDemand> demand,
                             std::vector<ModelInFlight> inFlight, TimePoint now)
{
    for (const auto &it : inFlight)
        if (const auto engine = m_engines.find(it.target); engine != m_engines.end())
            engine->second.noteUse(it.key, now);
    m_demand[vm] = { std::move(demand), std::move(inFlight), now };
}

void SwapPlanner::noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now)
{
    if (const auto it = m_engines.find(order.target); it != m_engines.end())
        it->second.noteOutcome(order, outcome, now);
}

std::vector<TargetId> SwapPlanner::reportsDue(TimePoint now)
{
    std::vector<TargetId> due;
    for (auto &[id, it] : m_engines) {
        it.noteTime(now);
        if (it.takeReportDue(now))
            due.push_back(id);
    }
    return due;
}

Residents SwapPlanner::residents() const
{
    Residents all;
    for (const auto &[id, it] : m_engines)
        all.emplace(id, it.serving());
    return all;
}

void SwapPlanner::gather(TimePoint now)
{
    std::erase_if(m_demand, [&](const auto &it) { return now - it.second.at > m_demandLifetime; });
    std::map<std::pair<ServiceId, ReplicaKey>, Wanted> sum;
    m_inFlight.clear();
    m_load.clear();
    for (const auto &[vm, told] : m_demand) {
        for (const auto &it : told.demand) {
            auto &wanted = sum[{ it.service, it.key }];
            wanted.service = it.service;
            wanted.key = it.key;
            wanted.waiting += it.waiting;
            wanted.urgency += it.urgency;
            wanted.arrivalsPerSecond += it.arrivalsPerSecond;
            if (it.waiting > 0)
                wanted.oldestWait = std::max(wanted.oldestWait, it.oldestWait + (now - told.at));
        }
        for (const auto &it : told.inFlight) {
            m_inFlight[{ it.target, it.key.model }] += it.count;
            m_load[it.target] += it.count;
        }
    }
    m_wanted.clear();
    for (auto &[key, wanted] : sum)
        m_wanted.push_back(std::move(wanted));
    std::sort(m_wanted.begin(), m_wanted.end(),
              [](const auto &a, const auto &b) { return pressureOf(a) > pressureOf(b); });
}

std::size_t SwapPlanner::copiesOf(const ReplicaKey &key, const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &it) {
                return it.second.isUsable(service) && it.second.serves(key);
            }));
}

std::size_t SwapPlanner::comingOf(const ReplicaKey &key, const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &it) {
                return it.second.isUsable(service) && it.second.isLoading(key);
            }));
}

bool SwapPlanner::isPlacedOrComing(const ReplicaKey &key, const ServiceId &service) const
{
    return copiesOf(key, service) + comingOf(key, service) > 0;
}

std::uint32_t SwapPlanner::inFlightAt(const TargetId &target, const ModelId &model) const
{
    const auto it = m_inFlight.find({ target, model });
    return it == m_inFlight.end() ? 0 : it->second;
}

std::uint32_t SwapPlanner::loadOf(const TargetId &target) const
{
    const auto it = m_load.find(target);
    return it == m_load.end() ? 0 : it->second;
}

std::size_t SwapPlanner::storeLoadsUnderWay() const
{
    return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(),
                          [](const auto &it) { return it.second.isLoadingFromStore(); }));
}

bool SwapPlanner::mayLoadFromStore(const EngineSpec &engine, TimePoint now) const
{
    const auto recent = std::count_if(m_storeLoads.begin(), m_storeLoads.end(),
                                      [&](TimePoint at) { return now - at < StoreWindow; });
    const auto allowed = StoreShare * engine.storeLoadsPerSecond * toSeconds(StoreWindow);
    return static_cast<double>(recent) + 1 <= std::max(allowed, 1.0);
}

double SwapPlanner::lossOf(const EngineTrack &it, const ReplicaKey &key) const
{
    const auto &service = it.entry().service;
    double perSecond = 0;
    double waiting = 0;
    for (const auto &wanted : m_wanted) {
        if (wanted.service != service || wanted.key.model != key.model)
            continue;
        perSecond += wanted.arrivalsPerSecond;
        waiting += wanted.urgency;
    }
    const auto copies = copiesOf(key, service);
    const auto running = inFlightAt(it.entry().id, key.model);
    // With the last copy, all requests of the time of a load are late.
    const auto missed = copies <= 1 ? 2.0 * perSecond + waiting : perSecond * 0.5;
    return missed * 2.0 + running * 1.5;
}

std::optional<std::vector<ReplicaKey>> SwapPlanner::victimsFor(const EngineTrack &it,
                                                               Megabytes needed, double gain) const
{
    std::vector<ReplicaKey> victims;
    const auto *engine = engineOf(it.entry().service);
    if (!engine)
        return std::nullopt;
    auto free = it.freeMemory(*engine);
    if (free >= needed)
        return victims;
    std::vector<std::pair<double, ReplicaKey>> order;
    for (const auto &key : it.state().resident)
        if (key.adapter.isEmpty())
            order.emplace_back(lossOf(it, key), key);
    std::sort(order.begin(), order.end(), [&](const auto &a, const auto &b) {
        if (a.first != b.first)
            return a.first < b.first;
        return it.usedAt(a.second) < it.usedAt(b.second);
    });
    for (const auto &[loss, key] : order) {
        if (loss >= gain)
            break;
        victims.push_back(key);
        for (const auto &held : it.state().resident)
            if (held.model == key.model)
                free += sizeOf(*engine, held);
        if (free >= needed)
            return victims;
    }
    return std::nullopt;
}

Duration SwapPlanner::loadTime(const EngineTrack &it, const ModelId &model, bool &isFromStore) const
{
    isFromStore = false;
    const auto *spec = specOf(it.entry().service, model);
    if (!spec)
        return std::chrono::hours(1);
    if (it.state().inMemory.contains(model))
        return spec->memoryLoad;
    if (it.state().onDisk.contains(model))
        return spec->diskLoad;
    isFromStore = true;
    const auto n = storeLoadsUnderWay() + 1;
    const auto slowdown =
            std::max(1.0, static_cast<double>(n) / static_cast<double>(FullSpeedLoads));
    return std::chrono::duration_cast<Duration>(spec->storeLoad * slowdown);
}

bool SwapPlanner::isOnADisk(const ModelId &model, const ServiceId &service) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &it) {
        return it.second.takesOrders(service) && it.second.state().onDisk.contains(model);
    });
}

std::optional<SwapPlanner::Candidate> SwapPlanner::bestTarget(const Wanted &wanted,
                                                              TimePoint now) const
{
    std::optional<Candidate> best;
    std::uint32_t bestLoad = 0;
    const auto *engine = engineOf(wanted.service);
    if (!engine)
        return best;
    const auto bytes = sizeOf(*engine, wanted.key);
    const bool awaitsCopy = wanted.waiting > 0 && wanted.oldestWait < PatienceForCopy
            && isOnADisk(wanted.key.model, wanted.service);
    for (const auto &[id, it] : m_engines) {
        if (!it.takesOrders(wanted.service) || it.state().resident.contains(wanted.key)
            || m_reserved.contains(id))
            continue;
        Candidate candidate { id, Duration::zero(), false, {} };
        candidate.readyIn = loadTime(it, wanted.key.model, candidate.isFromStore);
        if (candidate.isFromStore && awaitsCopy)
            continue;
        candidate.readyIn += it.freeIn(now);
        auto victims = victimsFor(it, bytes, pressureOf(wanted));
        if (!victims)
            continue;
        for (const auto &victim : *victims)
            candidate.readyIn += EvictionCost + UnloadTime
                    + (inFlightAt(id, victim.model) > 0 ? RunningWait : Duration::zero());
        candidate.victims = std::move(*victims);
        const auto load = loadOf(id);
        if (best && std::tie(best->readyIn, bestLoad) <= std::tie(candidate.readyIn, load))
            continue;
        best = std::move(candidate);
        bestLoad = load;
    }
    return best;
}

void SwapPlanner::load(EngineTrack &it, const ReplicaKey &key, TimePoint now,
                       std::vector<PlacementOrder> &orders)
{
    OrderTiming timing { AdapterLoad, false, true };
    if (key.adapter.isEmpty()) {
        timing.duration = loadTime(it, key.model, timing.isFromStore) + EndAllowance;
        timing.endsOnTime = !timing.isFromStore;
    }
    if (timing.isFromStore)
        m_storeLoads.push_back(now);
    while (!m_storeLoads.empty() && now - m_storeLoads.front() > StoreWindow)
        m_storeLoads.pop_front();
    orders.push_back(it.give(IntentAction::Load, key, timing, now));
}

void SwapPlanner::unload(EngineTrack &it, const ReplicaKey &key, TimePoint now,
                         std::vector<PlacementOrder> &orders)
{
    const bool hasRunning = inFlightAt(it.entry().id, key.model) > 0;
    const auto wait = hasRunning ? RunningWait : Duration::zero();
    const OrderTiming timing { UnloadTime + wait, false, !hasRunning };
    orders.push_back(it.give(IntentAction::Unload, key, timing, now));
}

void SwapPlanner::checkHolders(const Wanted &wanted, TimePoint now)
{
    for (auto &[id, it] : m_engines)
        if (it.state().resident.contains(wanted.key))
            it.checkSoon(now);
}

void SwapPlanner::planAdapter(const Wanted &wanted, TimePoint now,
                              std::vector<PlacementOrder> &orders)
{
    const auto *engine = engineOf(wanted.service);
    if (!engine || isPlacedOrComing(wanted.key, wanted.service))
        return;
    EngineTrack *best = nullptr;
    for (auto &[id, it] : m_engines) {
        if (!it.takesOrders(wanted.service) || !it.isFree(now)
            || !it.state().resident.contains({ wanted.key.model, AdapterId() }))
            continue;
        if (!best || loadOf(id) < loadOf(best->entry().id))
            best = &it;
    }
    if (!best)
        return;
    const bool hasPlace = best->adapterPlacesTaken() < engine->adapterSlots
            && best->freeForAdapters(*engine) >= sizeOf(*engine, wanted.key);
    if (hasPlace)
        load(*best, wanted.key, now, orders);
    else if (const auto idlest = best->idlestAdapter())
        unload(*best, *idlest, now, orders);
}

void SwapPlanner::planModel(const Wanted &wanted, TimePoint now,
                            std::vector<PlacementOrder> &orders)
{
    const ReplicaKey key { wanted.key.model, AdapterId() };
    const auto *engine = engineOf(wanted.service);
    if (!engine || !specOf(wanted.service, key.model) || isPlacedOrComing(key, wanted.service))
        return;
    auto whole = wanted;
    whole.key = key;
    const auto best = bestTarget(whole, now);
    if (!best)
        return;
    const auto mostLoads = pressureOf(wanted) >= UrgentPressure ? UrgentLoads : FullSpeedLoads;
    if (best->isFromStore && (storeLoadsUnderWay() >= mostLoads || !mayLoadFromStore(*engine, now)))
        return;
    makeRoomOrLoad(*best, key, now, orders);
}

void SwapPlanner::makeRoomOrLoad(const Candidate &candidate, const ReplicaKey &key, TimePoint now,
                                 std::vector<PlacementOrder> &orders)
{
    m_reserved.insert(candidate.target);
    auto &it = m_engines.at(candidate.target);
    if (!it.isFree(now))
        return;
    if (candidate.victims.empty())
        load(it, key, now, orders);
    else
        unload(it, candidate.victims.front(), now, orders);
}

std::vector<LoadEstimate> SwapPlanner::estimates(TimePoint now) const
{
    std::vector<LoadEstimate> all;
    for (const auto &[id, it] : m_engines) {
        const auto *order = it.order();
        if (order && order->action == IntentAction::Load && !order->isForAdapter())
            all.push_back({ it.entry().service, order->key.model, it.timeLeft(now) });
    }
    return all;
}

void SwapPlanner::planSpares(TimePoint now, std::vector<PlacementOrder> &orders)
{
    std::map<std::pair<ServiceId, ModelId>, double> rates;
    for (const auto &it : m_wanted)
        rates[{ it.service, it.key.model }] += it.arrivalsPerSecond;
    for (const auto &[name, perSecond] : rates) {
        const auto &[service, model] = name;
        const auto *engine = engineOf(service);
        if (!engine || perSecond < SecondCopyFrom)
            continue;
        Wanted spare;
        spare.service = service;
        spare.key = { model, AdapterId() };
        spare.urgency = SpareGain * perSecond;
        const std::size_t copies = perSecond < ThirdCopyFrom ? 2 : 3;
        if (copiesOf(spare.key, service) + comingOf(spare.key, service) >= copies)
            continue;
        const auto best = bestTarget(spare, now);
        if (!best
            || (best->isFromStore
                && (storeLoadsUnderWay() >= PrefetchLoads || !mayLoadFromStore(*engine, now))))
            continue;
        makeRoomOrLoad(*best, spare.key, now, orders);
    }
}

std::set<ModelId> SwapPlanner::modelsAtHand(const ServiceId &service) const
{
    std::set<ModelId> models;
    for (const auto &[id, it] : m_engines) {
        if (!it.isUsable(service))
            continue;
        models.insert(it.state().inMemory.begin(), it.state().inMemory.end());
        models.insert(it.state().onDisk.begin(), it.state().onDisk.end());
        for (const auto &key : it.state().resident)
            models.insert(key.model);
        if (const auto *order = it.order())
            models.insert(order->key.model);
    }
    return models;
}

void SwapPlanner::planPrefetch(TimePoint now, std::vector<PlacementOrder> &orders)
{
    for (const auto &[service, spec] : m_services) {
        if (!spec.engine || storeLoadsUnderWay() >= PrefetchLoads
            || !mayLoadFromStore(*spec.engine, now))
            continue;
        const auto atHand = modelsAtHand(service);
        const auto missing =
                std::find_if(spec.engine->models.begin(), spec.engine->models.end(),
                             [&](const auto &model) { return !atHand.contains(model.first); });
        if (missing == spec.engine->models.end())
            continue;
        EngineTrack *best = nullptr;
        for (auto &[id, it] : m_engines) {
            if (!it.takesOrders(service) || !it.isFree(now) || m_reserved.contains(id)
                || !victimsFor(it, missing->second.weights, PrefetchGain))
                continue;
            if (!best || it.state().onDisk.size() < best->state().onDisk.size())
                best = &it;
        }
        if (!best)
            continue;
        const auto victims = *victimsFor(*best, missing->second.weights, PrefetchGain);
        if (victims.empty())
            load(*best, { missing->first, AdapterId() }, now, orders);
        else
            unload(*best, victims.front(), now, orders);
    }
}

std::vector<PlacementOrder> SwapPlanner::plan(TimePoint now)
{
    std::vector<PlacementOrder> orders;
    gather(now);
    m_reserved.clear();
    for (auto &[id, it] : m_engines)
        if (const auto repeat = it.takeRepeat(now))
            orders.push_back(*repeat);
    const auto wanted = m_wanted;
    for (const auto &it : wanted) {
        if (it.waiting == 0)
            continue;
        checkHolders(it, now);
        const ReplicaKey model { it.key.model, AdapterId() };
        if (!it.key.adapter.isEmpty() && copiesOf(model, it.service) > 0)
            planAdapter(it, now, orders);
        else
            planModel(it, now, orders);
    }
    planSpares(now, orders);
    planPrefetch(now, orders);
    return orders;
}

} // namespace bluebell
