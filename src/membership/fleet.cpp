#include "membership/fleet.h"

#include "core/digest.h"

#include <utility>

namespace bluebell {
namespace {

/// A peer may be asked for target entries if the store replied to it within this time.
constexpr Duration MaxStoreReplyAge = std::chrono::milliseconds(1500);

} // namespace

void Fleet::replaceMembers(std::vector<FleetMember> members, TimePoint now)
{
    auto old = std::move(m_members);
    m_members.clear();
    for (auto &it : members) {
        const auto vm = it.vm;
        const auto known = old.find(vm);
        const bool isSame = known != old.end() && known->second.member == it;
        const auto since = isSame ? known->second.since : now;
        if (vm != m_self.vm)
            m_members.emplace(vm, RegisteredMember { std::move(it), since });
    }
}

void Fleet::putMember(FleetMember member, TimePoint now)
{
    if (member.vm == m_self.vm)
        return;
    const auto vm = member.vm;
    m_members.insert_or_assign(vm, RegisteredMember { std::move(member), now });
}

void Fleet::removeMember(const VmId &vm)
{
    m_members.erase(vm);
}

bool Fleet::noteStatus(const DaemonStatus &status, TimePoint now)
{
    if (status.vm == m_self.vm)
        return false;
    // Of two incarnations, the one that started earlier reports the longer uptime.
    const auto it = m_lastStatuses.find(status.vm);
    if (it != m_lastStatuses.end() && it->second.status.incarnation != status.incarnation
        && now - it->second.at < statusTiming().livenessTimeout
        && status.uptime > it->second.status.uptime)
        return false;
    notePlacement(status);
    auto &last = m_lastStatuses[status.vm];
    last = { status, now };
    last.status.placement = {};
    return true;
}

void Fleet::notePlacement(const DaemonStatus &status)
{
    if (status.leaderEpoch > 0)
        m_placement.applyUpdate(status.incarnation, status.leaderEpoch, status.placement);
}

bool Fleet::isAlive(const VmId &vm, TimePoint now) const
{
    const auto it = m_lastStatuses.find(vm);
    return it != m_lastStatuses.end() && now - it->second.at < statusTiming().livenessTimeout;
}

std::vector<Endpoint> Fleet::peers() const
{
    std::vector<Endpoint> all;
    for (const auto &[vm, it] : m_members)
        all.push_back(it.member.peers);
    return all;
}

std::vector<Endpoint> Fleet::callerAddresses(bool selfIsReady, TimePoint now) const
{
    std::vector<Endpoint> addresses;
    if (selfIsReady)
        addresses.push_back(m_self.callers);
    for (const auto &[vm, it] : m_members)
        if (isAlive(vm, now) && m_lastStatuses.at(vm).status.isReady)
            addresses.push_back(it.member.callers);
    if (addresses.empty())
        addresses.push_back(m_self.callers);
    return addresses;
}

std::size_t Fleet::liveCount(TimePoint now) const
{
    std::size_t n = 1;
    for (const auto &[vm, it] : m_members)
        n += isAlive(vm, now) ? 1 : 0;
    return n;
}

std::set<IncarnationId> Fleet::recentIncarnations(TimePoint now) const
{
    std::set<IncarnationId> all;
    for (const auto &[vm, it] : m_lastStatuses)
        if (now - it.at < MemberTimeout)
            all.insert(it.status.incarnation);
    return all;
}

template<typename VersionOf>
std::optional<FleetMember> Fleet::newestPeer(std::uint64_t version, TimePoint now,
                                             VersionOf versionOf) const
{
    std::optional<FleetMember> best;
    std::uint64_t bestScore = 0;
    for (const auto &[vm, it] : m_members) {
        if (!isAlive(vm, now))
            continue;
        const auto peerVersion = versionOf(m_lastStatuses.at(vm).status);
        const auto score = rendezvousScore(m_self.vm.value(), vm.value());
        if (peerVersion < version || (peerVersion == version && (!best || score < bestScore)))
            continue;
        version = peerVersion;
        best = it.member;
        bestScore = score;
    }
    return best;
}

std::optional<FleetMember> Fleet::peerWithConfig(SiteVersion version, TimePoint now) const
{
    return newestPeer(version, now, [](const auto &status) { return status.configVersion; });
}

std::optional<FleetMember> Fleet::peerWithRegistry(RowVersion version, TimePoint now) const
{
    return newestPeer(version, now, [](const auto &status) {
        return status.timeSinceStoreReply > MaxStoreReplyAge ? 0 : status.registryVersion;
    });
}

const Fleet::LastStatus *Fleet::leaderStatus(TimePoint now) const
{
    const LastStatus *best = nullptr;
    for (const auto &[vm, it] : m_lastStatuses) {
        if (now - it.at >= statusTiming().livenessTimeout || it.status.leaderEpoch == 0)
            continue;
        if (!best || it.status.leaderEpoch > best->status.leaderEpoch)
            best = &it;
    }
    return best;
}

std::optional<FleetMember> Fleet::leaderMember(TimePoint now) const
{
    const auto *leader = leaderStatus(now);
    const auto it = leader ? m_members.find(leader->status.vm) : m_members.end();
    return it == m_members.end() ? std::nullopt : std::optional(it->second.member);
}

std::optional<FleetMember> Fleet::peerWithPlacement(TimePoint now) const
{
    return m_placement.isIncomplete() ? leaderMember(now) : std::nullopt;
}

const ResidentReplicas *Fleet::residents(TimePoint now) const
{
    return leaderStatus(now) && m_placement.isUsable() ? &m_placement.residents() : nullptr;
}

std::optional<TimePoint> Fleet::readyAt(const ServiceId &service, const ModelId &model,
                                        TimePoint now) const
{
    const auto *leader = leaderStatus(now);
    if (!leader)
        return std::nullopt;
    for (const auto &it : leader->status.estimates)
        if (it.service == service && it.model == model)
            return leader->at + it.readyIn;
    return std::nullopt;
}

std::vector<VmId> Fleet::timedOutMembers(TimePoint now) const
{
    std::vector<VmId> timedOut;
    for (const auto &[vm, it] : m_members) {
        const auto status = m_lastStatuses.find(vm);
        const auto last =
                status == m_lastStatuses.end() ? it.since : std::max(status->second.at, it.since);
        if (now - last > MemberTimeout)
            timedOut.push_back(vm);
    }
    return timedOut;
}

} // namespace bluebell
