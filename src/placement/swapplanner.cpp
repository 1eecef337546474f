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
} // namespace

void SwapPlanner::noteDemand(const VmId &vm, std::vector<ModelDemand> demand,
                             std::vector<ModelInFlight> inFlight, TimePoint now)
{
    for (const auto &it : inFlight)
        m_engines.noteUse(it.target, it.key, now);
    m_demand.note(vm, std::move(demand), std::move(inFlight), now);
}

void SwapPlanner::trackStoreLoads(TimePoint now)
{
    for (const auto &[id, model] : m_pace.inProgress()) {
        const auto it = m_engines.engines().find(id);
        const bool isInProgress =
                it != m_engines.engines().end() && it->second.isLoadingFromStore();
        const ReplicaKey key { model, AdapterId() };
        if (!isInProgress)
            m_pace.noteEnded(id, it != m_engines.engines().end() && it->second.serves(key), now);
    }
    m_pace.advance(now);
    for (const auto &[id, model] : m_pace.inProgress())
        m_engines.engines().at(id).noteTimeLeft(m_pace.timeLeft(id) + CompletionMargin, now);
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
    const auto &[perSecond, waiting, copies, atHand] =
            m_copies.statusOf(it.entry().service, key.model);
    const auto running = m_demand.inFlightAt(it.entry().id, key.model);
    // Without its last copy, all requests that arrive during a reload are late.
    const auto missed = copies <= 1 ? 2.0 * perSecond + waiting : perSecond * 0.5;
    return missed * 2.0 + running * 1.5;
}

std::optional<std::vector<ReplicaKey>> SwapPlanner::victimsFor(const EngineTracker &it,
                                                               Megabytes needed, double gain) const
{
    std::vector<ReplicaKey> victims;
    const auto *engine = m_engines.engineOf(it.entry().service);
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
        if (key.adapter.isEmpty() && !m_copies.isOnlyCopy(m_engines, it, key.model))
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
    const auto *spec = m_engines.specOf(it.entry().service, model);
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
    const auto *spec = m_engines.specOf(service, model);
    return spec ? spec->storeLoadTime * 2 / 3 : Duration::zero();
}

std::optional<SwapPlanner::Candidate> SwapPlanner::bestTarget(const ModelDemand &wanted,
                                                              TimePoint now) const
{
    std::optional<Candidate> best;
    bool isBestCold = false;
    std::uint32_t bestLoad = 0;
    const auto *engine = m_engines.engineOf(wanted.service);
    if (!engine)
        return best;
    const auto bytes = sizeOf(*engine, wanted.key);
    const bool waitsForCopy = wanted.waiting > 0
            && wanted.oldestWait < maxWaitForCopy(wanted.service, wanted.key.model)
            && m_engines.hasDiskCopy(wanted.key.model, wanted.service);
    const auto taken = wanted.waiting > 0 ? std::set<DataCentreId>()
                                          : m_engines.dataCentresOf(wanted.key, wanted.service);
    for (const auto &[id, it] : m_engines.engines()) {
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
        const auto load = m_demand.targetLoad(id);
        candidate.readyIn += TakenSlotsPenalty * load / std::max<std::uint32_t>(engine->slots, 1);
        if (best && best->readyIn < candidate.readyIn)
            continue;
        auto victims = victimsFor(it, bytes, pressureOf(wanted));
        if (!victims)
            continue;
        for (const auto &victim : *victims)
            candidate.readyIn += EvictionTimePenalty + UnloadTime
                    + (m_demand.inFlightAt(id, victim.model) > 0 ? DrainTime : Duration::zero());
        candidate.victims = std::move(*victims);
        const bool isCold = it.entry().isCold(now);
        if (best
            && std::tie(best->readyIn, isBestCold, bestLoad)
                    <= std::tie(candidate.readyIn, isCold, load))
            continue;
        if (!m_copies.keepsLastCopies(m_engines, it, wanted.key.model))
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
    if (key.adapter.isEmpty())
        m_copies.noteLoad(m_engines, it, key.model);
    if (timing.isFromStore) {
        timing.leastDuration = m_engines.specOf(it.entry().service, key.model)->storeLoadTime;
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
    const bool hasRunning = m_demand.inFlightAt(it.entry().id, key.model) > 0;
    if (key.adapter.isEmpty())
        m_copies.noteUnload(it.entry().service, key.model);
    const auto wait = hasRunning ? DrainTime : Duration::zero();
    const OrderTiming timing { UnloadTime + wait, false, !hasRunning };
    orders.push_back(it.beginOrder(IntentAction::Unload, key, timing, now));
}

void SwapPlanner::refreshResidentEngines(const ModelDemand &wanted, TimePoint now)
{
    for (auto &[id, it] : m_engines.engines())
        if (it.state().resident.contains(wanted.key))
            it.requestReport(now);
}

bool SwapPlanner::needsSecondEngine(const ModelDemand &wanted) const
{
    const auto *engine = m_engines.engineOf(wanted.service);
    return engine && wanted.waiting >= SecondAdapterShare * engine->slots
            && m_engines.copyCount(wanted.key, wanted.service) == 1
            && m_engines.loadingCount(wanted.key, wanted.service) == 0;
}

void SwapPlanner::planAdapter(const ModelDemand &wanted, TimePoint now,
                              std::vector<PlacementOrder> &orders)
{
    const auto *engine = m_engines.engineOf(wanted.service);
    if (!engine
        || (m_engines.isResidentOrLoading(wanted.key, wanted.service)
            && !needsSecondEngine(wanted)))
        return;
    EngineTracker *best = nullptr;
    for (auto &[id, it] : m_engines.engines()) {
        if (!it.acceptsOrders(wanted.service) || !it.isFree(now)
            || !it.state().resident.contains({ wanted.key.model, AdapterId() })
            || it.state().resident.contains(wanted.key)
            || it.state().pendingAdapters.contains(wanted.key))
            continue;
        if (!best || m_demand.targetLoad(id) < m_demand.targetLoad(best->entry().id))
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

void SwapPlanner::planModel(const ModelDemand &wanted, TimePoint now,
                            std::vector<PlacementOrder> &orders)
{
    const ReplicaKey key { wanted.key.model, AdapterId() };
    const auto *engine = m_engines.engineOf(wanted.service);
    if (!engine || !m_engines.specOf(wanted.service, key.model)
        || m_engines.isResidentOrLoading(key, wanted.service))
        return;
    auto modelDemand = wanted;
    modelDemand.key = key;
    const auto best = bestTarget(modelDemand, now);
    if (!best)
        return;
    const auto urgentLoads = pressureOf(wanted) >= UrgentPressure ? MaxUrgentLoads : 0;
    const auto maxLoads = m_pace.fullSpeedLoads() + urgentLoads;
    if (best->isFromStore
        && (m_engines.storeLoadsInProgress() >= maxLoads || !mayLoadFromStore(*engine, now)))
        return;
    evictOrLoad(*best, key, now, orders);
}

void SwapPlanner::evictOrLoad(const Candidate &candidate, const ReplicaKey &key, TimePoint now,
                              std::vector<PlacementOrder> &orders)
{
    m_reserved.insert(candidate.target);
    auto &it = m_engines.engines().at(candidate.target);
    if (!it.isFree(now))
        return;
    if (candidate.victims.empty())
        load(it, key, now, orders);
    else
        unload(it, candidate.victims.front(), now, orders);
}

std::vector<ModelDemand> SwapPlanner::demandByValue() const
{
    auto demand = m_demand.total();
    std::stable_partition(demand.begin(), demand.end(), [&](const auto &it) {
        return m_copies.statusOf(it.service, it.key.model).atHand > 0;
    });
    return demand;
}

std::vector<PlacementOrder> SwapPlanner::plan(TimePoint now)
{
    std::vector<PlacementOrder> orders;
    m_demand.aggregate(now);
    trackStoreLoads(now);
    m_copies.count(m_engines, m_demand.total());
    m_reserved.clear();
    for (auto &[id, it] : m_engines.engines())
        if (const auto order = it.takeOrderToResend(now))
            orders.push_back(*order);
    planCopiesOfOverloaded(now, orders);
    for (const auto &it : demandByValue()) {
        if (it.waiting == 0)
            continue;
        refreshResidentEngines(it, now);
        const ReplicaKey model { it.key.model, AdapterId() };
        if (!it.key.adapter.isEmpty() && m_engines.copyCount(model, it.service) > 0)
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
