#include "site/targetregistry.h"

#include <utility>

namespace bluebell {

void setColdUntil(TargetEntry &entry, const TargetEntry *known, Duration left, TimePoint now)
{
    const bool isSame = known && known->startTimeMs == entry.startTimeMs
            && known->heartbeat == entry.heartbeat && known->coldTime == entry.coldTime;
    entry.coldUntil = isSame ? known->coldUntil : now + left;
}

void TargetRegistry::noteContact(TimePoint now)
{
    if (m_lastContact && now <= *m_lastContact)
        return;
    if (m_lastContact && now - *m_lastContact > OutageThreshold)
        m_recoveredAt = now;
    m_lastContact = now;
}

void TargetRegistry::put(const std::string &key, std::optional<TargetEntry> entry,
                         RowVersion version)
{
    const TargetId id(key);
    if (const auto known = m_readAt.find(id); known != m_readAt.end() && version < known->second)
        return;
    m_missing.erase(id);
    if (!entry) {
        erase(id);
        return;
    }
    if (leavingSince(*entry))
        entry->isDraining = true;
    m_readAt[id] = version;
    m_targets.insert_or_assign(id, std::move(*entry));
}

bool TargetRegistry::noteLeaving(const TargetId &id, std::uint64_t startTimeMs, TimePoint now)
{
    const bool isNew = m_leaving.try_emplace({ id, startTimeMs }, now).second;
    if (!isNew)
        return false;
    const auto entry = m_targets.find(id);
    if (entry != m_targets.end() && entry->second.startTimeMs == startTimeMs)
        entry->second.isDraining = true;
    boundLeavingTargets();
    return true;
}

void TargetRegistry::boundLeavingTargets()
{
    while (m_leaving.size() > MaxLeavingTargets) {
        auto oldest = m_leaving.end();
        for (auto it = m_leaving.begin(); it != m_leaving.end(); ++it) {
            const auto &[id, startTimeMs] = it->first;
            const auto *entry = find(id);
            const bool isInUse = entry && entry->startTimeMs == startTimeMs;
            if (!isInUse && (oldest == m_leaving.end() || it->second < oldest->second))
                oldest = it;
        }
        if (oldest == m_leaving.end())
            return;
        m_leaving.erase(oldest);
    }
}

std::optional<TimePoint> TargetRegistry::leavingSince(const TargetEntry &entry) const
{
    const auto it = m_leaving.find({ entry.id, entry.startTimeMs });
    return it == m_leaving.end() ? std::nullopt : std::optional(it->second);
}

void TargetRegistry::erase(const TargetId &id)
{
    m_targets.erase(id);
    m_readAt.erase(id);
}

bool TargetRegistry::isInRecoveryGrace(TimePoint now) const
{
    return m_recoveredAt && now - *m_recoveredAt < RecoveryGrace;
}

void TargetRegistry::remove(const std::string &key, TimePoint now)
{
    const TargetId id(key);
    const auto it = m_targets.find(id);
    if (it == m_targets.end())
        return;
    if (isInRecoveryGrace(now) && !it->second.isDraining)
        m_missing.try_emplace(id, *m_recoveredAt + RecoveryGrace);
    else
        erase(id);
}

void TargetRegistry::replaceAll(const std::map<std::string, std::optional<TargetEntry>> &entries,
                                RowVersion version, TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto &[id, entry] : m_targets)
        if (!entries.contains(id.value()))
            missing.push_back(id.value());
    for (const auto &it : missing)
        remove(it, now);
    for (const auto &[key, entry] : entries)
        put(key, entry, version);
}

bool TargetRegistry::expire(TimePoint now)
{
    bool hasRemoved = false;
    for (auto it = m_missing.begin(); it != m_missing.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        erase(it->first);
        it = m_missing.erase(it);
        hasRemoved = true;
    }
    return hasRemoved;
}

const TargetEntry *TargetRegistry::find(const TargetId &id) const
{
    const auto it = m_targets.find(id);
    return it == m_targets.end() ? nullptr : &it->second;
}

} // namespace bluebell
