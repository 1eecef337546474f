#include "placement/replicarecords.h"

#include <algorithm>
#include <utility>

namespace bluebell {

ReplicaRecords::ReplicaRecords(Duration reportLifetime)
    : m_reportLifetime(reportLifetime), m_rules(std::make_shared<const RuleSet>())
{
}

// Events

void ReplicaRecords::noteRules(std::shared_ptr<const RuleSet> rules)
{
    m_rules = std::move(rules);
}

void ReplicaRecords::noteLedger(const TargetId &target, Ledger ledger, RowVersion version)
{
    auto &state = m_targets[target];
    if (state.isLedgerKnown && version < state.version)
        return;
    state.ledger = std::move(ledger);
    state.version = version;
    state.isLedgerKnown = true;
    m_stale.erase(target);
}

void ReplicaRecords::notePlaces(const ReplicaKey &key, ReplicaPlaces places, RowVersion version)
{
    auto &known = m_places[key];
    if (version < known.version)
        return;
    known.places = std::move(places);
    known.version = version;
}

bool ReplicaRecords::noteReport(const TargetId &target, TargetReport report, TimePoint now)
{
    auto &state = m_targets[target];
    const bool isOlder = state.report && state.report->incarnation == report.incarnation
            && report.sequence < state.report->sequence;
    if (isOlder)
        return false;
    state.report = std::move(report);
    state.reportedAt = now;
    for (const auto &[key, entry] : state.ledger) {
        const auto &refused = state.report->refused;
        if (std::find(refused.begin(), refused.end(), entry.intent) != refused.end())
            m_refusals[{ target, key }] = now;
    }
    return true;
}

void ReplicaRecords::noteConflict(const TargetId &target)
{
    m_stale.insert(target);
}

// Queries

const ReplicaPlaces &ReplicaRecords::placesOf(const ReplicaKey &key) const
{
    static const ReplicaPlaces None;
    const auto it = m_places.find(key);
    return it == m_places.end() ? None : it->second.places;
}

std::optional<Bytes> ReplicaRecords::bytesOf(const ReplicaKey &key) const
{
    if (key.adapter.isEmpty()) {
        const auto it = m_rules->models.find(key.model);
        return it == m_rules->models.end() ? std::nullopt : std::optional(it->second.memory);
    }
    const auto it = m_rules->adapters.find(key.adapter);
    return it == m_rules->adapters.end() ? std::nullopt : std::optional(it->second.memory);
}

std::uint32_t ReplicaRecords::replicaLimit(const ReplicaKey &key) const
{
    const auto it = m_rules->models.find(key.model);
    return it == m_rules->models.end() ? 0 : it->second.replicas;
}

std::uint32_t ReplicaRecords::slotsOf(const ReplicaKey &key) const
{
    std::uint32_t slots = 0;
    for (const auto &target : placesOf(key)) {
        const auto it = m_rules->targets.find(target);
        slots += it == m_rules->targets.end() ? 0 : it->second.slots;
    }
    return slots;
}

std::size_t ReplicaRecords::loadsInProgress(bool adapters) const
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

bool ReplicaRecords::isUsable(const TargetId &target, TimePoint now) const
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || !m_rules->targets.contains(target) || m_stale.contains(target))
        return false;
    const auto &state = it->second;
    return state.isLedgerKnown && state.report && !state.report->isLeaving
            && now - state.reportedAt <= m_reportLifetime;
}

bool ReplicaRecords::hasRefused(const TargetId &target, const ReplicaKey &key, Duration period,
                                TimePoint now) const
{
    const auto refusal = m_refusals.find({ target, key });
    return refusal != m_refusals.end() && now - refusal->second < period;
}

CacheTier ReplicaRecords::tierOf(const TargetId &target, const ModelId &model) const
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || !it->second.report)
        return CacheTier::Remote;
    const auto &tiers = it->second.report->tiers;
    const auto tier = tiers.find(model);
    return tier == tiers.end() ? CacheTier::Remote : tier->second;
}

const ReportedReplica *ReplicaRecords::reported(const TargetId &target, const ReplicaKey &key) const
{
    const auto it = m_targets.find(target);
    if (it == m_targets.end() || !it->second.report)
        return nullptr;
    const auto &replicas = it->second.report->replicas;
    const auto replica = std::find_if(replicas.begin(), replicas.end(),
                                      [&](const ReportedReplica &r) { return r.key == key; });
    return replica == replicas.end() ? nullptr : &*replica;
}

bool ReplicaRecords::isResident(const TargetId &target, const ReplicaKey &key) const
{
    const auto *it = reported(target, key);
    return it != nullptr && it->state == ReplicaState::Resident;
}

Bytes ReplicaRecords::committedBytes(const TargetId &target) const
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

Bytes ReplicaRecords::freeBytes(const TargetId &target) const
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

bool ReplicaRecords::canUnload(const TargetId &target, const ReplicaKey &key) const
{
    const auto &ledger = m_targets.at(target).ledger;
    const auto entry = ledger.find(key);
    const auto *replica = reported(target, key);
    if (entry == ledger.end() || entry->second.action != IntentAction::Load || replica == nullptr)
        return false;
    if (replica->state != ReplicaState::Resident || replica->running > 0)
        return false;
    const bool hasAdapters =
            key.adapter.isEmpty() && std::any_of(ledger.begin(), ledger.end(), [&](const auto &it) {
                return it.first.model == key.model && !it.first.adapter.isEmpty();
            });
    return !hasAdapters;
}

bool ReplicaRecords::isObsolete(const TargetId &target, const ReplicaKey &key,
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

bool ReplicaRecords::isConfirmed(const TargetId &target, const ReplicaKey &key,
                                 const LedgerEntry &entry) const
{
    const auto *replica = reported(target, key);
    if (entry.action == IntentAction::Load)
        return replica != nullptr && replica->state != ReplicaState::Unloading;
    return replica != nullptr && replica->state == ReplicaState::Unloading;
}

LedgerChange ReplicaRecords::makeChange(const TargetId &target, const ReplicaKey &key) const
{
    LedgerChange change { target, key, {}, 0, {}, 0 };
    if (const auto it = m_targets.find(target); it != m_targets.end()) {
        change.ledger = it->second.ledger;
        change.ledgerVersion = it->second.version;
    }
    if (const auto it = m_places.find(key); it != m_places.end()) {
        change.places = it->second.places;
        change.placesVersion = it->second.version;
    }
    return change;
}

} // namespace bluebell
