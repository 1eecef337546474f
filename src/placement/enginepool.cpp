#include "placement/enginepool.h"

#include <algorithm>
#include <tuple>

namespace bluebell {
namespace {

/// Interval between reports of an engine without orders, and their largest number per second and
/// per round, so that the leader's work for them does not grow with the number of engines.
constexpr Duration MinIdleReportInterval = std::chrono::seconds(3);
constexpr std::int64_t MaxIdleReportsPerSecond = 40;
constexpr std::size_t MaxIdleReportsPerRound = 8;

} // namespace

// Events

void EnginePool::setServices(const std::map<ServiceId, Service> &services)
{
    m_services = services;
}

void EnginePool::noteTargets(const std::map<TargetId, TargetEntry> &targets, TimePoint now)
{
    std::erase_if(m_engines, [&](const auto &it) { return !targets.contains(it.first); });
    for (const auto &[id, entry] : targets)
        if (entry.engine)
            m_engines[id].noteEntry(entry, now);
}

void EnginePool::noteReport(const TargetId &target, std::uint64_t startTimeMs,
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

void EnginePool::noteReportFailed(const TargetId &target, bool isRefused)
{
    if (const auto it = m_engines.find(target); it != m_engines.end())
        it->second.noteReportFailed(isRefused);
}

void EnginePool::noteHoldOffs(const std::map<TargetId, TimePoint> &ends, TimePoint now)
{
    for (auto &[id, it] : m_engines) {
        const auto end = ends.find(id);
        it.noteHoldOff(end == ends.end() ? Duration::zero() : end->second - now);
    }
}

void EnginePool::noteEvacuated(const std::set<DataCentreId> &dataCentres, TimePoint now)
{
    for (auto &[id, it] : m_engines)
        it.noteEvacuated(dataCentres.contains(it.entry().dataCentre), now);
}

void EnginePool::noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now)
{
    if (const auto it = m_engines.find(order.target); it != m_engines.end())
        it->second.noteOutcome(order, outcome, now);
}

void EnginePool::noteUse(const TargetId &target, const ReplicaKey &key, TimePoint now)
{
    if (const auto it = m_engines.find(target); it != m_engines.end())
        it->second.noteUse(key, now);
}

std::vector<TargetId> EnginePool::reportsDue(std::size_t limit, TimePoint now)
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

// Queries

const EngineSpec *EnginePool::engineOf(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() || !it->second.engine ? nullptr : &*it->second.engine;
}

const ModelSpec *EnginePool::specOf(const ServiceId &service, const ModelId &model) const
{
    const auto *engine = engineOf(service);
    if (!engine)
        return nullptr;
    const auto it = engine->models.find(model);
    return it == engine->models.end() ? nullptr : &it->second;
}

std::size_t EnginePool::copyCount(const ReplicaKey &key, const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &it) {
                return it.second.isUsable(service) && it.second.serves(key);
            }));
}

std::size_t EnginePool::loadingCount(const ReplicaKey &key, const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &it) {
                return it.second.isUsable(service) && it.second.isLoading(key);
            }));
}

bool EnginePool::isResidentOrLoading(const ReplicaKey &key, const ServiceId &service) const
{
    return copyCount(key, service) + loadingCount(key, service) > 0;
}

std::size_t EnginePool::storeLoadsInProgress() const
{
    return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(),
                          [](const auto &it) { return it.second.isLoadingFromStore(); }));
}

std::set<DataCentreId> EnginePool::dataCentresOf(const ReplicaKey &key,
                                                 const ServiceId &service) const
{
    std::set<DataCentreId> all;
    for (const auto &[id, it] : m_engines)
        if (it.isUsable(service) && (it.serves(key) || it.isLoading(key)))
            all.insert(it.entry().dataCentre);
    return all;
}

bool EnginePool::hasDiskCopy(const ModelId &model, const ServiceId &service) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &it) {
        return it.second.acceptsOrders(service) && it.second.state().onDisk.contains(model);
    });
}

ResidentReplicas EnginePool::residents() const
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

std::vector<LoadEstimate> EnginePool::estimates(TimePoint now) const
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

} // namespace bluebell
