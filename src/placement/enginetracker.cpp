#include "placement/enginetracker.h"

#include <algorithm>
#include <limits>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Delay before an order without a response is resent.
constexpr Duration ResendDelay = milliseconds(50);
/// Maximum age of the state that a report shows.
constexpr Duration ReportLag = milliseconds(260);
/// Interval between reports while an order is in progress.
constexpr Duration ReportInterval = milliseconds(60);
/// Delay before a report that did not arrive is requested again.
constexpr Duration ReportRetryInterval = milliseconds(300);
/// Interval between reports of an engine whose resident replica should serve waiting requests.
constexpr Duration WantedReportInterval = milliseconds(300);
/// Consecutive missed reports after which an engine counts as unavailable.
constexpr unsigned UnavailableAfterMissedReports = 2;
/// How long an adapter may stay in use after its unload was accepted before it is unloaded again.
constexpr Duration MaxAdapterDrainTime = std::chrono::seconds(10);
/// Backoff after a refused order or a failed connection.
constexpr Duration FailureBackoff = milliseconds(500);
/// Remaining hold-off from which on the engine's replicas do not count as available.
constexpr Duration LongHoldOff = std::chrono::seconds(2);

} // namespace

Megabytes sizeOf(const EngineSpec &engine, const ReplicaKey &key)
{
    const auto it = engine.models.find(key.model);
    // A model that was removed from the configuration still holds an unknown amount of memory. The
    // infinite size keeps further loads off the engine.
    if (it == engine.models.end())
        return std::numeric_limits<Megabytes>::infinity();
    return key.adapter.isEmpty() ? it->second.weights : it->second.adapterWeights;
}

void EngineTracker::noteEntry(const TargetEntry &entry, TimePoint now)
{
    const bool isSame = m_entry.id == entry.id && m_entry.startTimeMs == entry.startTimeMs;
    if (!isSame) {
        *this = EngineTracker();
        m_state = *entry.engine;
        m_reportAt = now;
    }
    m_entry = entry;
}

void EngineTracker::noteEvacuated(bool isEvacuated, TimePoint now)
{
    if (isEvacuated == m_isEvacuated)
        return;
    m_isEvacuated = isEvacuated;
    m_hasReport = false;
    m_missedReports = 0;
    m_reportAt = now;
}

void EngineTracker::noteReportFailed(bool isRefused) noexcept
{
    ++m_missedReports;
    m_refusals = isRefused ? m_refusals + 1 : 0;
}

void EngineTracker::noteReport(const EngineState &state, TimePoint now)
{
    m_reportAt.reset();
    m_reportedAt = now;
    m_isReportWanted = false;
    m_missedReports = 0;
    m_refusals = 0;
    m_hasReport = true;
    if (state.sequence < m_state.sequence)
        return;
    m_state.inMemory = state.inMemory;
    m_state.onDisk = state.onDisk;
    if (!m_pending) {
        adoptReport(state, now);
        return;
    }
    const auto &order = m_pending->order;
    if (state.sequence <= order.expectedSequence)
        return;
    // The sequence has increased: this order or another one was accepted.
    const bool isLoad = order.action == IntentAction::Load;
    const bool isDone = state.resident.contains(order.key) == isLoad;
    const bool hasOtherOrder = state.sequence > order.expectedSequence + 1;
    m_state.sequence = state.sequence;
    const bool isAdapterPending = isLoad && state.pendingAdapters.contains(order.key);
    if (isDone && !order.isForAdapter())
        m_copyUsed[order.key.model] = now;
    if (isDone || hasOtherOrder || (!state.isBusy && !isAdapterPending)) {
        m_pending.reset();
        adoptReport(state, now);
        return;
    }
    m_pending->phase = Phase::InProgress;
}

void EngineTracker::adoptReport(const EngineState &state, TimePoint now)
{
    // A replica that first appears in a report counts as just used, like one loaded by this
    // daemon's own order.
    for (const auto &key : state.resident)
        if (!m_state.resident.contains(key))
            m_lastUsed.try_emplace(key, now);
    m_state = state;
    m_unloadingModel.clear();
    std::erase_if(m_unloadingAdapters, [&](const auto &it) {
        return !state.resident.contains(it.first) || now >= it.second;
    });
    for (const auto &[key, until] : m_unloadingAdapters)
        m_state.resident.erase(key);
    if (state.isBusy)
        m_reportAt = now + ReportInterval;
    else if (!m_unloadingAdapters.empty())
        m_reportAt = now + WantedReportInterval;
}

void EngineTracker::noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now)
{
    const bool isCurrentOrder = m_entry.startTimeMs == order.startTimeMs && m_pending
            && m_pending->order.expectedSequence == order.expectedSequence;
    if (!isCurrentOrder)
        return;
    switch (outcome) {
    case OrderOutcome::Accepted:
        noteAccepted(now);
        break;
    case OrderOutcome::Done:
        // An idle adapter is unloaded at once, which increases the sequence like any other order.
        if (order.action == IntentAction::Unload)
            m_state.sequence = std::max(m_state.sequence, order.expectedSequence + 1);
        finish(now);
        break;
    case OrderOutcome::Conflict:
        if (m_pending->phase != Phase::InProgress)
            m_pending.reset();
        m_reportAt = now;
        m_backoffUntil = now + ReportInterval;
        break;
    case OrderOutcome::Refused:
    case OrderOutcome::NotSent:
        m_pending.reset();
        m_backoffUntil = now + FailureBackoff;
        m_reportAt = now + FailureBackoff;
        break;
    case OrderOutcome::Unknown:
        m_pending->phase = Phase::Unknown;
        m_pending->resendAt = now + ResendDelay;
        m_reportAt = now;
        break;
    }
}

void EngineTracker::noteAccepted(TimePoint now)
{
    const auto &order = m_pending->order;
    m_state.sequence = std::max(m_state.sequence, order.expectedSequence + 1);
    if (order.action == IntentAction::Unload && order.isForAdapter()) {
        // An idle adapter would have been answered with Done, so requests still use this one.
        m_state.resident.erase(order.key);
        m_unloadingAdapters[order.key] = now + MaxAdapterDrainTime;
        m_pending.reset();
        m_reportAt = now + ReportLag;
        return;
    }
    // The engine executes one model order at a time, so earlier ones have completed.
    if (!order.isForAdapter())
        m_unloadingModel.clear();
    m_pending->phase = Phase::InProgress;
    m_pending->expectedEnd = now + m_pending->timing.duration;
    const auto least = m_pending->timing.leastDuration;
    m_pending->earliestEnd = least > Duration::zero() ? now + least : m_pending->expectedEnd;
    if (!m_pending->timing.hasFixedDuration)
        m_reportAt = m_pending->earliestEnd;
}

void EngineTracker::noteTimeLeft(Duration left, TimePoint now)
{
    if (m_pending && m_pending->phase == Phase::InProgress)
        m_pending->expectedEnd = now + left;
}

void EngineTracker::completeTimedOrder(TimePoint now)
{
    // Reports lag, so an order with a fixed duration completes before a report can show it. If it
    // takes longer after all, the next order ends in a conflict and requests are rejected
    // unexecuted.
    const bool hasElapsed = m_pending && m_pending->phase == Phase::InProgress
            && m_pending->timing.hasFixedDuration && now >= m_pending->expectedEnd;
    if (!hasElapsed)
        return;
    const bool isForAdapter = m_pending->order.isForAdapter();
    finish(now);
    if (!isForAdapter)
        m_reportAt = now + ReportLag;
}

void EngineTracker::finish(TimePoint now)
{
    const auto order = m_pending->order;
    m_pending.reset();
    if (!order.isForAdapter())
        m_copyUsed[order.key.model] = now;
    if (order.action == IntentAction::Load) {
        m_state.resident.insert(order.key);
        m_state.pendingAdapters.erase(order.key);
        m_lastUsed[order.key] = now;
        if (!order.isForAdapter()) {
            m_state.onDisk.insert(order.key.model);
            m_state.inMemory.insert(order.key.model);
        }
    } else if (order.isForAdapter()) {
        m_state.resident.erase(order.key);
    } else {
        finishUnload(order.key.model);
    }
}

void EngineTracker::finishUnload(const ModelId &model)
{
    const auto isOfModel = [&](const ReplicaKey &key) {
        return key.model == model;
    };
    for (const auto &key : m_state.resident)
        if (isOfModel(key))
            m_unloadingModel.insert(key);
    for (const auto &[key, until] : m_unloadingAdapters)
        if (isOfModel(key))
            m_unloadingModel.insert(key);
    std::erase_if(m_state.resident, isOfModel);
    std::erase_if(m_unloadingAdapters, [&](const auto &it) { return isOfModel(it.first); });
    // The engine keeps a copy of an unloaded model on its disk.
    m_state.onDisk.insert(model);
}

void EngineTracker::requestReport(TimePoint now)
{
    m_isReportWanted = true;
    if (!m_reportAt && now - m_reportedAt > WantedReportInterval)
        m_reportAt = now;
}

PlacementOrder EngineTracker::beginOrder(IntentAction action, const ReplicaKey &key,
                                         const OrderTiming &timing, TimePoint now)
{
    m_pending = Pending {};
    m_pending->order = { m_entry.id, m_entry.startTimeMs, action, key, m_state.sequence };
    m_pending->timing = timing;
    m_pending->expectedEnd = now + timing.duration;
    return m_pending->order;
}

std::optional<PlacementOrder> EngineTracker::takeOrderToResend(TimePoint now)
{
    if (!m_pending || m_pending->phase != Phase::Unknown || now < m_pending->resendAt || isHeldOff()
        || m_isEvacuated)
        return std::nullopt;
    m_pending->phase = Phase::Sent;
    return m_pending->order;
}

TimePoint EngineTracker::nextReportOfOrder(TimePoint now) const
{
    const bool isEndExpected = now >= m_pending->expectedEnd;
    const auto interval = isEndExpected ? ReportInterval : WantedReportInterval;
    return std::max(m_reportedAt + interval, m_pending->earliestEnd);
}

std::optional<TimePoint> EngineTracker::reportDueSince(Duration idleInterval, TimePoint now) const
{
    if (isHeldOff() || m_isEvacuated)
        return std::nullopt;
    auto dueAt = m_reportAt;
    if (!dueAt && m_pending && m_pending->phase == Phase::InProgress)
        dueAt = nextReportOfOrder(now);
    if (!dueAt)
        dueAt = m_reportedAt + idleInterval;
    return *dueAt <= now ? dueAt : std::nullopt;
}

void EngineTracker::noteReportRequested(TimePoint now)
{
    m_reportAt = now + ReportRetryInterval;
}

const PlacementOrder *EngineTracker::order() const noexcept
{
    return m_pending ? &m_pending->order : nullptr;
}

bool EngineTracker::isLoading(const ReplicaKey &key) const
{
    return m_pending && m_pending->order.action == IntentAction::Load
            && m_pending->order.key == key;
}

bool EngineTracker::isLoadingFromStore() const noexcept
{
    // No report shows the end of a load at an evacuated engine.
    return m_pending && m_pending->timing.isFromStore && !m_isEvacuated;
}

Duration EngineTracker::timeLeft(TimePoint now) const
{
    return m_pending ? std::max(m_pending->expectedEnd - now, Duration::zero()) : Duration::zero();
}

Duration EngineTracker::timeUntilFree(TimePoint now) const
{
    return std::max({ timeLeft(now), m_backoffUntil - now, Duration::zero() });
}

std::set<ReplicaKey> EngineTracker::serving() const
{
    auto keys = m_state.resident;
    if (!m_pending || m_pending->order.action != IntentAction::Unload)
        return keys;
    const auto &unloading = m_pending->order.key;
    std::erase_if(keys, [&](const auto &key) {
        return key == unloading || (unloading.adapter.isEmpty() && key.model == unloading.model);
    });
    return keys;
}

bool EngineTracker::serves(const ReplicaKey &key) const
{
    const bool isUnloading = m_pending && m_pending->order.action == IntentAction::Unload
            && m_pending->order.key == key;
    return m_state.resident.contains(key) && !isUnloading;
}

TimePoint EngineTracker::lastUsedAt(const ReplicaKey &key) const
{
    const auto it = m_lastUsed.find(key);
    return it == m_lastUsed.end() ? TimePoint() : it->second;
}

bool EngineTracker::isUsable(const ServiceId &service) const
{
    return m_entry.service == service && !m_entry.isDraining && !m_isEvacuated && !hasEnded()
            && m_missedReports < UnavailableAfterMissedReports && m_holdOffLeft < LongHoldOff;
}

bool EngineTracker::acceptsOrders(const ServiceId &service) const
{
    // The load of a former leader's order takes memory but is not reported until it completes.
    const bool isForeignOrder = m_state.isBusy && !m_pending;
    return isUsable(service) && !isHeldOff() && m_hasReport && !isForeignOrder;
}

Megabytes EngineTracker::freeMemory(const EngineSpec &engine) const
{
    auto held = m_state.resident;
    held.insert(m_state.pendingAdapters.begin(), m_state.pendingAdapters.end());
    for (const auto &[key, until] : m_unloadingAdapters)
        held.insert(key);
    if (m_pending && m_pending->order.action == IntentAction::Load)
        held.insert(m_pending->order.key);
    auto free = engine.weights;
    for (const auto &key : held)
        free -= sizeOf(engine, key);
    return free;
}

Megabytes EngineTracker::freeForAdapters(const EngineSpec &engine) const
{
    auto free = freeMemory(engine);
    for (const auto &key : m_unloadingModel)
        free -= sizeOf(engine, key);
    return free;
}

std::set<ModelId> EngineTracker::evictedCopies(const std::set<ModelId> &copies,
                                               const EngineSpec &engine, Megabytes room,
                                               const ModelId &model) const
{
    std::set<ModelId> evicted;
    if (room <= 0 || copies.contains(model))
        return evicted;
    auto free = room - sizeOf(engine, { model, AdapterId() });
    std::vector<std::pair<TimePoint, ModelId>> byUse;
    for (const auto &copy : copies) {
        const auto used = m_copyUsed.find(copy);
        byUse.emplace_back(used == m_copyUsed.end() ? TimePoint() : used->second, copy);
        // The size of a model that is no longer configured is not known.
        if (engine.models.contains(copy))
            free -= sizeOf(engine, { copy, AdapterId() });
    }
    std::sort(byUse.begin(), byUse.end());
    TimePoint latest;
    for (const auto &[usedAt, copy] : byUse) {
        const bool isTied = !evicted.empty() && usedAt == latest;
        if (free >= 0 && !isTied)
            break;
        evicted.insert(copy);
        latest = usedAt;
        if (engine.models.contains(copy))
            free += sizeOf(engine, { copy, AdapterId() });
    }
    return evicted;
}

std::vector<ModelId> EngineTracker::copiesLostByLoading(const EngineSpec &engine,
                                                        const ModelId &model) const
{
    const auto fromMemory = evictedCopies(m_state.inMemory, engine, engine.hostMemory, model);
    const auto fromDisk = evictedCopies(m_state.onDisk, engine, engine.disk, model);
    auto candidates = fromMemory;
    candidates.insert(fromDisk.begin(), fromDisk.end());
    std::vector<ModelId> lost;
    for (const auto &it : candidates) {
        const bool isInMemory = m_state.inMemory.contains(it) && !fromMemory.contains(it);
        const bool isOnDisk = m_state.onDisk.contains(it) && !fromDisk.contains(it);
        if (!isInMemory && !isOnDisk && !m_state.resident.contains({ it, AdapterId() }))
            lost.push_back(it);
    }
    return lost;
}

std::size_t EngineTracker::adapterSlotsTaken() const
{
    std::set<ReplicaKey> adapters;
    for (const auto *keys : { &m_state.resident, &m_state.pendingAdapters, &m_unloadingModel })
        for (const auto &key : *keys)
            if (!key.adapter.isEmpty())
                adapters.insert(key);
    for (const auto &[key, until] : m_unloadingAdapters)
        adapters.insert(key);
    return adapters.size();
}

std::optional<ReplicaKey> EngineTracker::leastRecentlyUsedAdapter() const
{
    // The unload in progress frees a slot without another order.
    if (!m_unloadingModel.empty() || !m_unloadingAdapters.empty())
        return std::nullopt;
    std::optional<ReplicaKey> leastRecent;
    for (const auto &key : m_state.resident)
        if (!key.adapter.isEmpty() && (!leastRecent || lastUsedAt(key) < lastUsedAt(*leastRecent)))
            leastRecent = key;
    return leastRecent;
}

} // namespace bluebell
