#include "relay/digesthistory.h"

namespace bluebell {
namespace {

template<typename Changes, typename Rows>
void limitRows(Changes &changes, Rows &rows)
{
    if (rows.size() <= MaxRowsPerDigest)
        return;
    rows.clear();
    changes.base = changes.number;
}

} // namespace

void DigestHistory::note(const DigestVersions &versions)
{
    m_sent.push_back(versions);
    if (m_sent.size() > DigestsPerChange)
        m_sent.pop_front();
}

DigestVersions DigestHistory::base(const DigestVersions &current) const
{
    return m_sent.empty() ? current : m_sent.front();
}

void limitRows(FleetDigest &digest)
{
    limitRows(digest.placement.update, digest.placement.update.changed);
    limitRows(digest.targets, digest.targets.rows);
    limitRows(digest.members, digest.members.rows);
}

} // namespace bluebell
