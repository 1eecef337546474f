#include "site/evacuations.h"

#include <algorithm>
#include <utility>

namespace bluebell {

bool Evacuations::noteListed(std::set<DataCentreId> listed, RowVersion version, TimePoint now)
{
    if (version > m_version)
        applyList(std::move(listed), version, now);
    return expire(now);
}

bool Evacuations::note(const EvacuationUpdate &update, TimePoint now)
{
    if (update.version > m_version)
        applyList(update.listed, update.version, now);
    // What the store lost in an earlier restore says nothing of the present era.
    if (update.version == 0 || eraOf(update.version) != eraOf(m_version))
        return expire(now);
    for (const auto &[dataCentre, left] : update.kept) {
        // Only the first message counts: two daemons must not renew each other's time.
        if (!m_listed.contains(dataCentre))
            m_keptUntil.try_emplace(dataCentre, now + std::min(left, RestoreGrace));
    }
    return expire(now);
}

void Evacuations::applyList(std::set<DataCentreId> listed, RowVersion version, TimePoint now)
{
    if (eraOf(version) != eraOf(m_version))
        enterEra(listed, now);
    // A row that this era has shown ends with its removal, without a grace.
    for (const auto &it : listed)
        m_keptUntil.insert_or_assign(it, now);
    m_listed = std::move(listed);
    m_version = version;
}

void Evacuations::enterEra(const std::set<DataCentreId> &listed, TimePoint now)
{
    std::erase_if(m_keptUntil, [now](const auto &it) { return it.second <= now; });
    for (const auto &it : m_listed)
        if (!listed.contains(it))
            m_keptUntil.insert_or_assign(it, now + RestoreGrace);
}

bool Evacuations::expire(TimePoint now)
{
    auto dataCentres = m_listed;
    for (const auto &[dataCentre, until] : m_keptUntil)
        if (now < until)
            dataCentres.insert(dataCentre);
    const bool hasChanged = dataCentres != m_dataCentres;
    m_dataCentres = std::move(dataCentres);
    return hasChanged;
}

EvacuationUpdate Evacuations::message(TimePoint now) const
{
    EvacuationUpdate update { m_version, m_listed, {} };
    for (const auto &[dataCentre, until] : m_keptUntil)
        if (now < until)
            update.kept.emplace(dataCentre, until - now);
    return update;
}

} // namespace bluebell
