#include "placement/swapplanner.h"

#include <algorithm>

/// \file
/// The loads of SwapPlanner for which no request waits yet.

namespace bluebell {
namespace {

/// Concurrent loads from the weight store up to which models without waiting requests are loaded.
constexpr std::size_t MaxPrefetchLoads = 3;
/// Requests per second from which on a model has a second copy, and a third one.
constexpr double SecondCopyRate = 2;
constexpr double ThirdCopyRate = 10;
/// Gain of an extra copy per request per second, in the unit of pressureOf().
constexpr double ExtraCopyGain = 0.4;
/// Loss below which a model may be evicted for one without any demand yet.
constexpr double PrefetchGain = 1.0;

} // namespace

void SwapPlanner::planExtraCopies(TimePoint now, std::vector<PlacementOrder> &orders)
{
    std::map<std::pair<ServiceId, ModelId>, double> rates;
    for (const auto &it : m_totalDemand)
        rates[{ it.service, it.key.model }] += it.arrivalsPerSecond;
    for (const auto &[name, perSecond] : rates) {
        const auto &[service, model] = name;
        const auto *engine = engineOf(service);
        if (!engine || perSecond < SecondCopyRate)
            continue;
        TotalDemand extraCopy;
        extraCopy.service = service;
        extraCopy.key = { model, AdapterId() };
        extraCopy.urgency = ExtraCopyGain * perSecond;
        const std::size_t copies = perSecond < ThirdCopyRate ? 2 : 3;
        if (copyCount(extraCopy.key, service) + loadingCount(extraCopy.key, service) >= copies)
            continue;
        const auto best = bestTarget(extraCopy, now);
        if (!best
            || (best->isFromStore
                && (storeLoadsInProgress() >= MaxPrefetchLoads || !mayLoadFromStore(*engine, now))))
            continue;
        evictOrLoad(*best, extraCopy.key, now, orders);
    }
}

std::set<ModelId> SwapPlanner::locallyAvailableModels(const ServiceId &service) const
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
        if (!spec.engine || storeLoadsInProgress() >= MaxPrefetchLoads
            || !mayLoadFromStore(*spec.engine, now))
            continue;
        const auto available = locallyAvailableModels(service);
        const auto missing =
                std::find_if(spec.engine->models.begin(), spec.engine->models.end(),
                             [&](const auto &model) { return !available.contains(model.first); });
        if (missing == spec.engine->models.end())
            continue;
        EngineTracker *best = nullptr;
        for (auto &[id, it] : m_engines) {
            if (!it.acceptsOrders(service) || !it.isFree(now) || m_reserved.contains(id)
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

} // namespace bluebell
