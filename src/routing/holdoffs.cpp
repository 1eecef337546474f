#include "routing/holdoffs.h"

#include <algorithm>

namespace bluebell {

bool HoldOffs::note(const TargetId &target, std::uint64_t startTimeMs, Duration length,
                    TimePoint now)
{
    std::erase_if(m_all, [&](const auto &it) { return it.second.until <= now; });
    const HoldOff noted { startTimeMs, now, now + std::min(length, MaxLength) };
    auto &known = m_all.try_emplace({ target, startTimeMs }, noted).first->second;
    if (noted.until > known.until)
        known = noted;
    return length <= MaxLength;
}

const HoldOff *HoldOffs::find(const TargetEntry &entry, TimePoint now) const
{
    if (m_all.empty())
        return nullptr;
    const auto it = m_all.find({ entry.id, entry.startTimeMs });
    return it != m_all.end() && now < it->second.until ? &it->second : nullptr;
}

std::map<TargetId, TimePoint> HoldOffs::inForce(const std::map<TargetId, TargetEntry> &targets,
                                                TimePoint now) const
{
    std::map<TargetId, TimePoint> all;
    for (const auto &[run, holdOff] : m_all) {
        const auto it = targets.find(run.first);
        if (it != targets.end() && find(it->second, now) == &holdOff)
            all.emplace(run.first, holdOff.until);
    }
    return all;
}

} // namespace bluebell
