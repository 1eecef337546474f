#include "placement/placementnews.h"

#include <algorithm>

namespace bluebell {

void PlacementLog::note(Residents residents, TimePoint now)
{
    const auto next = m_number + 1;
    bool hasChanged = false;
    const auto noteChange = [&](const TargetId &target) {
        m_changedAt[target] = next;
        hasChanged = true;
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
    if (hasChanged) {
        m_number = next;
        m_recent.emplace_back(next, now);
    }
    while (!m_recent.empty() && now - m_recent.front().second > ToldFor) {
        const auto number = m_recent.front().first;
        m_recent.pop_front();
        std::erase_if(m_changedAt, [&](const auto &it) {
            return it.second <= number && !m_residents.contains(it.first);
        });
    }
}

PlacementNews PlacementLog::newsAfter(std::uint64_t base) const
{
    PlacementNews news { base, m_number, {} };
    for (const auto &[target, number] : m_changedAt) {
        if (number <= base)
            continue;
        const auto it = m_residents.find(target);
        news.changed[target] = it == m_residents.end() ? std::set<ReplicaKey>() : it->second;
    }
    return news;
}

PlacementNews PlacementLog::news(TimePoint now) const
{
    auto base = m_number;
    for (const auto &[number, at] : m_recent)
        if (now - at <= ToldFor)
            base = std::min(base, number - 1);
    return newsAfter(base);
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
