#include "placement/copycount.h"
#include "placement/swapplanner.h"

#include <algorithm>

/// \file
/// The loads of SwapPlanner for which no request waits yet.

namespace bluebell {
namespace {

/// Concurrent loads from the weight store up to which models without waiting requests are loaded,
/// at least. Above it, one of those that run at full speed is left for waiting requests.
constexpr std::size_t MinPrefetchLoads = 2;
/// Models for which engines are searched for extra copies in one plan, and the time until the next
/// search when there was no engine for one. A search looks at all engines, so that the leader's
/// work for them is bounded.
constexpr std::size_t MaxExtraCopySearches = 2;
constexpr Duration FailedSearchInterval = std::chrono::milliseconds(200);
/// Wanted copies relative to the existing ones from which on as many requests wait at a model's
/// engines as run there. Copies are wanted at half-full batches.
constexpr double FullBatchOverload = 4;
/// Gain of an extra copy per request per second, in the unit of pressureOf().
constexpr double ExtraCopyGain = 0.4;
/// Loss below which a model may be evicted for one without a copy at hand, and its increase per
/// request per second for that model: the evicted one is back in less than a second.
constexpr double PrefetchGain = 1.0;
constexpr double CoverageGain = 8.0;
/// Gain of the only resident copy per request per second; the loss of evicting it is the same.
constexpr double LastCopyGain = 4.0;

} // namespace

std::size_t SwapPlanner::maxPrefetchLoads() const
{
    return std::max(m_pace.fullSpeedLoads() - 1, MinPrefetchLoads);
}

std::vector<SwapPlanner::MissingCopies> SwapPlanner::missingCopies() const
{
    std::map<std::pair<ServiceId, ModelId>, ModelLoad> loads;
    for (const auto &[name, status] : m_copies.models())
        if (status.perSecond > 0)
            loads[name].arrivalsPerSecond = status.perSecond;
    for (const auto &[key, count] : m_demand.inFlight())
        if (const auto engine = m_engines.engines().find(key.first);
            engine != m_engines.engines().end())
            loads[{ engine->second.entry().service, key.second }].inFlight += count;
    std::vector<MissingCopies> missing;
    for (auto &[name, load] : loads) {
        const auto &[service, model] = name;
        const auto *engine = m_engines.engineOf(service);
        if (!engine)
            continue;
        load.slots = engine->slots;
        const auto wanted = wantedCopies(load);
        if (wanted < 2)
            continue;
        const ReplicaKey key { model, AdapterId() };
        const auto copies =
                m_engines.copyCount(key, service) + m_engines.loadingCount(key, service);
        if (copies < wanted)
            missing.push_back({ service, model, load.arrivalsPerSecond,
                                static_cast<double>(wanted)
                                        / static_cast<double>(std::max<std::size_t>(copies, 1)) });
    }
    std::sort(missing.begin(), missing.end(),
              [](const auto &a, const auto &b) { return a.overload > b.overload; });
    return missing;
}

void SwapPlanner::planExtraCopies(TimePoint now, std::vector<PlacementOrder> &orders)
{
    if (now < m_nextExtraCopySearch)
        return;
    if (!planCopies(missingCopies(), now, orders))
        m_nextExtraCopySearch = now + FailedSearchInterval;
}

void SwapPlanner::planCopiesOfOverloaded(TimePoint now, std::vector<PlacementOrder> &orders)
{
    if (now < m_nextOverloadedSearch)
        return;
    auto overloaded = missingCopies();
    std::erase_if(overloaded, [](const auto &it) { return it.overload < FullBatchOverload; });
    if (!planCopies(overloaded, now, orders))
        m_nextOverloadedSearch = now + FailedSearchInterval;
}

bool SwapPlanner::planCopies(const std::vector<MissingCopies> &missing, TimePoint now,
                             std::vector<PlacementOrder> &orders)
{
    bool isFound = true;
    std::size_t searches = 0;
    for (const auto &it : missing) {
        if (++searches > MaxExtraCopySearches)
            break;
        ModelDemand extraCopy;
        extraCopy.service = it.service;
        extraCopy.key = { it.model, AdapterId() };
        extraCopy.urgency = ExtraCopyGain * std::max(it.arrivalsPerSecond, it.overload);
        const auto best = bestTarget(extraCopy, now);
        if (best && mayPrefetch(*best, *m_engines.engineOf(it.service), now))
            evictOrLoad(*best, extraCopy.key, now, orders);
        else
            isFound = false;
    }
    return isFound;
}

bool SwapPlanner::mayPrefetch(const Candidate &candidate, const EngineSpec &engine,
                              TimePoint now) const
{
    if (!candidate.isFromStore)
        return true;
    const auto &service = m_engines.engines().at(candidate.target).entry().service;
    return !mostWantedMissing(service, engine)
            && m_engines.storeLoadsInProgress() < maxPrefetchLoads()
            && mayLoadFromStore(engine, now);
}

void SwapPlanner::planReplacements(TimePoint now, std::vector<PlacementOrder> &orders)
{
    for (const auto &[id, it] : m_engines.engines())
        if (!it.isUsable(it.entry().service))
            replaceCopiesOf(it, now, orders);
}

void SwapPlanner::replaceCopiesOf(const EngineTracker &leaving, TimePoint now,
                                  std::vector<PlacementOrder> &orders)
{
    const auto &service = leaving.entry().service;
    const auto *engine = m_engines.engineOf(service);
    if (!engine)
        return;
    for (const auto &key : leaving.state().resident) {
        const auto &status = m_copies.statusOf(service, key.model);
        const bool isNeeded = key.adapter.isEmpty() && m_engines.specOf(service, key.model)
                && status.perSecond > 0 && !m_engines.isResidentOrLoading(key, service);
        if (!isNeeded)
            continue;
        ModelDemand replacement;
        replacement.service = service;
        replacement.key = key;
        // With a copy at hand elsewhere, a model of equal demand is not worth the swap.
        replacement.urgency = status.atHand > 0 ? LastCopyGain * status.perSecond
                                                : PrefetchGain + CoverageGain * status.perSecond;
        const auto best = bestTarget(replacement, now);
        const bool isAllowed = best
                && (!best->isFromStore
                    || (m_engines.storeLoadsInProgress() < m_pace.fullSpeedLoads()
                        && mayLoadFromStore(*engine, now)));
        if (isAllowed)
            evictOrLoad(*best, key, now, orders);
    }
}

const std::pair<const ModelId, ModelSpec> *
SwapPlanner::mostWantedMissing(const ServiceId &service, const EngineSpec &engine) const
{
    const std::pair<const ModelId, ModelSpec> *best = nullptr;
    double mostPerSecond = -1;
    for (const auto &it : engine.models) {
        const auto &status = m_copies.statusOf(service, it.first);
        if (status.atHand > 0 || status.perSecond <= mostPerSecond)
            continue;
        best = &it;
        mostPerSecond = status.perSecond;
    }
    return best;
}

std::optional<SwapPlanner::Candidate>
SwapPlanner::prefetchTarget(const ServiceId &service, const ModelId &model, TimePoint now) const
{
    const auto size = m_engines.specOf(service, model)->weights;
    const auto gain = PrefetchGain + CoverageGain * m_copies.statusOf(service, model).perSecond;
    std::optional<Candidate> best;
    std::size_t bestEvictions = 0;
    std::size_t bestDisk = 0;
    for (const auto &[id, it] : m_engines.engines()) {
        if (!it.acceptsOrders(service) || !it.isFree(now) || m_reserved.contains(id))
            continue;
        auto victims = victimsFor(it, size, gain);
        if (!victims)
            continue;
        const auto evictions = victims->size();
        const auto disk = it.state().onDisk.size();
        if (best && std::tie(bestEvictions, bestDisk) <= std::tie(evictions, disk))
            continue;
        if (!m_copies.keepsLastCopies(m_engines, it, model))
            continue;
        best = Candidate { id, Duration::zero(), true, std::move(*victims) };
        bestEvictions = evictions;
        bestDisk = disk;
    }
    return best;
}

void SwapPlanner::planPrefetch(TimePoint now, std::vector<PlacementOrder> &orders)
{
    for (const auto &[service, spec] : m_engines.services()) {
        if (!spec.engine || m_engines.storeLoadsInProgress() >= maxPrefetchLoads()
            || !mayLoadFromStore(*spec.engine, now))
            continue;
        const auto *missing = mostWantedMissing(service, *spec.engine);
        if (!missing)
            continue;
        if (const auto best = prefetchTarget(service, missing->first, now))
            evictOrLoad(*best, { missing->first, AdapterId() }, now, orders);
    }
}

} // namespace bluebell
