#include "relay/availability.h"

#include <algorithm>

namespace bluebell {

void Availability::removeMember(const VmId &vm)
{
    m_reports.erase(vm);
    m_summaries.erase(vm);
}

void Availability::noteReport(const VmId &vm, bool isReady, TimePoint now)
{
    m_reports[vm] = { now, isReady };
}

void Availability::noteSummary(const GroupSummary &summary, TimePoint now)
{
    m_summaries[summary.relay] = { now,
                                   summary.knowsAvailability,
                                   { summary.unavailable.begin(), summary.unavailable.end() } };
    m_reports[summary.relay] = { now, summary.isReady };
}

bool Availability::isPresumedAvailable(const VmId &vm, TimePoint now) const
{
    return !isSettled(now) && m_unavailableBefore && !m_unavailableBefore->contains(vm);
}

std::set<VmId> Availability::unavailableIn(const std::vector<VmId> &group, const VmId &self,
                                           TimePoint now) const
{
    std::set<VmId> all;
    for (const auto &vm : group) {
        if (vm == self)
            continue;
        const auto it = m_reports.find(vm);
        const bool isHeard = it != m_reports.end() && now - it->second.at < ReportTimeout;
        const bool isGone = !isHeard && !isPresumedAvailable(vm, now);
        if (isGone || (isHeard && !it->second.isReady))
            all.insert(vm);
    }
    return all;
}

std::set<VmId> Availability::unavailableByRelays(const std::vector<VmId> &group,
                                                 TimePoint now) const
{
    const std::set<VmId> members(group.begin(), group.end());
    std::optional<std::set<VmId>> verdict;
    for (const auto &vm : group) {
        const auto it = m_summaries.find(vm);
        if (it == m_summaries.end() || now - it->second.at >= ReportTimeout)
            continue;
        if (!it->second.knowsAvailability)
            continue;
        std::set<VmId> known;
        for (const auto &missing : it->second.unavailable)
            if (members.contains(missing) && (!verdict || verdict->contains(missing)))
                known.insert(missing);
        verdict = std::move(known);
    }
    if (verdict)
        return std::move(*verdict);
    std::set<VmId> missing;
    for (const auto &vm : group)
        if (!isPresumedAvailable(vm, now))
            missing.insert(vm);
    return missing;
}

bool Availability::isHeardByOther(const std::vector<VmId> &group, const VmId &vm,
                                  TimePoint now) const
{
    return std::any_of(group.begin(), group.end(), [&](const auto &relay) {
        const auto it = m_summaries.find(relay);
        return it != m_summaries.end() && now - it->second.at < ReportTimeout
                && it->second.knowsAvailability && !it->second.unavailable.contains(vm);
    });
}

std::set<VmId> Availability::unavailable(const RelayGroups &groups, const VmId &self,
                                         TimePoint now) const
{
    std::set<VmId> all;
    const auto own = groups.groupOf(self);
    for (RelayGroups::GroupId group = 0; group < groups.count(); ++group) {
        const auto &members = groups.ranking(group);
        if (group != own) {
            all.merge(unavailableByRelays(members, now));
            continue;
        }
        for (const auto &vm : unavailableIn(members, self, now)) {
            const auto it = m_reports.find(vm);
            const bool isHeard = it != m_reports.end() && now - it->second.at < ReportTimeout;
            if (isHeard || !isHeardByOther(members, vm, now))
                all.insert(vm);
        }
    }
    return all;
}

} // namespace bluebell
