#include "placement/placementupdate.h"

#include "core/digest.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bluebell {

std::uint64_t contentHash(const TargetId &target, const std::set<ReplicaKey> &keys)
{
    std::uint64_t hash = stableHash(target.value());
    for (const auto &it : keys)
        hash ^= stableHash(target.value() + '|' + toString(it));
    return hash;
}

void PlacementPublisher::setResidents(ResidentReplicas residents)
{
    const auto next = m_number + 1;
    const auto noteChange = [&](const TargetId &target) {
        m_changedAt[target] = next;
        m_number = next;
    };
    for (const auto &[target, keys] : residents) {
        const auto known = m_residents.find(target);
        if (known == m_residents.end() || known->second != keys)
            noteChange(target);
    }
    for (const auto &[target, keys] : m_residents)
        if (!residents.contains(target))
            noteChange(target);
    m_residents = std::move(residents);
}

PlacementUpdate PlacementPublisher::nextUpdate()
{
    // The first messages have no earlier message to build on, so they are snapshots.
    const auto base = m_sentNumbers.size() < MessagesPerChange ? 0 : m_sentNumbers.front();
    m_sentNumbers.push_back(m_number);
    if (m_sentNumbers.size() > MessagesPerChange)
        m_sentNumbers.pop_front();
    PlacementUpdate update { base, m_number, {} };
    for (auto it = m_changedAt.begin(); it != m_changedAt.end();) {
        const auto held = m_residents.find(it->first);
        const bool isRemoved = held == m_residents.end();
        if (it->second > base)
            update.changed[it->first] = isRemoved ? std::set<ReplicaKey>() : held->second;
        it = isRemoved && it->second <= base ? m_changedAt.erase(it) : std::next(it);
    }
    return update;
}

PlacementUpdate PlacementPublisher::snapshot() const
{
    return { 0, m_number, m_residents };
}

void PlacementView::refresh(const std::set<TargetId> &changed)
{
    for (const auto &target : changed) {
        if (const auto *keys = m_log.find(target))
            m_residents[target] = *keys;
        else
            m_residents.erase(target);
    }
}

void PlacementView::applyUpdate(const IncarnationId &leader, Epoch epoch,
                                const PlacementUpdate &update)
{
    if (epoch < m_epoch)
        return;
    if (epoch != m_epoch || leader != m_leader) {
        // The former leader's state is kept until the new leader's snapshot arrives.
        m_leader = leader;
        m_epoch = epoch;
        m_log = {};
    }
    RowChanges<TargetId, std::set<ReplicaKey>> changes;
    changes.base = update.base;
    changes.number = update.number;
    for (const auto &[target, keys] : update.changed)
        changes.rows.emplace(target, keys.empty() ? std::nullopt : std::optional(keys));
    const bool wasEmpty = m_log.version() == 0;
    refresh(m_log.apply(changes));
    if (!wasEmpty || m_log.version() == 0)
        return;
    // What only the former leader knew of is dropped.
    std::erase_if(m_residents, [this](const auto &it) { return !m_log.find(it.first); });
    m_wasComplete = true;
}

PlacementUpdate PlacementView::changesSince(std::uint64_t base) const
{
    const auto changes = m_log.changesSince(base);
    PlacementUpdate update { changes.base, changes.number, {} };
    for (const auto &[target, keys] : changes.rows)
        update.changed.emplace(target, keys.value_or(std::set<ReplicaKey>()));
    return update;
}

} // namespace bluebell
