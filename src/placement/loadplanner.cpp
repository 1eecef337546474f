#include "placement/loadplanner.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace bluebell {
namespace {

/// Window over which loads from the weight store are counted against its limit per second.
constexpr Duration PacingWindow = std::chrono::seconds(1);

} // namespace

LoadPlanner::LoadPlanner(std::string name, Epoch epoch, Settings settings, TimePoint now)
    : m_name(std::move(name)), m_epoch(epoch), m_settings(settings),
      m_records(settings.reportLifetime), m_demand(now)
{
}

// Events

void LoadPlanner::noteReport(const TargetId &target, TargetReport report, TimePoint now)
{
    if (!m_records.noteReport(target, std::move(report), now))
        return;
    for (const auto &replica : m_records.targets().at(target).report->replicas)
        m_demand.noteReported(replica, now);
}

void LoadPlanner::noteCommitted(const LedgerChange &change, RowVersion version)
{
    m_records.noteLedger(change.target, change.ledger, version);
    m_records.notePlaces(change.key, change.places, version);
}

void LoadPlanner::noteOrderSent(const TargetOrder &order, TimePoint now)
{
    m_sent[order.entry.intent] = now;
}

// Decisions

std::vector<LedgerChange> LoadPlanner::plan(TimePoint now)
{
    forgetExpired(now);
    std::vector<LedgerChange> changes;
    Touched touched;
    planRemovals(changes, touched);
    planUnrecordedReplicas(changes, touched);
    planLoads(changes, touched, now);
    planIdleUnloads(changes, touched, now);
    return changes;
}

std::vector<TargetOrder> LoadPlanner::orders(TimePoint now)
{
    std::vector<TargetOrder> orders;
    for (const auto &[target, state] : m_records.targets()) {
        for (const auto &[key, entry] : state.ledger) {
            if (!owns(key) || m_records.isConfirmed(target, key, entry)
                || m_records.isObsolete(target, key, entry))
                continue;
            const auto sent = m_sent.find(entry.intent);
            if (sent != m_sent.end() && now - sent->second < m_settings.resendInterval)
                continue;
            TargetOrder order { target, key, entry };
            order.entry.epoch = m_epoch;
            orders.push_back(std::move(order));
        }
    }
    return orders;
}

void LoadPlanner::forgetExpired(TimePoint now)
{
    m_demand.expire(m_settings.demandLifetime, now);
    std::erase_if(m_storeLoads, [&](TimePoint it) { return now - it >= PacingWindow; });
    std::erase_if(m_sent,
                  [&](const auto &it) { return now - it.second > 10 * m_settings.resendInterval; });
}

void LoadPlanner::planRemovals(std::vector<LedgerChange> &changes, Touched &touched)
{
    for (const auto &[target, state] : m_records.targets())
        for (const auto &[key, entry] : state.ledger)
            if (owns(key) && m_records.isObsolete(target, key, entry)
                && isUntouched(touched, target, key))
                addRemoval(target, key, changes, touched);
}

void LoadPlanner::planUnrecordedReplicas(std::vector<LedgerChange> &changes, Touched &touched)
{
    for (const auto &[target, state] : m_records.targets()) {
        if (!state.report || !state.isLedgerKnown)
            continue;
        for (const auto &replica : state.report->replicas)
            if (owns(replica.key) && !state.ledger.contains(replica.key)
                && replica.state != ReplicaState::Unloading
                && isUntouched(touched, target, replica.key))
                addUnload(target, replica.key, changes, touched);
    }
}

void LoadPlanner::planIdleUnloads(std::vector<LedgerChange> &changes, Touched &touched,
                                  TimePoint now)
{
    for (const auto &[target, state] : m_records.targets()) {
        const bool isLeaving = state.report && state.report->isLeaving;
        for (const auto &[key, entry] : state.ledger) {
            if (!canUnload(target, key) || !isUntouched(touched, target, key))
                continue;
            if (isLeaving || m_demand.idleTime(key, now) > idleLimit(key))
                addUnload(target, key, changes, touched);
        }
    }
}

void LoadPlanner::planLoads(std::vector<LedgerChange> &changes, Touched &touched, TimePoint now)
{
    for (const auto &wanted : m_demand.wanted())
        if (needsReplica(wanted.key, wanted.waiting))
            planLoad(wanted, changes, touched, now);
}

void LoadPlanner::planLoad(const WantedReplica &wanted, std::vector<LedgerChange> &changes,
                           Touched &touched, TimePoint now)
{
    const auto bytes = m_records.bytesOf(wanted.key);
    if (!bytes || touched.keys.contains(wanted.key))
        return;
    const auto places = candidates(wanted.key, touched, now);
    const auto target = chooseTarget(places, wanted.key, *bytes, now);
    if (!target) {
        const bool fitsSomewhere =
                std::any_of(places.begin(), places.end(),
                            [&](const TargetId &it) { return m_records.freeBytes(it) >= *bytes; });
        if (!fitsSomewhere)
            planEviction(places, *bytes, changes, touched, now);
        return;
    }
    auto change = m_records.makeChange(*target, wanted.key);
    const auto &incarnation = m_records.targets().at(*target).report->incarnation;
    change.ledger.insert_or_assign(
            wanted.key,
            LedgerEntry { nextIntent(), IntentAction::Load, *bytes, m_epoch, incarnation });
    change.places.insert(*target);
    touched.targets.insert(*target);
    touched.keys.insert(wanted.key);
    changes.push_back(std::move(change));
    ++m_loadsDecided;
    m_demand.noteLoadStarted(wanted.key, wanted.organisation, now);
    if (wanted.key.adapter.isEmpty()
        && m_records.tierOf(*target, wanted.key.model) == CacheTier::Remote)
        m_storeLoads.push_back(now);
}

void LoadPlanner::planEviction(const std::vector<TargetId> &candidates, Bytes bytes,
                               std::vector<LedgerChange> &changes, Touched &touched, TimePoint now)
{
    for (const auto &target : candidates) {
        const auto &state = m_records.targets().at(target);
        Bytes unloading = 0;
        for (const auto &[key, entry] : state.ledger)
            if (entry.action == IntentAction::Unload)
                unloading += entry.bytes;
        if (m_records.freeBytes(target) + unloading >= bytes)
            return;
    }
    std::optional<std::pair<TargetId, ReplicaKey>> best;
    for (const auto &target : candidates) {
        if (const auto key = evictable(target, m_settings.evictionMinIdle, now);
            key && (!best || m_demand.idleTime(*key, now) > m_demand.idleTime(best->second, now)))
            best = std::pair(target, *key);
    }
    if (best && isUntouched(touched, best->first, best->second))
        addUnload(best->first, best->second, changes, touched);
}

void LoadPlanner::addUnload(const TargetId &target, const ReplicaKey &key,
                            std::vector<LedgerChange> &changes, Touched &touched)
{
    auto change = m_records.makeChange(target, key);
    auto &entry = change.ledger[key];
    entry.intent = nextIntent();
    entry.action = IntentAction::Unload;
    entry.epoch = m_epoch;
    const auto &report = m_records.targets().at(target).report;
    if (report)
        entry.incarnation = report->incarnation;
    if (const auto *it = m_records.reported(target, key); it != nullptr)
        entry.bytes = std::max(entry.bytes, it->bytes);
    change.places.insert(target);
    touched.targets.insert(target);
    touched.keys.insert(key);
    changes.push_back(std::move(change));
}

void LoadPlanner::addRemoval(const TargetId &target, const ReplicaKey &key,
                             std::vector<LedgerChange> &changes, Touched &touched)
{
    auto change = m_records.makeChange(target, key);
    change.ledger.erase(key);
    change.places.erase(target);
    touched.targets.insert(target);
    touched.keys.insert(key);
    changes.push_back(std::move(change));
}

bool LoadPlanner::isUntouched(const Touched &touched, const TargetId &target, const ReplicaKey &key)
{
    return !touched.targets.contains(target) && !touched.keys.contains(key);
}

IntentId LoadPlanner::nextIntent()
{
    return IntentId(m_name + '-' + std::to_string(m_epoch) + '-' + std::to_string(m_nextIntent++));
}

// Queries

bool LoadPlanner::needsReplica(const ReplicaKey &key, std::uint32_t waiting) const
{
    return decidedReplicas(key) < m_records.replicaLimit(key) && waiting > m_records.slotsOf(key);
}

std::vector<TargetId> LoadPlanner::candidates(const ReplicaKey &key, const Touched &touched,
                                              TimePoint now) const
{
    std::vector<TargetId> targets;
    for (const auto &[target, rule] : m_records.rules().targets) {
        if (rule.kind != TargetKind::Engine || !m_records.isUsable(target, now))
            continue;
        if (touched.targets.contains(target) || m_records.targets().at(target).ledger.contains(key))
            continue;
        const ReplicaKey base { key.model, AdapterId() };
        if (!key.adapter.isEmpty() && !m_records.isResident(target, base))
            continue;
        if (m_records.hasRefused(target, key, m_settings.refusalBackoff, now))
            continue;
        targets.push_back(target);
    }
    return targets;
}

bool LoadPlanner::canUnload(const TargetId &target, const ReplicaKey &key) const
{
    return owns(key) && m_records.canUnload(target, key);
}

Duration LoadPlanner::idleLimit(const ReplicaKey &key) const
{
    const auto floor = m_records.rules().policy.minIdleTime;
    if (!m_demand.isKnown(key))
        return floor;
    return std::max(floor, m_demand.loadTime(key) * m_settings.idleFactor);
}

std::set<TargetId> LoadPlanner::unconfirmedTargets() const
{
    std::set<TargetId> targets;
    for (const auto &[target, state] : m_records.targets()) {
        for (const auto &[key, entry] : state.ledger) {
            const bool isSettled =
                    entry.action == IntentAction::Load && m_records.isResident(target, key);
            if (owns(key) && !isSettled)
                targets.insert(target);
        }
    }
    return targets;
}

ReplicaStatus LoadPlanner::status(const ReplicaKey &key, TimePoint now) const
{
    ReplicaStatus status;
    if (!m_records.hasPlaces(key) && !m_demand.isKnown(key))
        return status;
    for (const auto &target : m_records.placesOf(key)) {
        const auto &ledger = m_records.targets().find(target);
        if (ledger == m_records.targets().end() || !m_records.isUsable(target, now))
            continue;
        const auto entry = ledger->second.ledger.find(key);
        const bool isLoad =
                entry != ledger->second.ledger.end() && entry->second.action == IntentAction::Load;
        if (!isLoad)
            continue;
        (m_records.isResident(target, key) ? status.resident : status.loading).insert(target);
    }
    if (status.resident.empty())
        status.estimate = m_demand.loadTimeLeft(key, now);
    return status;
}

bool LoadPlanner::storeHasCapacity(const ReplicaKey &key, const TargetId &target,
                                   TimePoint /*now*/) const
{
    if (!m_records.rules().store)
        return true;
    const auto &store = *m_records.rules().store;
    if (!key.adapter.isEmpty())
        return m_records.loadsInProgress(true) < perShard(store.concurrentAdapters);
    if (m_records.tierOf(target, key.model) != CacheTier::Remote)
        return true;
    return m_records.loadsInProgress(false) < perShard(store.concurrentLoads)
            && m_storeLoads.size() < perShard(store.loadsPerSecond);
}

std::size_t shardOf(const ModelId &model, std::size_t shards)
{
    return stableHash(model.value()) % std::max<std::size_t>(shards, 1);
}

bool LoadPlanner::owns(const ReplicaKey &key) const
{
    return shardOf(key.model, m_settings.shards) == m_settings.shard;
}

std::size_t LoadPlanner::perShard(std::uint32_t limit) const
{
    return std::max<std::size_t>(limit / m_settings.shards, 1);
}

std::optional<TargetId> LoadPlanner::chooseTarget(const std::vector<TargetId> &candidates,
                                                  const ReplicaKey &key, Bytes bytes,
                                                  TimePoint now) const
{
    const bool prefersTier = m_records.rules().policy.placement == PlacementKind::TierAware;
    const auto cost = [&](const TargetId &target) {
        const auto tier = prefersTier ? m_records.tierOf(target, key.model) : CacheTier::Remote;
        return std::pair(tier, -static_cast<double>(m_records.freeBytes(target)));
    };
    std::optional<TargetId> best;
    for (const auto &target : candidates) {
        if (m_records.freeBytes(target) < bytes || !storeHasCapacity(key, target, now))
            continue;
        if (!best || cost(target) < cost(*best))
            best = target;
    }
    return best;
}

std::optional<ReplicaKey> LoadPlanner::evictable(const TargetId &target, Duration minIdle,
                                                 TimePoint now) const
{
    std::optional<ReplicaKey> best;
    for (const auto &[key, entry] : m_records.targets().at(target).ledger) {
        if (!canUnload(target, key) || m_demand.idleTime(key, now) < minIdle)
            continue;
        if (!best || m_demand.idleTime(key, now) > m_demand.idleTime(*best, now))
            best = key;
    }
    return best;
}

} // namespace bluebell
