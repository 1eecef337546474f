#include "placement/swapplanner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Duration of an adapter load, with a margin for other adapter loads in progress.
constexpr Duration AdapterLoadTime = milliseconds(15);
/// Duration of an unload when no requests are running.
constexpr Duration UnloadTime = milliseconds(53);
/// Added, for each model to evict, to the time until a target is ready: a target without evictions
/// is preferred if it is ready at most this much later.
constexpr Duration EvictionTimePenalty = milliseconds(200);
/// Added to the time until a target is ready if all its slots are taken, and in proportion if some
/// are: a request that waits for the model needs a slot as well.
constexpr Duration TakenSlotsPenalty = milliseconds(400);
/// Added to the duration of a load, so that it has completed with certainty.
constexpr Duration CompletionMargin = milliseconds(15);
/// Added to the duration of an unload that must wait for running requests.
constexpr Duration DrainTime = milliseconds(1000);
/// Added for an extra copy in a data centre that has one already: a load from the weight store
/// takes longer, one from a disk does not.
constexpr Duration SameDataCentrePenalty = milliseconds(2000);
/// Waiting requests, as a share of an engine's slots, from which on an adapter has a second engine.
constexpr double SecondAdapterShare = 0.25;
/// Window over which the weight store limits the number of started loads.
constexpr Duration StoreRateWindow = std::chrono::seconds(5);
/// Fraction of the weight store's rate that is used, so that its limit holds in every window.
constexpr double StoreRateFraction = 0.9;
/// Loads from the weight store beyond those at full speed that models with a high pressure may add,
/// at a lower speed for all loads. They also show whether more loads run at full speed.
constexpr std::size_t MaxUrgentLoads = 2;
/// Pressure from which on a model counts as urgent; see pressureOf().
constexpr double UrgentPressure = 30;
/// Interval between reports of an engine without orders, and their largest number per second and
/// per round, so that the leader's work for them does not grow with the number of engines.
constexpr Duration MinIdleReportInterval = std::chrono::seconds(3);
constexpr std::int64_t MaxIdleReportsPerSecond = 40;
constexpr std::size_t MaxIdleReportsPerRound = 8;

/// \returns the urgency of the waiting requests, weighted by the longest wait
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

void SwapPlanner::noteReport(const TargetId &target, std::uint64_t startTimeMs,
                             const EngineState &state, TimePoint now)
{
    const auto it = m_engines.find(target);
    if (it == m_engines.end())
        return;
    if (startTimeMs == 0 || it->second.entry().startTimeMs == startTimeMs)
        it->second.noteReport(state, now);
    else if (it->second.entry().startTimeMs < startTimeMs)
        it->second.noteOtherRun();
}

void SwapPlanner::noteReportFailed(const TargetId &target, bool isRefused)
{
    if (const auto it = m_engines.find(target); it != m_engines.end())
        it->second.noteReportFailed(isRefused);
}

void SwapPlanner::noteHoldOffs(const std::map<TargetId, TimePoint> &ends, TimePoint now)
{
    for (auto &[id, it] : m_engines) {
        const auto end = ends.find(id);
        it.noteHoldOff(end == ends.end() ? Duration::zero() : end->second - now);
    }
}

void SwapPlanner::noteEvacuated(const std::set<DataCentreId> &dataCentres, TimePoint now)
{
    for (auto &[id, it] : m_engines)
        it.noteEvacuated(dataCentres.contains(it.entry().dataCentre), now);
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

std::vector<TargetId> SwapPlanner::reportsDue(std::size_t limit, TimePoint now)
{
    const auto idleInterval =
            std::max<Duration>(MinIdleReportInterval,
                               std::chrono::seconds(1) * static_cast<std::int64_t>(m_engines.size())
                                       / MaxIdleReportsPerSecond);
    struct DueReport
    {
        bool isIdle = false;
        TimePoint since;
        TargetId target;
    };
    std::vector<DueReport> due;
    for (auto &[id, it] : m_engines) {
        it.completeTimedOrder(now);
        if (const auto since = it.reportDueSince(idleInterval, now))
            due.push_back({ !it.isReportUrgent(), *since, id });
    }
    std::sort(due.begin(), due.end(), [](const auto &a, const auto &b) {
        return std::tie(a.isIdle, a.since, a.target) < std::tie(b.isIdle, b.since, b.target);
    });
    std::vector<TargetId> requested;
    std::size_t idle = 0;
    for (const auto &it : due) {
        if (requested.size() >= limit || (it.isIdle && ++idle > MaxIdleReportsPerRound))
            break;
        m_engines.at(it.target).noteReportRequested(now);
        requested.push_back(it.target);
    }
    return requested;
}

ResidentReplicas SwapPlanner::residents() const
{
    ResidentReplicas all;
    const auto responding = static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(),
                          [](const auto &it) { return it.second.isResponding(); }));
    // If most engines seem to have ended, the network of this daemon may have failed instead.
    const bool mayHaveEnded = responding * 2 > m_engines.size();
    for (const auto &[id, it] : m_engines)
        all.emplace(id, mayHaveEnded && it.hasEnded() ? std::set<ReplicaKey>() : it.serving());
    return all;
}

void SwapPlanner::aggregateDemand(TimePoint now)
{
    std::erase_if(m_demand, [&](const auto &it) { return now - it.second.at > m_demandLifetime; });
    std::map<std::pair<ServiceId, ReplicaKey>, TotalDemand> sum;
    m_inFlight.clear();
    m_targetLoad.clear();
    for (const auto &[vm, reported] : m_demand) {
        for (const auto &it : reported.demand) {
            auto &wanted = sum[{ it.service, it.key }];
            wanted.service = it.service;
            wanted.key = it.key;
            wanted.waiting += it.waiting;
            wanted.urgency += it.urgency;
            wanted.arrivalsPerSecond += it.arrivalsPerSecond;
            if (it.waiting > 0)
                wanted.oldestWait =
                        std::max(wanted.oldestWait, it.oldestWait + (now - reported.at));
        }
        for (const auto &it : reported.inFlight) {
            m_inFlight[{ it.target, it.key.model }] += it.count;
            m_targetLoad[it.target] += it.count;
        }
    }
    m_totalDemand.clear();
    for (auto &[key, wanted] : sum)
        m_totalDemand.push_back(std::move(wanted));
    std::sort(m_totalDemand.begin(), m_totalDemand.end(),
              [](const auto &a, const auto &b) { return pressureOf(a) > pressureOf(b); });
}

void SwapPlanner::countCopiesOf(const EngineTracker &it)
{
    const auto &service = it.entry().service;
    std::set<ModelId> atHand = it.state().onDisk;
    atHand.insert(it.state().inMemory.begin(), it.state().inMemory.end());
    for (const auto &key : it.state().resident) {
        atHand.insert(key.model);
        if (key.adapter.isEmpty() && it.serves(key))
            ++m_models[{ service, key.model }].copies;
    }
    if (const auto *order = it.order(); order && order->action == IntentAction::Load) {
        if (const auto *engine = engineOf(service); engine && !order->isForAdapter())
            for (const auto &lost : it.copiesLostByLoading(*engine, order->key.model))
                atHand.erase(lost);
        atHand.insert(order->key.model);
    }
    for (const auto &model : atHand)
        ++m_models[{ service, model }].atHand;
}

void SwapPlanner::countCopies()
{
    m_models.clear();
    for (const auto &it : m_totalDemand) {
        auto &status = m_models[{ it.service, it.key.model }];
        status.perSecond += it.arrivalsPerSecond;
        status.waiting += it.urgency;
    }
    for (const auto &[id, it] : m_engines)
        if (it.isUsable(it.entry().service))
            countCopiesOf(it);
}

const SwapPlanner::ModelStatus &SwapPlanner::statusOf(const ServiceId &service,
                                                      const ModelId &model) const
{
    static const ModelStatus None;
    const auto it = m_models.find({ service, model });
    return it == m_models.end() ? None : it->second;
}

bool SwapPlanner::keepsLastCopies(const EngineTracker &it, const ModelId &model) const
{
    const auto &service = it.entry().service;
    const auto *engine = engineOf(service);
    if (!engine)
        return false;
    const auto lost = it.copiesLostByLoading(*engine, model);
    return std::none_of(lost.begin(), lost.end(), [&](const ModelId &copy) {
        return specOf(service, copy) && statusOf(service, copy).atHand < 2;
    });
}

bool SwapPlanner::isOnlyCopy(const EngineTracker &it, const ModelId &model) const
{
    const auto *engine = engineOf(it.entry().service);
    // An engine whose disk has unlimited room keeps a copy of an unloaded model.
    if (!engine || engine->disk <= 0 || !specOf(it.entry().service, model))
        return false;
    return !it.state().onDisk.contains(model) && !it.state().inMemory.contains(model)
            && statusOf(it.entry().service, model).atHand < 2;
}

std::size_t SwapPlanner::missingModels() const
{
    std::size_t missing = 0;
    for (const auto &[name, service] : m_services)
        if (service.engine)
            for (const auto &[model, spec] : service.engine->models)
                missing += statusOf(name, model).atHand == 0 ? 1 : 0;
    return missing;
}

std::size_t SwapPlanner::copyCount(const ReplicaKey &key, const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &it) {
                return it.second.isUsable(service) && it.second.serves(key);
            }));
}

std::size_t SwapPlanner::loadingCount(const ReplicaKey &key, const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &it) {
                return it.second.isUsable(service) && it.second.isLoading(key);
            }));
}

bool SwapPlanner::isResidentOrLoading(const ReplicaKey &key, const ServiceId &service) const
{
    return copyCount(key, service) + loadingCount(key, service) > 0;
}

std::uint32_t SwapPlanner::inFlightAt(const TargetId &target, const ModelId &model) const
{
    const auto it = m_inFlight.find({ target, model });
    return it == m_inFlight.end() ? 0 : it->second;
}

std::uint32_t SwapPlanner::targetLoad(const TargetId &target) const
{
    const auto it = m_targetLoad.find(target);
    return it == m_targetLoad.end() ? 0 : it->second;
}

std::size_t SwapPlanner::storeLoadsInProgress() const
{
    return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(),
                          [](const auto &it) { return it.second.isLoadingFromStore(); }));
}

void SwapPlanner::trackStoreLoads(TimePoint now)
{
    for (const auto &[id, model] : m_pace.inProgress()) {
        const auto it = m_engines.find(id);
        const bool isInProgress = it != m_engines.end() && it->second.isLoadingFromStore();
        const ReplicaKey key { model, AdapterId() };
        if (!isInProgress)
            m_pace.noteEnded(id, it != m_engines.end() && it->second.serves(key), now);
    }
    m_pace.advance(now);
    for (const auto &[id, model] : m_pace.inProgress())
        m_engines.at(id).noteTimeLeft(m_pace.timeLeft(id) + CompletionMargin, now);
}

bool SwapPlanner::mayLoadFromStore(const EngineSpec &engine, TimePoint now) const
{
    const auto recent = std::count_if(m_storeLoads.begin(), m_storeLoads.end(),
                                      [&](TimePoint at) { return now - at < StoreRateWindow; });
    const auto allowed =
            StoreRateFraction * engine.storeLoadsPerSecond * toSeconds(StoreRateWindow);
    return static_cast<double>(recent) + 1 <= std::max(allowed, 1.0);
}

double SwapPlanner::evictionLoss(const EngineTracker &it, const ReplicaKey &key) const
{
    const auto &[perSecond, waiting, copies, atHand] = statusOf(it.entry().service, key.model);
    const auto running = inFlightAt(it.entry().id, key.model);
    // Without its last copy, all requests that arrive during a reload are late.
    const auto missed = copies <= 1 ? 2.0 * perSecond + waiting : perSecond * 0.5;
    return missed * 2.0 + running * 1.5;
}

std::optional<std::vector<ReplicaKey>> SwapPlanner::victimsFor(const EngineTracker &it,
                                                               Megabytes needed, double gain) const
{
    std::vector<ReplicaKey> victims;
    const auto *engine = engineOf(it.entry().service);
    if (!engine)
        return std::nullopt;
    auto free = it.freeMemory(*engine);
    if (free >= needed)
        return victims;
    struct Victim
    {
        double loss = 0;
        TimePoint usedAt;
        ReplicaKey key;
    };
    std::vector<Victim> byLoss;
    for (const auto &key : it.state().resident)
        if (key.adapter.isEmpty() && !isOnlyCopy(it, key.model))
            byLoss.push_back({ evictionLoss(it, key), it.lastUsedAt(key), key });
    std::sort(byLoss.begin(), byLoss.end(), [](const Victim &a, const Victim &b) {
        return std::tie(a.loss, a.usedAt) < std::tie(b.loss, b.usedAt);
    });
    for (const auto &victim : byLoss) {
        if (victim.loss >= gain)
            break;
        victims.push_back(victim.key);
        for (const auto &held : it.state().resident)
            if (held.model == victim.key.model)
                free += sizeOf(*engine, held);
        if (free >= needed)
            return victims;
    }
    return std::nullopt;
}

Duration SwapPlanner::loadTime(const EngineTracker &it, const ModelId &model,
                               bool &isFromStore) const
{
    isFromStore = false;
    const auto *spec = specOf(it.entry().service, model);
    if (!spec)
        return std::chrono::hours(1);
    if (it.state().inMemory.contains(model))
        return spec->memoryLoadTime;
    if (it.state().onDisk.contains(model))
        return spec->diskLoadTime;
    isFromStore = true;
    return std::chrono::duration_cast<Duration>(spec->storeLoadTime * m_pace.slowdownOfNext());
}

Duration SwapPlanner::maxWaitForCopy(const ServiceId &service, const ModelId &model) const
{
    const auto *spec = specOf(service, model);
    return spec ? spec->storeLoadTime * 2 / 3 : Duration::zero();
}

std::set<DataCentreId> SwapPlanner::dataCentresOf(const ReplicaKey &key,
                                                  const ServiceId &service) const
{
    std::set<DataCentreId> all;
    for (const auto &[id, it] : m_engines)
        if (it.isUsable(service) && (it.serves(key) || it.isLoading(key)))
            all.insert(it.entry().dataCentre);
    return all;
}

bool SwapPlanner::hasDiskCopy(const ModelId &model, const ServiceId &service) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &it) {
        return it.second.acceptsOrders(service) && it.second.state().onDisk.contains(model);
    });
}

std::optional<SwapPlanner::Candidate> SwapPlanner::bestTarget(const TotalDemand &wanted,
                                                              TimePoint now) const
{
    std::optional<Candidate> best;
    bool isBestCold = false;
    std::uint32_t bestLoad = 0;
    const auto *engine = engineOf(wanted.service);
    if (!engine)
        return best;
    const auto bytes = sizeOf(*engine, wanted.key);
    const bool waitsForCopy = wanted.waiting > 0
            && wanted.oldestWait < maxWaitForCopy(wanted.service, wanted.key.model)
            && hasDiskCopy(wanted.key.model, wanted.service);
    const auto taken = wanted.waiting > 0 ? std::set<DataCentreId>()
                                          : dataCentresOf(wanted.key, wanted.service);
    for (const auto &[id, it] : m_engines) {
        if (!it.acceptsOrders(wanted.service) || it.state().resident.contains(wanted.key)
            || m_reserved.contains(id))
            continue;
        Candidate candidate { id, Duration::zero(), false, {} };
        candidate.readyIn = loadTime(it, wanted.key.model, candidate.isFromStore);
        if (candidate.isFromStore && waitsForCopy)
            continue;
        candidate.readyIn += it.timeUntilFree(now);
        if (taken.contains(it.entry().dataCentre))
            candidate.readyIn += SameDataCentrePenalty;
        const auto load = targetLoad(id);
        candidate.readyIn += TakenSlotsPenalty * load / std::max<std::uint32_t>(engine->slots, 1);
        if (best && best->readyIn < candidate.readyIn)
            continue;
        auto victims = victimsFor(it, bytes, pressureOf(wanted));
        if (!victims)
            continue;
        for (const auto &victim : *victims)
            candidate.readyIn += EvictionTimePenalty + UnloadTime
                    + (inFlightAt(id, victim.model) > 0 ? DrainTime : Duration::zero());
        candidate.victims = std::move(*victims);
        const bool isCold = it.entry().isCold(now);
        if (best
            && std::tie(best->readyIn, isBestCold, bestLoad)
                    <= std::tie(candidate.readyIn, isCold, load))
            continue;
        if (!keepsLastCopies(it, wanted.key.model))
            continue;
        best = std::move(candidate);
        isBestCold = isCold;
        bestLoad = load;
    }
    return best;
}

void SwapPlanner::load(EngineTracker &it, const ReplicaKey &key, TimePoint now,
                       std::vector<PlacementOrder> &orders)
{
    OrderTiming timing { AdapterLoadTime, false, true };
    if (key.adapter.isEmpty()) {
        timing.duration = loadTime(it, key.model, timing.isFromStore) + CompletionMargin;
        timing.hasFixedDuration = !timing.isFromStore;
    }
    if (const auto *engine = engineOf(it.entry().service); engine && key.adapter.isEmpty())
        for (const auto &lost : it.copiesLostByLoading(*engine, key.model))
            if (auto &atHand = m_models[{ it.entry().service, lost }].atHand; atHand > 0)
                --atHand;
    if (key.adapter.isEmpty())
        ++m_models[{ it.entry().service, key.model }].atHand;
    if (timing.isFromStore) {
        timing.leastDuration = specOf(it.entry().service, key.model)->storeLoadTime;
        m_pace.noteStarted(it.entry().id, key.model, timing.leastDuration, now);
        m_storeLoads.push_back(now);
    }
    while (!m_storeLoads.empty() && now - m_storeLoads.front() > StoreRateWindow)
        m_storeLoads.pop_front();
    orders.push_back(it.beginOrder(IntentAction::Load, key, timing, now));
}

void SwapPlanner::unload(EngineTracker &it, const ReplicaKey &key, TimePoint now,
                         std::vector<PlacementOrder> &orders)
{
    const bool hasRunning = inFlightAt(it.entry().id, key.model) > 0;
    if (auto &copies = m_models[{ it.entry().service, key.model }].copies;
        key.adapter.isEmpty() && copies > 0)
        --copies;
    const auto wait = hasRunning ? DrainTime : Duration::zero();
    const OrderTiming timing { UnloadTime + wait, false, !hasRunning };
    orders.push_back(it.beginOrder(IntentAction::Unload, key, timing, now));
}

void SwapPlanner::refreshResidentEngines(const TotalDemand &wanted, TimePoint now)
{
    for (auto &[id, it] : m_engines)
        if (it.state().resident.contains(wanted.key))
            it.requestReport(now);
}

bool SwapPlanner::needsSecondEngine(const TotalDemand &wanted) const
{
    const auto *engine = engineOf(wanted.service);
    return engine && wanted.waiting >= SecondAdapterShare * engine->slots
            && copyCount(wanted.key, wanted.service) == 1
            && loadingCount(wanted.key, wanted.service) == 0;
}

void SwapPlanner::planAdapter(const TotalDemand &wanted, TimePoint now,
                              std::vector<PlacementOrder> &orders)
{
    const auto *engine = engineOf(wanted.service);
    if (!engine || (isResidentOrLoading(wanted.key, wanted.service) && !needsSecondEngine(wanted)))
        return;
    EngineTracker *best = nullptr;
    for (auto &[id, it] : m_engines) {
        if (!it.acceptsOrders(wanted.service) || !it.isFree(now)
            || !it.state().resident.contains({ wanted.key.model, AdapterId() })
            || it.state().resident.contains(wanted.key)
            || it.state().pendingAdapters.contains(wanted.key))
            continue;
        if (!best || targetLoad(id) < targetLoad(best->entry().id))
            best = &it;
    }
    if (!best)
        return;
    const bool hasCapacity = best->adapterSlotsTaken() < engine->adapterSlots
            && best->freeForAdapters(*engine) >= sizeOf(*engine, wanted.key);
    if (hasCapacity)
        load(*best, wanted.key, now, orders);
    else if (const auto leastRecent = best->leastRecentlyUsedAdapter())
        unload(*best, *leastRecent, now, orders);
}

void SwapPlanner::planModel(const TotalDemand &wanted, TimePoint now,
                            std::vector<PlacementOrder> &orders)
{
    const ReplicaKey key { wanted.key.model, AdapterId() };
    const auto *engine = engineOf(wanted.service);
    if (!engine || !specOf(wanted.service, key.model) || isResidentOrLoading(key, wanted.service))
        return;
    auto modelDemand = wanted;
    modelDemand.key = key;
    const auto best = bestTarget(modelDemand, now);
    if (!best)
        return;
    const auto urgentLoads = pressureOf(wanted) >= UrgentPressure ? MaxUrgentLoads : 0;
    const auto maxLoads = m_pace.fullSpeedLoads() + urgentLoads;
    if (best->isFromStore
        && (storeLoadsInProgress() >= maxLoads || !mayLoadFromStore(*engine, now)))
        return;
    evictOrLoad(*best, key, now, orders);
}

void SwapPlanner::evictOrLoad(const Candidate &candidate, const ReplicaKey &key, TimePoint now,
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
        const bool isModelLoad =
                order && order->action == IntentAction::Load && !order->isForAdapter();
        if (isModelLoad && !it.entry().isDraining && !it.isEvacuated())
            all.push_back({ it.entry().service, order->key.model, it.timeLeft(now) });
    }
    return all;
}

void SwapPlanner::orderDemandByValue()
{
    std::stable_partition(m_totalDemand.begin(), m_totalDemand.end(), [&](const auto &it) {
        return statusOf(it.service, it.key.model).atHand > 0;
    });
}

std::vector<PlacementOrder> SwapPlanner::plan(TimePoint now)
{
    std::vector<PlacementOrder> orders;
    aggregateDemand(now);
    trackStoreLoads(now);
    countCopies();
    m_reserved.clear();
    for (auto &[id, it] : m_engines)
        if (const auto order = it.takeOrderToResend(now))
            orders.push_back(*order);
    orderDemandByValue();
    planCopiesOfOverloaded(now, orders);
    const auto wanted = m_totalDemand;
    for (const auto &it : wanted) {
        if (it.waiting == 0)
            continue;
        refreshResidentEngines(it, now);
        const ReplicaKey model { it.key.model, AdapterId() };
        if (!it.key.adapter.isEmpty() && copyCount(model, it.service) > 0)
            planAdapter(it, now, orders);
        else
            planModel(it, now, orders);
    }
    planReplacements(now, orders);
    planExtraCopies(now, orders);
    planPrefetch(now, orders);
    return orders;
}

} // namespace bluebell
