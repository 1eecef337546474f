#include "relay/subscription.h"

#include <algorithm>
#include <utility>

namespace bluebell {

void Subscription::setRanking(std::vector<VmId> ranking)
{
    m_ranking = std::move(ranking);
    const std::set<VmId> members(m_ranking.begin(), m_ranking.end());
    std::erase_if(m_states, [&](const auto &it) { return !members.contains(it.first); });
}

void Subscription::noteDigest(const VmId &relay, TimePoint now)
{
    m_lastDigestAt = now;
    const auto it = m_states.find(relay);
    if (it == m_states.end())
        return;
    it->second.digestAt = now;
    it->second.silentUntil.reset();
}

bool Subscription::isSilent(const VmId &vm, TimePoint now)
{
    auto &it = m_states[vm];
    if (it.silentUntil) {
        if (now < *it.silentUntil)
            return true;
        it.silentUntil.reset();
        it.chosenAt.reset();
    }
    if (!it.chosenAt)
        return false;
    const auto since = it.digestAt ? std::max(*it.digestAt, *it.chosenAt) : *it.chosenAt;
    if (now - since < SilenceTimeout)
        return false;
    it.silentUntil = now + RetryInterval;
    return true;
}

std::vector<VmId> Subscription::choose(TimePoint now)
{
    std::vector<VmId> chosen;
    for (const auto &vm : m_ranking) {
        if (chosen.size() == RelayCount)
            break;
        if (vm == m_self || (!m_unavailable.contains(vm) && !isSilent(vm, now)))
            chosen.push_back(vm);
    }
    return chosen;
}

void Subscription::update(TimePoint now)
{
    m_relays = choose(now);
    for (auto &[vm, it] : m_states)
        if (std::find(m_relays.begin(), m_relays.end(), vm) == m_relays.end())
            it.chosenAt.reset();
    for (const auto &vm : m_relays)
        if (auto &it = m_states[vm]; !it.chosenAt)
            it.chosenAt = now;
}

bool Subscription::isSelfRelay() const
{
    return std::find(m_relays.begin(), m_relays.end(), m_self) != m_relays.end();
}

} // namespace bluebell
