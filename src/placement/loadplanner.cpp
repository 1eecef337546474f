#include "placement/loadplanner.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell {
namespace {

/// Window over which loads from the weight store are counted against its limit per second. It is
/// also added to every wait, so that a request that has just arrived has a score above 0.
constexpr Duration PacingWindow = std::chrono::seconds(1);
/// Half-life of the number of recent loads by which demand of an organisation is ranked.
constexpr Duration RecentLoadsHalfLife = std::chrono::seconds(10);

} // namespace

LoadPlanner::LoadPlanner(std::string name, Epoch epoch, Settings settings, TimePoint now)
    : m_name(std::move(name)), m_epoch(epoch), m_settings(settings), m_startedAt(now),
      m_rules(std::make_shared<const RuleSet>()), m_recentLoadsAt(now)
{
}

// Events

void LoadPlanner::noteRules(std::shared_ptr<const RuleSet> rules)
{
    m_rules = std::move(rules);
}

void LoadPlanner::noteLedger(const TargetId &target, Ledger ledger, RowVersion version)
{
    auto &state = m_targets[target];
    if (state.isLedgerKnown && version < state.version)
        return;
    state.ledger = std::move(ledger);
    state.version = version;
    state.isLedgerKnown = true;
    m_stale.erase(target);
}

void LoadPlanner::notePlaces(const ReplicaKey &key, ReplicaPlaces places, RowVersion version)
{
    auto &info = m_replicas[key];
    if (version < info.version)
        return;
    info.places = std::move(places);
    info.version = version;
}

void LoadPlanner::noteReport(const TargetId &target, TargetReport report, TimePoint now)
{
    auto &state = m_targets[target];
    const bool isOlder = state.report && state.report->incarnation == report.incarnation
            && report.sequence < state.report->sequence;
    if (isOlder)
        return;
    for (const auto &replica : report.replicas) {
        auto &info = m_replicas[replica.key];
        if (replica.running > 0)
            info.lastUsed = now;
        if (replica.state != ReplicaState::Resident || !info.loadStartedAt)
            continue;
        info.loadTime = now - *info.loadStartedAt;
        info.loadStartedAt.reset();
        info.lastUsed = now;
    }
    state.report = std::move(report);
    state.reportedAt = now;
    for (const auto &[key, entry] : state.ledger) {
        const auto &refused = state.report->refused;
        if (std::find(refused.begin(), refused.end(), entry.intent) != refused.end())
            m_refusals[{ target, key }] = now;
    }
}

void LoadPlanner::noteDemand(const ReplicaKey &key, const Demand &demand, TimePoint now)
{
    auto &info = m_replicas[key];
    info.demand.insert_or_assign({ demand.daemon, demand.organisation },
                                 DemandState { demand, now });
    if (demand.waiting + demand.running > 0)
        info.lastUsed = now;
    if (!key.adapter.isEmpty())
        noteDemand({ key.model, AdapterId() }, demand, now);
}

void LoadPlanner::noteCommitted(const LedgerChange &change, RowVersion version)
{
    noteLedger(change.target, change.ledger, version);
    notePlaces(change.key, change.places, version);
}

void LoadPlanner::noteConflict(const LedgerChange &change)
{
    m_stale.insert(change.target);
}

void LoadPlanner::noteOrderSent(const TargetOrder &order, TimePoint now)
{
    m_sent[order.entry.intent] = now;
}

// Decisions

std::vector<LedgerChange> LoadPlanner::plan(TimePoint now)
{
    expireDemand(now);
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
    for (const auto &[target, state] : m_targets) {
        for (const auto &[key, entry] : state.ledger) {
            if (!owns(key) || isConfirmed(target, key, entry) || isObsolete(target, key, entry))
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

void LoadPlanner::expireDemand(TimePoint now)
{
    for (auto &[key, info] : m_replicas)
        std::erase_if(info.demand, [&](const auto &it) {
            return now - it.second.notedAt > m_settings.demandLifetime;
        });
    const auto halfLives = toSeconds(now - m_recentLoadsAt) / toSeconds(RecentLoadsHalfLife);
    for (auto &[organisation, count] : m_recentLoads)
        count *= std::exp2(-halfLives);
    m_recentLoadsAt = now;
    std::erase_if(m_storeLoads, [&](TimePoint it) { return now - it >= PacingWindow; });
    std::erase_if(m_sent,
                  [&](const auto &it) { return now - it.second > 10 * m_settings.resendInterval; });
}

void LoadPlanner::planRemovals(std::vector<LedgerChange> &changes, Touched &touched)
{
    for (const auto &[target, state] : m_targets)
        for (const auto &[key, entry] : state.ledger)
            if (owns(key) && isObsolete(target, key, entry) && isUntouched(touched, target, key))
                addRemoval(target, key, changes, touched);
}

void LoadPlanner::planUnrecordedReplicas(std::vector<LedgerChange> &changes, Touched &touched)
{
    for (const auto &[target, state] : m_targets) {
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
    for (const auto &[target, state] : m_targets) {
        const bool isLeaving = state.report && state.report->isLeaving;
        for (const auto &[key, entry] : state.ledger) {
            if (!canUnload(target, key) || !isUntouched(touched, target, key))
                continue;
            if (isLeaving || idleTime(key, now) > idleLimit(key))
                addUnload(target, key, changes, touched);
        }
    }
}

void LoadPlanner::planLoads(std::vector<LedgerChange> &changes, Touched &touched, TimePoint now)
{
    for (const auto &wanted : wantedReplicas(now))
        planLoad(wanted, changes, touched, now);
}

void LoadPlanner::planLoad(const WantedReplica &wanted, std::vector<LedgerChange> &changes,
                           Touched &touched, TimePoint now)
{
    const auto bytes = bytesOf(wanted.key);
    if (!bytes || touched.keys.contains(wanted.key))
        return;
    const auto places = candidates(wanted.key, touched, now);
    const auto target = chooseTarget(places, wanted.key, *bytes, now);
    if (!target) {
        const bool fitsSomewhere =
                std::any_of(places.begin(), places.end(),
                            [&](const TargetId &it) { return freeBytes(it) >= *bytes; });
        if (!fitsSomewhere)
            planEviction(places, *bytes, changes, touched, now);
        return;
    }
    auto change = makeChange(*target, wanted.key);
    const auto &incarnation = m_targets.at(*target).report->incarnation;
    change.ledger.insert_or_assign(
            wanted.key,
            LedgerEntry { nextIntent(), IntentAction::Load, *bytes, m_epoch, incarnation });
    change.places.insert(*target);
    touched.targets.insert(*target);
    touched.keys.insert(wanted.key);
    changes.push_back(std::move(change));
    ++m_loadsDecided;
    m_recentLoads[wanted.organisation] += 1;
    m_replicas[wanted.key].loadStartedAt = now;
    if (wanted.key.adapter.isEmpty() && tierOf(*target, wanted.key.model) == CacheTier::Remote)
        m_storeLoads.push_back(now);
}

void LoadPlanner::planEviction(const std::vector<TargetId> &candidates, Bytes bytes,
                               std::vector<LedgerChange> &changes, Touched &touched, TimePoint now)
{
    for (const auto &target : candidates) {
        const auto &state = m_targets.at(target);
        Bytes unloading = 0;
        for (const auto &[key, entry] : state.ledger)
            if (entry.action == IntentAction::Unload)
                unloading += entry.bytes;
        if (freeBytes(target) + unloading >= bytes)
            return;
    }
    std::optional<std::pair<TargetId, ReplicaKey>> best;
    for (const auto &target : candidates) {
        if (const auto key = evictable(target, m_settings.evictionMinIdle, now);
            key && (!best || idleTime(*key, now) > idleTime(best->second, now)))
            best = std::pair(target, *key);
    }
    if (best && isUntouched(touched, best->first, best->second))
        addUnload(best->first, best->second, changes, touched);
}

void LoadPlanner::addUnload(const TargetId &target, const ReplicaKey &key,
                            std::vector<LedgerChange> &changes, Touched &touched)
{
    auto change = makeChange(target, key);
    auto &entry = change.ledger[key];
    entry.intent = nextIntent();
    entry.action = IntentAction::Unload;
    entry.epoch = m_epoch;
    const auto &report = m_targets.at(target).report;
    if (report)
        entry.incarnation = report->incarnation;
    if (const auto *it = reported(target, key); it != nullptr)
        entry.bytes = std::max(entry.bytes, it->bytes);
    change.places.insert(target);
    touched.targets.insert(target);
    touched.keys.insert(key);
    changes.push_back(std::move(change));
}

void LoadPlanner::addRemoval(const TargetId &target, const ReplicaKey &key,
                             std::vector<LedgerChange> &changes, Touched &touched)
{
    auto change = makeChange(target, key);
    change.ledger.erase(key);
    change.places.erase(target);
    touched.targets.insert(target);
    touched.keys.insert(key);
    changes.push_back(std::move(change));
}

LedgerChange LoadPlanner::makeChange(const TargetId &target, const ReplicaKey &key) const
{
    LedgerChange change { target, key, {}, 0, {}, 0 };
    if (const auto it = m_targets.find(target); it != m_targets.end()) {
        change.ledger = it->second.ledger;
        change.ledgerVersion = it->second.version;
    }
    if (const auto it = m_replicas.find(key); it != m_replicas.end()) {
        change.places = it->second.places;
        change.placesVersion = it->second.version;
    }
    return change;
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

std::vector<LoadPlanner::WantedReplica> LoadPlanner::wantedReplicas(TimePoint /*now*/) const
{
    struct Scored
    {
        WantedReplica wanted;
        double score = 0;
    };
    std::vector<Scored> scored;
    for (const auto &[key, info] : m_replicas) {
        Scored it { { key, Duration::zero(), {}, 0 }, -1 };
        for (const auto &[demandKey, state] : info.demand) {
            const auto &demand = state.demand;
            if (demand.waiting == 0)
                continue;
            const auto recent = m_recentLoads.find(demand.organisation);
            const auto loads = recent == m_recentLoads.end() ? 0.0 : recent->second;
            const auto score = toSeconds(demand.oldestWait + PacingWindow) / (1 + loads);
            it.wanted.waiting += demand.waiting;
            if (score > it.score) {
                it.score = score;
                it.wanted.organisation = demand.organisation;
                it.wanted.oldestWait = demand.oldestWait;
            }
        }
        if (it.score >= 0 && needsReplica(key, it.wanted.waiting))
            scored.push_back(std::move(it));
    }
    std::stable_sort(scored.begin(), scored.end(),
                     [](const Scored &a, const Scored &b) { return a.score > b.score; });
    std::vector<WantedReplica> wanted;
    wanted.reserve(scored.size());
    for (auto &it : scored)
        wanted.push_back(std::move(it.wanted));
    return wanted;
}

bool LoadPlanner::needsReplica(const ReplicaKey &key, std::uint32_t waiting) const
{
    const auto decided = decidedReplicas(key);
    if (decided >= replicaLimit(key))
        return false;
    std::uint32_t slots = 0;
    for (const auto &target : m_replicas.at(key).places) {
        const auto it = m_rules->targets.find(target);
        slots += it == m_rules->targets.end() ? 0 : it->second.slots;
    }
    return waiting > slots;
}

std::optional<Bytes> LoadPlanner::bytesOf(const ReplicaKey &key) const
{
    if (key.adapter.isEmpty()) {
        const auto it = m_rules->models.find(key.model);
        return it == m_rules->models.end() ? std::nullopt : std::optional(it->second.memory);
    }
    const auto it = m_rules->adapters.find(key.adapter);
    return it == m_rules->adapters.end() ? std::nullopt : std::optional(it->second.memory);
}

std::uint32_t LoadPlanner::replicaLimit(const ReplicaKey &key) const
{
    const auto it = m_rules->models.find(key.model);
    return it == m_rules->models.end() ? 0 : it->second.replicas;
}

std::size_t LoadPlanner::loadsInProgress(bool adapters) const
{
    std::size_t n = 0;
    for (const auto &[target, state] : m_targets) {
        for (const auto &[key, entry] : state.ledger) {
            const bool isOfKind = key.adapter.isEmpty() != adapters;
            const bool usesStore = adapters || tierOf(target, key.model) == CacheTier::Remote;
            if (isOfKind && usesStore && entry.action == IntentAction::Load
                && !isResident(target, key))
                ++n;
        }
    }
    return n;
}

bool LoadPlanner::storeHasCapacity(const ReplicaKey &key, const TargetId &target,
                                   TimePoint /*now*/) const
{
    if (!m_rules->store)
        return true;
    const auto &store = *m_rules->store;
    if (!key.adapter.isEmpty())
        return loadsInProgress(true) < perShard(store.concurrentAdapters);
    if (tierOf(target, key.model) != CacheTier::Remote)
        return true;
    return loadsInProgress(false) < perShard(store.concurrentLoads)
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

bool LoadPlanner::isUsable(const TargetId &target, TimePoint now) const
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || !m_rules->targets.contains(target) || m_stale.contains(target))
        return false;
    const auto &state = it->second;
    return state.isLedgerKnown && state.report && !state.report->isLeaving
            && now - state.reportedAt <= m_settings.reportLifetime;
}

CacheTier LoadPlanner::tierOf(const TargetId &target, const ModelId &model) const
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || !it->second.report)
        return CacheTier::Remote;
    const auto &tiers = it->second.report->tiers;
    const auto tier = tiers.find(model);
    return tier == tiers.end() ? CacheTier::Remote : tier->second;
}

const ReportedReplica *LoadPlanner::reported(const TargetId &target, const ReplicaKey &key) const
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || !it->second.report)
        return nullptr;
    const auto &replicas = it->second.report->replicas;
    const auto replica = std::find_if(replicas.begin(), replicas.end(),
                                      [&](const ReportedReplica &r) { return r.key == key; });
    return replica == replicas.end() ? nullptr : &*replica;
}

bool LoadPlanner::isResident(const TargetId &target, const ReplicaKey &key) const
{
    const auto *it = reported(target, key);
    return it != nullptr && it->state == ReplicaState::Resident;
}

Bytes LoadPlanner::committedBytes(const TargetId &target) const
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end())
        return 0;
    Bytes sum = 0;
    for (const auto &[key, entry] : it->second.ledger)
        sum += entry.bytes;
    if (it->second.report)
        for (const auto &replica : it->second.report->replicas)
            if (!it->second.ledger.contains(replica.key))
                sum += replica.bytes;
    return sum;
}

Bytes LoadPlanner::freeBytes(const TargetId &target) const
{
    const auto it = m_rules->targets.find(target);
    if (it == m_rules->targets.end())
        return 0;
    auto memory = it->second.memory;
    if (const auto state = m_targets.find(target);
        state != m_targets.end() && state->second.report && state->second.report->memory > 0)
        memory = std::min(memory, state->second.report->memory);
    const auto used = committedBytes(target);
    return used >= memory ? 0 : memory - used;
}

std::size_t LoadPlanner::decidedReplicas(const ReplicaKey &key) const
{
    const auto it = m_replicas.find(key);
    return it == m_replicas.end() ? 0 : it->second.places.size();
}

std::vector<TargetId> LoadPlanner::candidates(const ReplicaKey &key, const Touched &touched,
                                              TimePoint now) const
{
    std::vector<TargetId> targets;
    for (const auto &[target, rule] : m_rules->targets) {
        if (rule.kind != TargetKind::Engine || !isUsable(target, now))
            continue;
        if (touched.targets.contains(target) || m_targets.at(target).ledger.contains(key))
            continue;
        const ReplicaKey base { key.model, AdapterId() };
        if (!key.adapter.isEmpty() && !isResident(target, base))
            continue;
        const auto refusal = m_refusals.find({ target, key });
        if (refusal != m_refusals.end() && now - refusal->second < m_settings.refusalBackoff)
            continue;
        targets.push_back(target);
    }
    return targets;
}

std::optional<TargetId> LoadPlanner::chooseTarget(const std::vector<TargetId> &candidates,
                                                  const ReplicaKey &key, Bytes bytes,
                                                  TimePoint now) const
{
    const bool prefersTier = m_rules->policy.placement == PlacementKind::TierAware;
    const auto cost = [&](const TargetId &target) {
        const auto tier = prefersTier ? tierOf(target, key.model) : CacheTier::Remote;
        return std::pair(tier, -static_cast<double>(freeBytes(target)));
    };
    std::optional<TargetId> best;
    for (const auto &target : candidates) {
        if (freeBytes(target) < bytes || !storeHasCapacity(key, target, now))
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
    for (const auto &[key, entry] : m_targets.at(target).ledger) {
        if (!canUnload(target, key) || idleTime(key, now) < minIdle)
            continue;
        if (!best || idleTime(key, now) > idleTime(*best, now))
            best = key;
    }
    return best;
}

bool LoadPlanner::canUnload(const TargetId &target, const ReplicaKey &key) const
{
    const auto &ledger = m_targets.at(target).ledger;
    const auto entry = ledger.find(key);
    const auto *replica = reported(target, key);
    if (!owns(key) || entry == ledger.end() || entry->second.action != IntentAction::Load
        || replica == nullptr)
        return false;
    if (replica->state != ReplicaState::Resident || replica->running > 0)
        return false;
    const bool hasAdapters =
            key.adapter.isEmpty() && std::any_of(ledger.begin(), ledger.end(), [&](const auto &it) {
                return it.first.model == key.model && !it.first.adapter.isEmpty();
            });
    return !hasAdapters;
}

Duration LoadPlanner::idleTime(const ReplicaKey &key, TimePoint now) const
{
    const auto it = m_replicas.find(key);
    const auto lastUsed = it == m_replicas.end() ? m_startedAt : it->second.lastUsed;
    return now - std::max(lastUsed, m_startedAt);
}

Duration LoadPlanner::idleLimit(const ReplicaKey &key) const
{
    const auto floor = m_rules->policy.minIdleTime;
    const auto it = m_replicas.find(key);
    if (it == m_replicas.end())
        return floor;
    return std::max(floor, it->second.loadTime * m_settings.idleFactor);
}

bool LoadPlanner::isObsolete(const TargetId &target, const ReplicaKey &key,
                             const LedgerEntry &entry) const
{
    if (!m_rules->targets.empty() && !m_rules->targets.contains(target))
        return true;
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || !it->second.report || reported(target, key) != nullptr)
        return false;
    const auto &report = *it->second.report;
    const bool isRestarted = report.incarnation != entry.incarnation;
    const bool isRefused = std::find(report.refused.begin(), report.refused.end(), entry.intent)
            != report.refused.end();
    return isRestarted || isRefused || entry.action == IntentAction::Unload;
}

bool LoadPlanner::isConfirmed(const TargetId &target, const ReplicaKey &key,
                              const LedgerEntry &entry) const
{
    const auto *replica = reported(target, key);
    if (entry.action == IntentAction::Load)
        return replica != nullptr && replica->state != ReplicaState::Unloading;
    return replica != nullptr && replica->state == ReplicaState::Unloading;
}

std::set<TargetId> LoadPlanner::unconfirmedTargets() const
{
    std::set<TargetId> targets;
    for (const auto &[target, state] : m_targets) {
        for (const auto &[key, entry] : state.ledger) {
            const bool isSettled = entry.action == IntentAction::Load && isResident(target, key);
            if (owns(key) && !isSettled)
                targets.insert(target);
        }
    }
    return targets;
}

ReplicaStatus LoadPlanner::status(const ReplicaKey &key, TimePoint now) const
{
    ReplicaStatus status;
    const auto it = m_replicas.find(key);
    if (it == m_replicas.end())
        return status;
    for (const auto &target : it->second.places) {
        const auto &ledger = m_targets.find(target);
        if (ledger == m_targets.end() || !isUsable(target, now))
            continue;
        const auto entry = ledger->second.ledger.find(key);
        const bool isLoad =
                entry != ledger->second.ledger.end() && entry->second.action == IntentAction::Load;
        if (!isLoad)
            continue;
        (isResident(target, key) ? status.resident : status.loading).insert(target);
    }
    if (status.resident.empty()) {
        const auto &startedAt = it->second.loadStartedAt;
        const auto elapsed = startedAt ? now - *startedAt : Duration::zero();
        status.estimate = std::max(it->second.loadTime - elapsed, Duration::zero());
    }
    return status;
}

} // namespace bluebell
