#include "membership/fleet.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace bluebell {
namespace {

/// A peer may be asked for target entries if the store replied to it within this time.
constexpr Duration MaxStoreReplyAge = std::chrono::milliseconds(1500);
/// Time after the leader's last status during which it counts as alive, if relays pass it on.
constexpr Duration LeaderTimeoutThroughRelays = std::chrono::milliseconds(2000);

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
    if (!noteRelayStatus(status, now))
        return false;
    noteLeaderStatus(status, now);
    return true;
}

bool Fleet::noteRelayStatus(const DaemonStatus &status, TimePoint now)
{
    if (status.vm == m_self.vm)
        return false;
    // Of two incarnations, the one that started earlier reports the longer uptime.
    const auto it = m_lastStatuses.find(status.vm);
    if (it != m_lastStatuses.end() && it->second.status.incarnation != status.incarnation
        && now - it->second.at < statusTiming().livenessTimeout
        && status.uptime > it->second.status.uptime)
        return false;
    auto &last = m_lastStatuses[status.vm];
    last = { status, now };
    last.status.placement = {};
    return true;
}

void Fleet::noteLeaderStatus(const DaemonStatus &status, TimePoint now)
{
    if (status.leaderEpoch == 0) {
        if (m_leader && m_leader->vm == status.vm && m_leader->incarnation == status.incarnation)
            m_leader.reset();
        return;
    }
    notePlacement(status.incarnation, status.leaderEpoch, status.placement);
    noteLeader({ status.vm, status.incarnation, status.leaderEpoch, {} }, status.estimates, now);
}

void Fleet::notePlacement(const IncarnationId &leader, Epoch epoch, const PlacementUpdate &update)
{
    m_placement.applyUpdate(leader, epoch, update);
}

void Fleet::noteLeader(const LeaderInfo &leader, std::vector<LoadEstimate> estimates, TimePoint now)
{
    const auto heardAt = now - leader.age;
    const bool isOutdated = m_leader
            && (leader.epoch < m_leader->epoch
                || (leader.epoch == m_leader->epoch && heardAt < m_leader->heardAt));
    if (!isOutdated)
        m_leader = KnownLeader { leader.vm, leader.incarnation,   leader.epoch,
                                 heardAt,   std::move(estimates), now };
}

void Fleet::noteUnavailable(std::set<VmId> unavailable, TimePoint now)
{
    std::erase_if(m_unavailableSince,
                  [&](const auto &it) { return !unavailable.contains(it.first); });
    for (const auto &vm : unavailable)
        m_unavailableSince.try_emplace(vm, now);
    m_availabilityAt = now;
}

bool Fleet::isCoveredByRelays(const FleetMember &member, TimePoint now) const
{
    return usesRelays() && member.supportsRelays() && m_availabilityAt
            && now - *m_availabilityAt < AvailabilityLifetime;
}

bool Fleet::isAlive(const FleetMember &member, TimePoint now) const
{
    if (isCoveredByRelays(member, now))
        return !m_unavailableSince.contains(member.vm);
    const auto it = m_lastStatuses.find(member.vm);
    return it != m_lastStatuses.end() && now - it->second.at < statusTiming().livenessTimeout;
}

bool Fleet::isUsable(const FleetMember &member, TimePoint now) const
{
    if (!isAlive(member, now))
        return false;
    return isCoveredByRelays(member, now) || m_lastStatuses.at(member.vm).status.isReady;
}

const FleetMember *Fleet::find(const VmId &vm) const
{
    const auto it = m_members.find(vm);
    return it == m_members.end() ? nullptr : &it->second.member;
}

std::vector<FleetMember> Fleet::members() const
{
    std::vector<FleetMember> all;
    for (const auto &[vm, it] : m_members)
        all.push_back(it.member);
    return all;
}

std::vector<Endpoint> Fleet::directPeers() const
{
    std::vector<Endpoint> all;
    for (const auto &[vm, it] : m_members)
        if (!usesRelays() || !it.member.supportsRelays())
            all.push_back(it.member.peers);
    return all;
}

std::vector<FleetMember> Fleet::callerDaemons(bool selfIsReady, TimePoint now) const
{
    std::vector<FleetMember> daemons;
    if (selfIsReady)
        daemons.push_back(m_self);
    for (const auto &[vm, it] : m_members)
        if (isUsable(it.member, now))
            daemons.push_back(it.member);
    if (daemons.empty())
        daemons.push_back(m_self);
    return daemons;
}

std::size_t Fleet::liveCount(TimePoint now) const
{
    std::size_t n = 1;
    for (const auto &[vm, it] : m_members)
        n += isAlive(it.member, now) ? 1 : 0;
    return n;
}

template<typename VersionOf>
std::optional<FleetMember> Fleet::newestPeer(std::uint64_t version, TimePoint now,
                                             VersionOf versionOf) const
{
    std::optional<FleetMember> best;
    std::uint64_t bestScore = 0;
    for (const auto &[vm, it] : m_members) {
        const auto last = m_lastStatuses.find(vm);
        if (last == m_lastStatuses.end() || !isAlive(it.member, now))
            continue;
        const auto peerVersion = versionOf(last->second.status);
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

Duration Fleet::leaderTimeout() const noexcept
{
    return usesRelays() ? LeaderTimeoutThroughRelays : statusTiming().livenessTimeout;
}

const Fleet::KnownLeader *Fleet::liveLeader(TimePoint now) const
{
    return m_leader && now - m_leader->heardAt < leaderTimeout() ? &*m_leader : nullptr;
}

std::optional<LeaderInfo> Fleet::leader(TimePoint now) const
{
    if (!m_leader)
        return std::nullopt;
    return LeaderInfo { m_leader->vm, m_leader->incarnation, m_leader->epoch,
                        now - m_leader->heardAt };
}

std::vector<LoadEstimate> Fleet::estimates(TimePoint now) const
{
    const auto *leader = liveLeader(now);
    if (!leader)
        return {};
    auto all = leader->estimates;
    for (auto &it : all)
        it.readyIn = std::max(it.readyIn - (now - leader->estimatesAt), Duration::zero());
    return all;
}

std::optional<FleetMember> Fleet::leaderMember(TimePoint now) const
{
    const auto *leader = liveLeader(now);
    const auto *member = leader ? find(leader->vm) : nullptr;
    return member ? std::optional(*member) : std::nullopt;
}

std::optional<FleetMember> Fleet::peerWithPlacement(TimePoint now) const
{
    return m_placement.isIncomplete() ? leaderMember(now) : std::nullopt;
}

const ResidentReplicas *Fleet::residents(TimePoint now) const
{
    return liveLeader(now) ? lastResidents() : nullptr;
}

const ResidentReplicas *Fleet::lastResidents() const
{
    return m_placement.isUsable() ? &m_placement.residents() : nullptr;
}

std::optional<TimePoint> Fleet::readyAt(const ServiceId &service, const ModelId &model,
                                        TimePoint now) const
{
    const auto *leader = liveLeader(now);
    if (!leader)
        return std::nullopt;
    for (const auto &it : leader->estimates)
        if (it.service == service && it.model == model)
            return leader->estimatesAt + it.readyIn;
    return std::nullopt;
}

TimePoint Fleet::lastHeardOf(const RegisteredMember &it, TimePoint now) const
{
    auto last = it.since;
    if (const auto status = m_lastStatuses.find(it.member.vm); status != m_lastStatuses.end())
        last = std::max(last, status->second.at);
    if (!usesRelays() || !it.member.supportsRelays())
        return last;
    if (!isCoveredByRelays(it.member, now))
        return now;
    const auto unavailable = m_unavailableSince.find(it.member.vm);
    return unavailable == m_unavailableSince.end() ? now : std::max(last, unavailable->second);
}

std::vector<VmId> Fleet::timedOutMembers(TimePoint now) const
{
    std::vector<VmId> timedOut;
    for (const auto &[vm, it] : m_members)
        if (now - lastHeardOf(it, now) > MemberTimeout)
            timedOut.push_back(vm);
    return timedOut;
}

} // namespace bluebell
