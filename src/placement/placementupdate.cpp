#include "placement/placementupdate.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bluebell {

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

void PlacementView::apply(const ResidentReplicas &changed)
{
    for (const auto &[target, keys] : changed) {
        if (keys.empty())
            m_residents.erase(target);
        else
            m_residents[target] = keys;
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
        m_number = 0;
        m_lastDelta = {};
        m_isComplete = false;
    }
    if (update.base == 0 && update.number > 0) {
        if (update.number < m_number)
            return;
        // A newer delta may have overtaken the snapshot. It applies on top of the snapshot only if
        // its base is included in it.
        if (m_lastDelta.number > update.number && m_lastDelta.base > update.number)
            return;
        m_residents.clear();
        apply(update.changed);
        m_number = update.number;
        if (m_lastDelta.number > update.number) {
            apply(m_lastDelta.changed);
            m_number = m_lastDelta.number;
        }
        m_isComplete = true;
        m_wasComplete = true;
        return;
    }
    if (update.number < std::max(m_lastDelta.number, m_number))
        return;
    apply(update.changed);
    m_lastDelta = update;
    m_isComplete = m_isComplete && update.base <= m_number;
    if (m_isComplete)
        m_number = update.number;
}

} // namespace bluebell
