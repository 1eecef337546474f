#include "placement/swapplanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// An order that was not answered in time is repeated after this time.
constexpr Duration RepeatAfter = milliseconds(50);
/// Time that an adapter takes, with allowance for others on their way.
constexpr Duration AdapterLoad = milliseconds(15);
/// Time that an unload takes when nothing runs.
constexpr Duration UnloadTime = milliseconds(53);
/// How much later another target may have a model ready before a resident one makes way for it.
constexpr Duration EvictionCost = milliseconds(200);
/// Added to the time of a load, so that it has ended for certain.
constexpr Duration EndAllowance = milliseconds(15);
/// A report tells the state of this time ago at the latest.
constexpr Duration ReportLag = milliseconds(200);
/// Added to an unload that must wait for running requests.
constexpr Duration RunningWait = milliseconds(1000);
/// Between two reports while nothing is awaited.
constexpr Duration IdleReportEvery = std::chrono::seconds(3);
/// Between two reports of a target that should serve what is waited for.
constexpr Duration CheckEvery = milliseconds(300);
/// Reports in a row that did not come, after which a target counts as away.
constexpr unsigned MissedReportsOfAway = 2;
/// Between two reports while an order is awaited.
constexpr Duration ReportEvery = milliseconds(60);
/// How long an adapter may be used after it was told to leave before it is told again.
constexpr Duration LongestAdapterUse = std::chrono::seconds(10);
/// After a refusal or a failed connection.
constexpr Duration PauseAfterFailure = milliseconds(500);
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

} // namespace

double urgencyOf(int priority)
{
    return std::pow(3.0, 2 - std::clamp(priority, 0, 4));
}

double SwapPlanner::Wanted::pressure() const
{
    return urgency * (1.0 + toSeconds(oldestWait));
}

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

Megabytes SwapPlanner::sizeOf(const ServiceId &service, const ReplicaKey &key) const
{
    // A model that the configuration does not name any more still holds memory; no load fits then.
    const auto *spec = specOf(service, key.model);
    if (!spec)
        return std::numeric_limits<Megabytes>::infinity();
    return key.adapter.isEmpty() ? spec->weights : spec->adapterWeights;
}

void SwapPlanner::noteTargets(const std::map<TargetId, TargetEntry> &targets, TimePoint now)
{
    std::erase_if(m_targets, [&](const auto &it) { return !targets.contains(it.first); });
    for (const auto &[id, entry] : targets) {
        if (!entry.engine)
            continue;
        auto [it, isNew] = m_targets.try_emplace(id);
        auto &state = it->second;
        if (isNew || state.entry.born != entry.born) {
            state = TargetState {};
            state.engine = *entry.engine;
            state.reportAt = now;
        }
        state.entry = entry;
    }
}

void SwapPlanner::noteReport(const TargetId &target, std::uint64_t born, const EngineState &state,
                             TimePoint now)
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || (born != 0 && it->second.entry.born != born))
        return;
    it->second.reportAt.reset();
    it->second.reportedAt = now;
    it->second.missedReports = 0;
    it->second.isKnown = true;
    applyState(it->second, state, now);
}

void SwapPlanner::noteReportFailed(const TargetId &target)
{
    if (const auto it = m_targets.find(target); it != m_targets.end())
        ++it->second.missedReports;
}

void SwapPlanner::applyState(TargetState &it, const EngineState &state, TimePoint now)
{
    if (state.sequence < it.engine.sequence)
        return;
    it.engine.inMemory = state.inMemory;
    it.engine.onDisk = state.onDisk;
    if (!it.pending) {
        settle(it, state, now);
        return;
    }
    const auto &order = it.pending->order;
    if (state.sequence <= order.expectedSequence)
        return;
    // The number has moved on: either this order or another one was accepted.
    const bool isLoad = order.action == IntentAction::Load;
    const bool isDone = state.resident.contains(order.key) == isLoad;
    const bool isOther = state.sequence > order.expectedSequence + 1;
    it.engine.sequence = state.sequence;
    const bool isComing = isLoad && state.coming.contains(order.key);
    if (isDone || isOther || (!state.isBusy && !isComing)) {
        it.pending.reset();
        settle(it, state, now);
        return;
    }
    it.pending->phase = Phase::Carried;
}

void SwapPlanner::settle(TargetState &it, const EngineState &state, TimePoint now)
{
    it.engine = state;
    it.leavingModel.clear();
    std::erase_if(it.leavingAdapters, [&](const auto &leaving) {
        return !state.resident.contains(leaving.first) || now >= leaving.second;
    });
    for (const auto &[key, until] : it.leavingAdapters)
        it.engine.resident.erase(key);
    if (state.isBusy)
        it.reportAt = now + ReportEvery;
    else if (!it.leavingAdapters.empty())
        it.reportAt = now + CheckEvery;
}

void SwapPlanner::noteDemand(const VmId &vm, std::vector<ModelDemand> demand,
                             std::vector<ModelInFlight> inFlight, TimePoint now)
{
    for (const auto &it : inFlight)
        if (const auto target = m_targets.find(it.target); target != m_targets.end())
            target->second.lastUsed[it.key] = now;
    m_demand[vm] = { std::move(demand), std::move(inFlight), now };
}

void SwapPlanner::finish(TargetState &it, TimePoint now)
{
    const auto &order = it.pending->order;
    if (order.action == IntentAction::Load) {
        it.engine.resident.insert(order.key);
        it.engine.coming.erase(order.key);
        it.lastUsed[order.key] = now;
        if (order.key.adapter.isEmpty()) {
            it.engine.onDisk.insert(order.key.model);
            it.engine.inMemory.insert(order.key.model);
        }
    } else if (order.key.adapter.isEmpty()) {
        const auto isOfModel = [&](const auto &key) {
            return key.model == order.key.model;
        };
        for (const auto &key : it.engine.resident)
            if (isOfModel(key))
                it.leavingModel.insert(key);
        for (const auto &[key, until] : it.leavingAdapters)
            if (isOfModel(key))
                it.leavingModel.insert(key);
        std::erase_if(it.engine.resident, isOfModel);
        std::erase_if(it.leavingAdapters,
                      [&](const auto &leaving) { return isOfModel(leaving.first); });
        // What was held before stays on the target's disk.
        it.engine.onDisk.insert(order.key.model);
    } else {
        it.engine.resident.erase(order.key);
    }
    it.pending.reset();
}

void SwapPlanner::noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now)
{
    const auto found = m_targets.find(order.target);
    if (found == m_targets.end() || found->second.entry.born != order.born)
        return;
    auto &it = found->second;
    if (!it.pending || it.pending->order.expectedSequence != order.expectedSequence)
        return;
    switch (outcome) {
    case OrderOutcome::Accepted:
        noteAccepted(it, order, now);
        break;
    case OrderOutcome::Done:
        // An adapter leaves at once, and that counts as an order.
        if (order.action == IntentAction::Unload)
            it.engine.sequence = std::max(it.engine.sequence, order.expectedSequence + 1);
        finish(it, now);
        break;
    case OrderOutcome::Conflict:
        if (it.pending->phase != Phase::Carried)
            it.pending.reset();
        it.reportAt = now;
        it.pausedUntil = now + ReportEvery;
        break;
    case OrderOutcome::Refused:
    case OrderOutcome::NotSent:
        it.pending.reset();
        it.pausedUntil = now + PauseAfterFailure;
        it.reportAt = now + PauseAfterFailure;
        break;
    case OrderOutcome::Unknown:
        it.pending->phase = Phase::Unknown;
        it.pending->repeatAt = now + RepeatAfter;
        it.reportAt = now;
        break;
    }
}

void SwapPlanner::noteAccepted(TargetState &it, const PlacementOrder &order, TimePoint now)
{
    it.engine.sequence = std::max(it.engine.sequence, order.expectedSequence + 1);
    if (order.action == IntentAction::Unload && !order.key.adapter.isEmpty()) {
        // One that leaves at once is answered as done; requests still use this one.
        it.engine.resident.erase(order.key);
        it.leavingAdapters[order.key] = now + LongestAdapterUse;
        it.pending.reset();
        it.reportAt = now + ReportLag;
        return;
    }
    // The target carries out one model order at a time, so those before have ended.
    if (order.key.adapter.isEmpty())
        it.leavingModel.clear();
    it.pending->phase = Phase::Carried;
    it.pending->expectedEnd = now + it.pending->duration;
    if (!it.pending->endsOnTime)
        it.reportAt = it.pending->expectedEnd;
}

std::vector<TargetId> SwapPlanner::reportsDue(TimePoint now)
{
    std::vector<TargetId> due;
    for (auto &[id, it] : m_targets) {
        // Reports lag; what takes a known time is done before one can tell. If it is not, the next
        // order meets a conflict, and requests are told that they did not run.
        if (it.pending && it.pending->phase == Phase::Carried && it.pending->endsOnTime
            && now >= it.pending->expectedEnd) {
            const bool isAdapter = !it.pending->order.key.adapter.isEmpty();
            finish(it, now);
            if (!isAdapter)
                it.reportAt = now + ReportLag;
        }
        if (it.pending && it.pending->phase == Phase::Carried && !it.reportAt)
            it.reportAt = std::max(now + ReportEvery, it.pending->expectedEnd);
        if (!it.reportAt && now - it.reportedAt > IdleReportEvery)
            it.reportAt = now;
        if (it.reportAt && now >= *it.reportAt) {
            due.push_back(id);
            it.reportAt = now + 5 * ReportEvery;
        }
    }
    return due;
}

Residents SwapPlanner::residents() const
{
    Residents all;
    for (const auto &[id, it] : m_targets) {
        auto &keys = all[id];
        keys = it.engine.resident;
        if (!it.pending || it.pending->order.action != IntentAction::Unload)
            continue;
        const auto &leaving = it.pending->order.key;
        if (leaving.adapter.isEmpty())
            std::erase_if(keys, [&](const auto &key) { return key.model == leaving.model; });
        else
            keys.erase(leaving);
    }
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
              [](const auto &a, const auto &b) { return a.pressure() > b.pressure(); });
}

const SwapPlanner::Wanted *SwapPlanner::wantOf(const ServiceId &service,
                                               const ReplicaKey &key) const
{
    const auto it = std::find_if(m_wanted.begin(), m_wanted.end(), [&](const auto &wanted) {
        return wanted.service == service && wanted.key == key;
    });
    return it == m_wanted.end() ? nullptr : &*it;
}

bool SwapPlanner::isUsable(const TargetState &it, const ServiceId &service)
{
    return it.entry.service == service && !it.entry.isDraining
            && it.missedReports < MissedReportsOfAway;
}

bool SwapPlanner::takesOrders(const TargetState &it, const ServiceId &service)
{
    // What a former holder's order loads holds memory, but is not listed before it is done.
    const bool isOthersOrder = it.engine.isBusy && !it.pending;
    return isUsable(it, service) && it.isKnown && !isOthersOrder;
}

Megabytes SwapPlanner::freeOf(const TargetState &it) const
{
    const auto *engine = engineOf(it.entry.service);
    if (!engine)
        return 0;
    auto free = engine->weights;
    for (const auto &key : it.engine.resident)
        free -= sizeOf(it.entry.service, key);
    if (it.pending && it.pending->order.action == IntentAction::Load
        && !it.engine.resident.contains(it.pending->order.key))
        free -= sizeOf(it.entry.service, it.pending->order.key);
    for (const auto &key : it.engine.coming)
        if (!it.engine.resident.contains(key))
            free -= sizeOf(it.entry.service, key);
    for (const auto &[key, until] : it.leavingAdapters)
        free -= sizeOf(it.entry.service, key);
    return free;
}

Megabytes SwapPlanner::freeForAdapters(const TargetState &it) const
{
    auto free = freeOf(it);
    for (const auto &key : it.leavingModel)
        free -= sizeOf(it.entry.service, key);
    return free;
}

std::size_t SwapPlanner::adapterPlacesTaken(const TargetState &it)
{
    std::set<ReplicaKey> adapters;
    for (const auto *keys : { &it.engine.resident, &it.engine.coming, &it.leavingModel })
        for (const auto &key : *keys)
            if (!key.adapter.isEmpty())
                adapters.insert(key);
    for (const auto &[key, until] : it.leavingAdapters)
        adapters.insert(key);
    return adapters.size();
}

std::size_t SwapPlanner::copiesOf(const ReplicaKey &key, const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(), [&](const auto &it) {
                const auto &state = it.second;
                const bool isLeaving = state.pending
                        && state.pending->order.action == IntentAction::Unload
                        && state.pending->order.key == key;
                return isUsable(state, service) && state.engine.resident.contains(key)
                        && !isLeaving;
            }));
}

std::size_t SwapPlanner::comingOf(const ReplicaKey &key, const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(), [&](const auto &it) {
                const auto &state = it.second;
                return isUsable(state, service) && state.pending
                        && state.pending->order.action == IntentAction::Load
                        && state.pending->order.key == key;
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
            std::count_if(m_targets.begin(), m_targets.end(), [](const auto &it) {
                return it.second.pending && it.second.pending->isFromStore;
            }));
}

bool SwapPlanner::mayLoadFromStore(const EngineSpec &engine, TimePoint now) const
{
    const auto recent = std::count_if(m_storeLoads.begin(), m_storeLoads.end(),
                                      [&](TimePoint at) { return now - at < StoreWindow; });
    const auto allowed = StoreShare * engine.storeLoadsPerSecond * toSeconds(StoreWindow);
    return static_cast<double>(recent) + 1 <= std::max(allowed, 1.0);
}

double SwapPlanner::lossOf(const TargetState &it, const ReplicaKey &key) const
{
    const auto &service = it.entry.service;
    double perSecond = 0;
    double waiting = 0;
    for (const auto &wanted : m_wanted) {
        if (wanted.service != service || wanted.key.model != key.model)
            continue;
        perSecond += wanted.arrivalsPerSecond;
        waiting += wanted.urgency;
    }
    const auto copies = copiesOf(key, service);
    const auto running = inFlightAt(it.entry.id, key.model);
    // With the last copy, all requests of the time of a load are late.
    const auto missed = copies <= 1 ? 2.0 * perSecond + waiting : perSecond * 0.5;
    return missed * 2.0 + running * 1.5;
}

std::optional<std::vector<ReplicaKey>> SwapPlanner::victimsFor(const TargetState &it,
                                                               Megabytes needed, double gain) const
{
    std::vector<ReplicaKey> victims;
    auto free = freeOf(it);
    if (free >= needed)
        return victims;
    std::vector<std::pair<double, ReplicaKey>> order;
    for (const auto &key : it.engine.resident)
        if (key.adapter.isEmpty())
            order.emplace_back(lossOf(it, key), key);
    std::sort(order.begin(), order.end(), [&](const auto &a, const auto &b) {
        if (a.first != b.first)
            return a.first < b.first;
        const auto usedAt = [&](const ReplicaKey &key) {
            const auto used = it.lastUsed.find(key);
            return used == it.lastUsed.end() ? TimePoint() : used->second;
        };
        return usedAt(a.second) < usedAt(b.second);
    });
    for (const auto &[loss, key] : order) {
        if (loss >= gain)
            break;
        victims.push_back(key);
        for (const auto &held : it.engine.resident)
            if (held.model == key.model)
                free += sizeOf(it.entry.service, held);
        if (free >= needed)
            return victims;
    }
    return std::nullopt;
}

Duration SwapPlanner::loadTime(const TargetState &it, const ModelId &model, bool &isFromStore) const
{
    isFromStore = false;
    const auto *spec = specOf(it.entry.service, model);
    if (!spec)
        return std::chrono::hours(1);
    if (it.engine.inMemory.contains(model))
        return spec->memoryLoad;
    if (it.engine.onDisk.contains(model))
        return spec->diskLoad;
    isFromStore = true;
    const auto n = storeLoadsUnderWay() + 1;
    const auto slowdown =
            std::max(1.0, static_cast<double>(n) / static_cast<double>(FullSpeedLoads));
    return std::chrono::duration_cast<Duration>(spec->storeLoad * slowdown);
}

std::optional<SwapPlanner::Candidate> SwapPlanner::bestTarget(const Wanted &wanted,
                                                              TimePoint now) const
{
    std::optional<Candidate> best;
    std::uint32_t bestLoad = 0;
    const auto bytes = sizeOf(wanted.service, wanted.key);
    for (const auto &[id, it] : m_targets) {
        if (!takesOrders(it, wanted.service) || it.engine.resident.contains(wanted.key)
            || m_reserved.contains(id))
            continue;
        Candidate candidate { id, Duration::zero(), false, {} };
        candidate.readyIn = loadTime(it, wanted.key.model, candidate.isFromStore);
        const auto freeAt = it.pending ? it.pending->expectedEnd : now;
        candidate.readyIn += std::max({ freeAt - now, it.pausedUntil - now, Duration::zero() });
        auto victims = victimsFor(it, bytes, wanted.pressure());
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

void SwapPlanner::order(TargetState &it, IntentAction action, const ReplicaKey &key, TimePoint now,
                        std::vector<PlacementOrder> &orders)
{
    Pending pending;
    pending.order = { it.entry.id, it.entry.born, action, key, it.engine.sequence };
    if (!key.adapter.isEmpty()) {
        pending.duration = AdapterLoad;
        pending.endsOnTime = true;
    } else if (action == IntentAction::Load) {
        pending.duration = loadTime(it, key.model, pending.isFromStore) + EndAllowance;
        pending.endsOnTime = !pending.isFromStore;
        if (pending.isFromStore)
            m_storeLoads.push_back(now);
        while (m_storeLoads.size() > 1000)
            m_storeLoads.pop_front();
    } else {
        const bool hasRunning = inFlightAt(it.entry.id, key.model) > 0;
        pending.duration = UnloadTime + (hasRunning ? RunningWait : Duration::zero());
        pending.endsOnTime = !hasRunning;
    }
    pending.expectedEnd = now + pending.duration;
    orders.push_back(pending.order);
    it.pending = std::move(pending);
}

void SwapPlanner::checkHolders(const Wanted &wanted, TimePoint now)
{
    for (auto &[id, it] : m_targets)
        if (it.engine.resident.contains(wanted.key) && !it.reportAt
            && now - it.reportedAt > CheckEvery)
            it.reportAt = now;
}

void SwapPlanner::planAdapter(const Wanted &wanted, TimePoint now,
                              std::vector<PlacementOrder> &orders)
{
    const auto *engine = engineOf(wanted.service);
    if (!engine || isPlacedOrComing(wanted.key, wanted.service))
        return;
    TargetState *best = nullptr;
    for (auto &[id, it] : m_targets) {
        if (!takesOrders(it, wanted.service) || it.pending || now < it.pausedUntil
            || !it.engine.resident.contains({ wanted.key.model, AdapterId() }))
            continue;
        if (!best || loadOf(id) < loadOf(best->entry.id))
            best = &it;
    }
    if (!best)
        return;
    std::vector<ReplicaKey> held;
    for (const auto &key : best->engine.resident)
        if (!key.adapter.isEmpty())
            held.push_back(key);
    if (adapterPlacesTaken(*best) < engine->adapterSlots
        && freeForAdapters(*best) >= sizeOf(wanted.service, wanted.key)) {
        order(*best, IntentAction::Load, wanted.key, now, orders);
        return;
    }
    const auto usedAt = [&](const ReplicaKey &key) {
        const auto used = best->lastUsed.find(key);
        return used == best->lastUsed.end() ? TimePoint() : used->second;
    };
    const auto oldest =
            std::min_element(held.begin(), held.end(),
                             [&](const auto &a, const auto &b) { return usedAt(a) < usedAt(b); });
    // What is leaving makes the place without another order.
    if (oldest != held.end() && best->leavingModel.empty() && best->leavingAdapters.empty())
        order(*best, IntentAction::Unload, *oldest, now, orders);
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
    const auto mostLoads = wanted.pressure() >= UrgentPressure ? UrgentLoads : FullSpeedLoads;
    if (best->isFromStore && (storeLoadsUnderWay() >= mostLoads || !mayLoadFromStore(*engine, now)))
        return;
    makeRoomOrLoad(*best, key, now, orders);
}

void SwapPlanner::makeRoomOrLoad(const Candidate &candidate, const ReplicaKey &key, TimePoint now,
                                 std::vector<PlacementOrder> &orders)
{
    m_reserved.insert(candidate.target);
    auto &it = m_targets.at(candidate.target);
    if (it.pending || now < it.pausedUntil)
        return;
    if (candidate.victims.empty())
        order(it, IntentAction::Load, key, now, orders);
    else
        order(it, IntentAction::Unload, candidate.victims.front(), now, orders);
}

std::vector<LoadEstimate> SwapPlanner::estimates(TimePoint now) const
{
    std::vector<LoadEstimate> all;
    for (const auto &[id, it] : m_targets) {
        const bool isLoad = it.pending && it.pending->order.action == IntentAction::Load
                && it.pending->order.key.adapter.isEmpty();
        if (isLoad)
            all.push_back({ it.entry.service, it.pending->order.key.model,
                            std::max(it.pending->expectedEnd - now, Duration::zero()) });
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

void SwapPlanner::planPrefetch(TimePoint now, std::vector<PlacementOrder> &orders)
{
    for (const auto &[service, spec] : m_services) {
        if (!spec.engine || storeLoadsUnderWay() >= PrefetchLoads
            || !mayLoadFromStore(*spec.engine, now))
            continue;
        std::set<ModelId> atHand;
        for (const auto &[id, it] : m_targets) {
            if (!isUsable(it, service))
                continue;
            atHand.insert(it.engine.inMemory.begin(), it.engine.inMemory.end());
            atHand.insert(it.engine.onDisk.begin(), it.engine.onDisk.end());
            for (const auto &key : it.engine.resident)
                atHand.insert(key.model);
            if (it.pending)
                atHand.insert(it.pending->order.key.model);
        }
        const auto missing =
                std::find_if(spec.engine->models.begin(), spec.engine->models.end(),
                             [&](const auto &model) { return !atHand.contains(model.first); });
        if (missing == spec.engine->models.end())
            continue;
        TargetState *best = nullptr;
        for (auto &[id, it] : m_targets) {
            if (!takesOrders(it, service) || it.pending || now < it.pausedUntil
                || m_reserved.contains(id)
                || !victimsFor(it, missing->second.weights, PrefetchGain))
                continue;
            if (!best || it.engine.onDisk.size() < best->engine.onDisk.size())
                best = &it;
        }
        if (!best)
            continue;
        const auto victims = *victimsFor(*best, missing->second.weights, PrefetchGain);
        if (victims.empty())
            order(*best, IntentAction::Load, { missing->first, AdapterId() }, now, orders);
        else
            order(*best, IntentAction::Unload, victims.front(), now, orders);
    }
}

void SwapPlanner::planRepeats(TimePoint now, std::vector<PlacementOrder> &orders)
{
    for (auto &[id, it] : m_targets) {
        if (!it.pending || it.pending->phase != Phase::Unknown || now < it.pending->repeatAt)
            continue;
        it.pending->phase = Phase::Sent;
        orders.push_back(it.pending->order);
    }
}

std::vector<PlacementOrder> SwapPlanner::plan(TimePoint now)
{
    std::vector<PlacementOrder> orders;
    gather(now);
    m_reserved.clear();
    planRepeats(now, orders);
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
