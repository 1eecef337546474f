#include "placement/placementnews.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bluebell {

void PlacementLog::note(Residents residents)
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

PlacementNews PlacementLog::nextNews()
{
    // What the first messages tell of goes on from nothing, so they tell everything.
    const auto base = m_told.size() < TimesTold ? 0 : m_told.front();
    m_told.push_back(m_number);
    if (m_told.size() > TimesTold)
        m_told.pop_front();
    PlacementNews news { base, m_number, {} };
    for (auto it = m_changedAt.begin(); it != m_changedAt.end();) {
        const auto held = m_residents.find(it->first);
        const bool hasLeft = held == m_residents.end();
        if (it->second > base)
            news.changed[it->first] = hasLeft ? std::set<ReplicaKey>() : held->second;
        it = hasLeft && it->second <= base ? m_changedAt.erase(it) : std::next(it);
    }
    return news;
}

PlacementNews PlacementLog::whole() const
{
    return { 0, m_number, m_residents };
}

void PlacementView::apply(const Residents &changed)
{
    for (const auto &[target, keys] : changed) {
        if (keys.empty())
            m_residents.erase(target);
        else
            m_residents[target] = keys;
    }
}

void PlacementView::take(const IncarnationId &holder, Epoch epoch, const PlacementNews &news)
{
    if (epoch < m_epoch)
        return;
    if (epoch != m_epoch || holder != m_holder) {
        // Until all is told anew, what the former holder told is the best that is known.
        m_holder = holder;
        m_epoch = epoch;
        m_number = 0;
        m_last = {};
        m_isWhole = false;
    }
    if (news.base == 0 && news.number > 0) {
        if (news.number < m_number)
            return;
        // Newer news may have overtaken the whole; they go on from it if they begin within it.
        if (m_last.number > news.number && m_last.base > news.number)
            return;
        m_residents.clear();
        apply(news.changed);
        m_number = news.number;
        if (m_last.number > news.number) {
            apply(m_last.changed);
            m_number = m_last.number;
        }
        m_isWhole = true;
        m_wasWhole = true;
        return;
    }
    if (news.number < std::max(m_last.number, m_number))
        return;
    apply(news.changed);
    m_last = news;
    m_isWhole = m_isWhole && news.base <= m_number;
    if (m_isWhole)
        m_number = news.number;
}

} // namespace bluebell
