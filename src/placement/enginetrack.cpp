#include "placement/enginetrack.h"

#include <algorithm>
#include <limits>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// An order that was not answered in time is repeated after this time.
constexpr Duration RepeatAfter = milliseconds(50);
/// A report tells the state of this time ago at the latest.
constexpr Duration ReportLag = milliseconds(260);
/// Between two reports while nothing is awaited.
constexpr Duration IdleReportEvery = std::chrono::seconds(3);
/// Between two reports while an order is awaited.
constexpr Duration ReportEvery = milliseconds(60);
/// A report that did not come is asked for again after this time.
constexpr Duration ReportRepeat = milliseconds(300);
/// Between two reports of an engine that should serve what is waited for.
constexpr Duration CheckEvery = milliseconds(300);
/// Reports in a row that did not come, after which an engine counts as away.
constexpr unsigned MissedReportsOfAway = 2;
/// How long an adapter may be used after it was told to leave before it is told again.
constexpr Duration LongestAdapterUse = std::chrono::seconds(10);
/// After a refusal or a failed connection.
constexpr Duration PauseAfterFailure = milliseconds(500);

} // namespace

Megabytes sizeOf(const EngineSpec &engine, const ReplicaKey &key)
{
    const auto it = engine.models.find(key.model);
    // A model that the configuration does not name any more still holds memory; no load fits then.
    if (it == engine.models.end())
        return std::numeric_limits<Megabytes>::infinity();
    return key.adapter.isEmpty() ? it->second.weights : it->second.adapterWeights;
}

void EngineTrack::noteEntry(const TargetEntry &entry, TimePoint now)
{
    const bool isSame = m_entry.id == entry.id && m_entry.born == entry.born;
    if (!isSame) {
        *this = EngineTrack();
        m_state = *entry.engine;
        m_reportAt = now;
    }
    m_entry = entry;
}

void EngineTrack::noteReport(const EngineState &state, TimePoint now)
{
    m_reportAt.reset();
    m_reportedAt = now;
    m_missedReports = 0;
    m_isKnown = true;
    if (state.sequence < m_state.sequence)
        return;
    m_state.inMemory = state.inMemory;
    m_state.onDisk = state.onDisk;
    if (!m_pending) {
        settle(state, now);
        return;
    }
    const auto &order = m_pending->order;
    if (state.sequence <= order.expectedSequence)
        return;
    // The number has moved on: either this order or another one was accepted.
    const bool isLoad = order.action == IntentAction::Load;
    const bool isDone = state.resident.contains(order.key) == isLoad;
    const bool isOther = state.sequence > order.expectedSequence + 1;
    m_state.sequence = state.sequence;
    const bool isComing = isLoad && state.coming.contains(order.key);
    if (isDone || isOther || (!state.isBusy && !isComing)) {
        m_pending.reset();
        settle(state, now);
        return;
    }
    m_pending->phase = Phase::Carried;
}

void EngineTrack::settle(const EngineState &state, TimePoint now)
{
    // What has come without this daemon's knowing is as new as what it has loaded itself.
    for (const auto &key : state.resident)
        if (!m_state.resident.contains(key))
            m_lastUsed.try_emplace(key, now);
    m_state = state;
    m_leavingModel.clear();
    std::erase_if(m_leavingAdapters, [&](const auto &it) {
        return !state.resident.contains(it.first) || now >= it.second;
    });
    for (const auto &[key, until] : m_leavingAdapters)
        m_state.resident.erase(key);
    if (state.isBusy)
        m_reportAt = now + ReportEvery;
    else if (!m_leavingAdapters.empty())
        m_reportAt = now + CheckEvery;
}

void EngineTrack::noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now)
{
    const bool isUnderWay = m_entry.born == order.born && m_pending
            && m_pending->order.expectedSequence == order.expectedSequence;
    if (!isUnderWay)
        return;
    switch (outcome) {
    case OrderOutcome::Accepted:
        noteAccepted(now);
        break;
    case OrderOutcome::Done:
        // An adapter leaves at once, and that counts as an order.
        if (order.action == IntentAction::Unload)
            m_state.sequence = std::max(m_state.sequence, order.expectedSequence + 1);
        finish(now);
        break;
    case OrderOutcome::Conflict:
        if (m_pending->phase != Phase::Carried)
            m_pending.reset();
        m_reportAt = now;
        m_pausedUntil = now + ReportEvery;
        break;
    case OrderOutcome::Refused:
    case OrderOutcome::NotSent:
        m_pending.reset();
        m_pausedUntil = now + PauseAfterFailure;
        m_reportAt = now + PauseAfterFailure;
        break;
    case OrderOutcome::Unknown:
        m_pending->phase = Phase::Unknown;
        m_pending->repeatAt = now + RepeatAfter;
        m_reportAt = now;
        break;
    }
}

void EngineTrack::noteAccepted(TimePoint now)
{
    const auto &order = m_pending->order;
    m_state.sequence = std::max(m_state.sequence, order.expectedSequence + 1);
    if (order.action == IntentAction::Unload && order.isForAdapter()) {
        // One that leaves at once is answered as done; requests still use this one.
        m_state.resident.erase(order.key);
        m_leavingAdapters[order.key] = now + LongestAdapterUse;
        m_pending.reset();
        m_reportAt = now + ReportLag;
        return;
    }
    // The engine carries out one model order at a time, so those before have ended.
    if (!order.isForAdapter())
        m_leavingModel.clear();
    m_pending->phase = Phase::Carried;
    m_pending->expectedEnd = now + m_pending->timing.duration;
    if (!m_pending->timing.endsOnTime)
        m_reportAt = m_pending->expectedEnd;
}

void EngineTrack::noteTime(TimePoint now)
{
    // Reports lag; what takes a known time is done before one can tell. If it is not, the next
    // order meets a conflict, and requests are told that they did not run.
    const bool isOver = m_pending && m_pending->phase == Phase::Carried
            && m_pending->timing.endsOnTime && now >= m_pending->expectedEnd;
    if (!isOver)
        return;
    const bool isForAdapter = m_pending->order.isForAdapter();
    finish(now);
    if (!isForAdapter)
        m_reportAt = now + ReportLag;
}

void EngineTrack::finish(TimePoint now)
{
    const auto order = m_pending->order;
    m_pending.reset();
    if (order.action == IntentAction::Load) {
        m_state.resident.insert(order.key);
        m_state.coming.erase(order.key);
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

void EngineTrack::finishUnload(const ModelId &model)
{
    const auto isOfModel = [&](const ReplicaKey &key) {
        return key.model == model;
    };
    for (const auto &key : m_state.resident)
        if (isOfModel(key))
            m_leavingModel.insert(key);
    for (const auto &[key, until] : m_leavingAdapters)
        if (isOfModel(key))
            m_leavingModel.insert(key);
    std::erase_if(m_state.resident, isOfModel);
    std::erase_if(m_leavingAdapters, [&](const auto &it) { return isOfModel(it.first); });
    // What was held before stays on the engine's disk.
    m_state.onDisk.insert(model);
}

void EngineTrack::checkSoon(TimePoint now)
{
    if (!m_reportAt && now - m_reportedAt > CheckEvery)
        m_reportAt = now;
}

PlacementOrder EngineTrack::give(IntentAction action, const ReplicaKey &key,
                                 const OrderTiming &timing, TimePoint now)
{
    m_pending = Pending {};
    m_pending->order = { m_entry.id, m_entry.born, action, key, m_state.sequence };
    m_pending->timing = timing;
    m_pending->expectedEnd = now + timing.duration;
    return m_pending->order;
}

std::optional<PlacementOrder> EngineTrack::takeRepeat(TimePoint now)
{
    if (!m_pending || m_pending->phase != Phase::Unknown || now < m_pending->repeatAt)
        return std::nullopt;
    m_pending->phase = Phase::Sent;
    return m_pending->order;
}

bool EngineTrack::takeReportDue(TimePoint now)
{
    if (m_pending && m_pending->phase == Phase::Carried && !m_reportAt)
        m_reportAt = std::max(now + ReportEvery, m_pending->expectedEnd);
    if (!m_reportAt && now - m_reportedAt > IdleReportEvery)
        m_reportAt = now;
    if (!m_reportAt || now < *m_reportAt)
        return false;
    m_reportAt = now + ReportRepeat;
    return true;
}

const PlacementOrder *EngineTrack::order() const noexcept
{
    return m_pending ? &m_pending->order : nullptr;
}

bool EngineTrack::isLoading(const ReplicaKey &key) const
{
    return m_pending && m_pending->order.action == IntentAction::Load
            && m_pending->order.key == key;
}

bool EngineTrack::isLoadingFromStore() const noexcept
{
    return m_pending && m_pending->timing.isFromStore;
}

Duration EngineTrack::timeLeft(TimePoint now) const
{
    return m_pending ? std::max(m_pending->expectedEnd - now, Duration::zero()) : Duration::zero();
}

Duration EngineTrack::freeIn(TimePoint now) const
{
    return std::max({ timeLeft(now), m_pausedUntil - now, Duration::zero() });
}

std::set<ReplicaKey> EngineTrack::serving() const
{
    auto keys = m_state.resident;
    if (!m_pending || m_pending->order.action != IntentAction::Unload)
        return keys;
    const auto &leaving = m_pending->order.key;
    std::erase_if(keys, [&](const auto &key) {
        return key == leaving || (leaving.adapter.isEmpty() && key.model == leaving.model);
    });
    return keys;
}

bool EngineTrack::serves(const ReplicaKey &key) const
{
    const bool isLeaving = m_pending && m_pending->order.action == IntentAction::Unload
            && m_pending->order.key == key;
    return m_state.resident.contains(key) && !isLeaving;
}

TimePoint EngineTrack::usedAt(const ReplicaKey &key) const
{
    const auto it = m_lastUsed.find(key);
    return it == m_lastUsed.end() ? TimePoint() : it->second;
}

bool EngineTrack::isUsable(const ServiceId &service) const
{
    return m_entry.service == service && !m_entry.isDraining
            && m_missedReports < MissedReportsOfAway;
}

bool EngineTrack::takesOrders(const ServiceId &service) const
{
    // What a former holder's order loads holds memory, but is not listed before it is done.
    const bool isOthersOrder = m_state.isBusy && !m_pending;
    return isUsable(service) && m_isKnown && !isOthersOrder;
}

Megabytes EngineTrack::freeMemory(const EngineSpec &engine) const
{
    auto held = m_state.resident;
    held.insert(m_state.coming.begin(), m_state.coming.end());
    for (const auto &[key, until] : m_leavingAdapters)
        held.insert(key);
    if (m_pending && m_pending->order.action == IntentAction::Load)
        held.insert(m_pending->order.key);
    auto free = engine.weights;
    for (const auto &key : held)
        free -= sizeOf(engine, key);
    return free;
}

Megabytes EngineTrack::freeForAdapters(const EngineSpec &engine) const
{
    auto free = freeMemory(engine);
    for (const auto &key : m_leavingModel)
        free -= sizeOf(engine, key);
    return free;
}

std::size_t EngineTrack::adapterPlacesTaken() const
{
    std::set<ReplicaKey> adapters;
    for (const auto *keys : { &m_state.resident, &m_state.coming, &m_leavingModel })
        for (const auto &key : *keys)
            if (!key.adapter.isEmpty())
                adapters.insert(key);
    for (const auto &[key, until] : m_leavingAdapters)
        adapters.insert(key);
    return adapters.size();
}

std::optional<ReplicaKey> EngineTrack::idlestAdapter() const
{
    // What is leaving makes the place without another order.
    if (!m_leavingModel.empty() || !m_leavingAdapters.empty())
        return std::nullopt;
    std::optional<ReplicaKey> idlest;
    for (const auto &key : m_state.resident)
        if (!key.adapter.isEmpty() && (!idlest || usedAt(key) < usedAt(*idlest)))
            idlest = key;
    return idlest;
}

} // namespace bluebell
