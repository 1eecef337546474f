#include "routing/holdoffs.h"

#include <algorithm>

namespace bluebell {

bool HoldOffs::note(const TargetId &target, std::uint64_t startTimeMs, Duration length,
                    TimePoint now)
{
    std::erase_if(m_all, [&](const auto &it) { return it.second.until <= now; });
    const HoldOff noted { startTimeMs, now, now + std::min(length, MaxLength) };
    const auto [it, isNew] = m_all.try_emplace(target, noted);
    auto &known = it->second;
    const bool isLaterRun = startTimeMs > known.startTimeMs;
    const bool isLonger = startTimeMs == known.startTimeMs && noted.until > known.until;
    if (!isNew && (isLaterRun || isLonger))
        known = noted;
    return length <= MaxLength;
}

const HoldOff *HoldOffs::find(const TargetEntry &entry, TimePoint now) const
{
    // An entry of an earlier run is out of date: a request would reach the run that asked.
    const auto it = m_all.find(entry.id);
    const bool isInForce = it != m_all.end() && now < it->second.until
            && entry.startTimeMs <= it->second.startTimeMs;
    return isInForce ? &it->second : nullptr;
}

std::map<TargetId, TimePoint> HoldOffs::inForce(const std::map<TargetId, TargetEntry> &targets,
                                                TimePoint now) const
{
    std::map<TargetId, TimePoint> all;
    for (const auto &[id, holdOff] : m_all)
        if (const auto it = targets.find(id); it != targets.end() && find(it->second, now))
            all.emplace(id, holdOff.until);
    return all;
}

} // namespace bluebell
