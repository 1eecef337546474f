#include "membership/roles.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

constexpr std::string_view SharePrefix = "share/";

/// Rendezvous hash key of a role and the rank of the member that should hold it. Base share n, from
/// 0, of an organisation uses the key of the organisation's rate home, so it goes to the member of
/// rank n.
struct Preference
{
    std::string hashKey;
    std::size_t rank = 0;
};

Preference preferenceFor(const RoleId &role)
{
    const auto &name = role.value();
    if (!isBaseShare(role))
        return { name, 0 };
    const auto slash = name.rfind('/');
    const auto organisation = name.substr(SharePrefix.size(), slash - SharePrefix.size());
    return { homeRole(OrganisationId(organisation)).value(), std::stoul(name.substr(slash + 1)) };
}

} // namespace

bool isBaseShare(const RoleId &role)
{
    return role.value().starts_with(SharePrefix);
}

RoleId homeRole(const OrganisationId &organisation)
{
    return RoleId("org/" + organisation.value());
}

RoleId baseShareRole(const OrganisationId &organisation, std::size_t index)
{
    return RoleId(std::string(SharePrefix) + organisation.value() + '/' + std::to_string(index));
}

RoleId placementRole(std::size_t shard)
{
    return RoleId("placement/" + std::to_string(shard));
}

const Member *preferredMember(const RoleId &role, const std::vector<Member> &members)
{
    const auto [hashKey, rank] = preferenceFor(role);
    struct Scored
    {
        std::uint64_t score = 0;
        const Member *member = nullptr;
    };
    std::vector<Scored> order;
    order.reserve(members.size());
    for (const auto &member : members)
        order.push_back({ rendezvousScore(hashKey, member.vm.value()), &member });
    if (order.empty())
        return nullptr;
    const auto chosen =
            order.begin() + static_cast<std::ptrdiff_t>(std::min(rank, order.size() - 1));
    std::nth_element(order.begin(), chosen, order.end(), [](const Scored &a, const Scored &b) {
        if (a.score != b.score)
            return a.score > b.score;
        return a.member->incarnation > b.member->incarnation;
    });
    return chosen->member;
}

RoleTable::RoleTable(Member self, LeaseSettings settings)
    : m_self(std::move(self)), m_settings(settings)
{
}

void RoleTable::noteRoles(const std::vector<RoleRow> &rows)
{
    m_roles.clear();
    for (const auto &row : rows)
        m_roles.emplace(row.role, row);
    m_membersAtRoleRead.clear();
    for (const auto &[id, observed] : m_members)
        m_membersAtRoleRead.insert(id);
}

bool RoleTable::needsRoleRead(const std::set<RoleId> &wanted) const
{
    const bool isSame = std::equal(m_members.begin(), m_members.end(), m_membersAtRoleRead.begin(),
                                   m_membersAtRoleRead.end(),
                                   [](const auto &a, const auto &b) { return a.first == b; });
    return !isSame || std::any_of(wanted.begin(), wanted.end(), [this](const RoleId &role) {
        return !m_roles.contains(role);
    });
}

void RoleTable::noteMembers(const std::vector<MemberRow> &rows, TimePoint now)
{
    std::set<IncarnationId> seen;
    for (const auto &row : rows) {
        noteEra(eraOf(row.version), now);
        const auto &id = row.member.incarnation;
        seen.insert(id);
        auto &it = m_members.try_emplace(id, ObservedMember { row, LeaseObserver(m_settings) })
                           .first->second;
        it.row = row;
        it.observer.noteRead(row.version, now);
    }
    std::erase_if(m_members, [&](const auto &it) { return !seen.contains(it.first); });
    m_hasRead = true;
}

void RoleTable::noteEra(StoreEra era, TimePoint now)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_eraSince = now;
}

bool RoleTable::isOutdated(const RoleRow *row) const
{
    return m_era > 0 && (row == nullptr || row->epoch < firstEpochOf(m_era));
}

bool RoleTable::awaitsFormerEra(TimePoint now) const
{
    return m_eraSince && now - *m_eraSince < m_settings.duration + m_settings.margin;
}

Epoch RoleTable::nextEpoch(const RoleRow *row) const
{
    const auto last = row == nullptr ? Epoch(0) : row->epoch;
    return std::max(last, firstEpochOf(m_era)) + 1;
}

void RoleTable::noteClaimed(const RoleClaim &claim, RowVersion version)
{
    m_roles.insert_or_assign(claim.role, RoleRow { claim.role, m_self, claim.epoch, version, {} });
}

std::vector<Member> RoleTable::liveMembers(TimePoint now) const
{
    std::vector<Member> live;
    for (const auto &[id, observed] : m_members) {
        const bool isSelf = id == m_self.incarnation;
        if (isSelf || !observed.observer.hasExpired(now))
            live.push_back(observed.row.member);
    }
    return live;
}

void RoleTable::noteListedVms(const std::set<VmId> &listed)
{
    m_listed = listed;
    m_everListed.insert(listed.begin(), listed.end());
}

bool RoleTable::isVmRemoved(const VmId &vm) const
{
    return m_everListed.contains(vm) && !m_listed.contains(vm);
}

std::optional<RoleClaim> RoleTable::claimForBaseShare(const RoleId &role, TimePoint now) const
{
    const auto *row = find(role);
    if (row == nullptr && awaitsFormerEra(now))
        return std::nullopt;
    if (row == nullptr)
        return RoleClaim { role, nextEpoch(row), 0, std::nullopt };
    const bool isOwnRestart = row->holder.vm == m_self.vm && row->holder.address == m_self.address
            && row->holder.incarnation != m_self.incarnation;
    if (isOwnRestart || isVmRemoved(row->holder.vm))
        return RoleClaim { role, nextEpoch(row), row->version, std::nullopt };
    return std::nullopt;
}

std::optional<RoleClaim> RoleTable::claimForLeasedRole(const RoleId &role, TimePoint now) const
{
    const auto *row = find(role);
    if (isOutdated(row) && awaitsFormerEra(now))
        return std::nullopt;
    if (row == nullptr)
        return RoleClaim { role, nextEpoch(row), 0, std::nullopt };
    RoleClaim claim { role, nextEpoch(row), row->version,
                      MemberRow { row->holder, 0, std::nullopt } };
    const auto it = m_members.find(row->holder.incarnation);
    if (it == m_members.end())
        return claim;
    if (row->holder.incarnation == m_self.incarnation || !it->second.observer.hasExpired(now))
        return std::nullopt;
    claim.formerHolder = it->second.row;
    return claim;
}

std::vector<RoleClaim> RoleTable::claims(const std::set<RoleId> &wanted, TimePoint now) const
{
    std::vector<RoleClaim> claims;
    if (!m_hasRead || m_isLeaving)
        return claims;
    const auto live = liveMembers(now);
    for (const auto &role : wanted) {
        const bool isShare = isBaseShare(role);
        // Members are ranked only for roles without a live holder, which are few.
        auto claim = isShare ? claimForBaseShare(role, now) : claimForLeasedRole(role, now);
        if (!claim)
            continue;
        const auto *row = find(role);
        const bool isOwnShare = isShare && row != nullptr && row->holder.vm == m_self.vm;
        const auto *preferred = preferredMember(role, live);
        const bool isPreferred =
                preferred != nullptr && preferred->incarnation == m_self.incarnation;
        if (isOwnShare || isPreferred)
            claims.push_back(std::move(*claim));
    }
    return claims;
}

const RoleRow *RoleTable::find(const RoleId &role) const
{
    const auto it = m_roles.find(role);
    return it == m_roles.end() ? nullptr : &it->second;
}

std::optional<Epoch> RoleTable::heldEpoch(const RoleId &role) const
{
    const auto *row = find(role);
    if (row == nullptr || row->holder.incarnation != m_self.incarnation || isOutdated(row))
        return std::nullopt;
    return row->epoch;
}

std::vector<EntryAddress> RoleTable::entries(TimePoint now) const
{
    std::vector<EntryAddress> entries;
    for (const auto &[id, observed] : m_members)
        if (observed.row.entry && !observed.observer.hasExpired(now))
            entries.push_back(*observed.row.entry);
    return entries;
}

std::vector<MemberRow> RoleTable::expiredMembers(TimePoint now) const
{
    std::vector<MemberRow> expired;
    for (const auto &[id, observed] : m_members) {
        const auto &member = observed.row.member;
        const bool holdsRole =
                std::any_of(m_roles.begin(), m_roles.end(), [&member](const auto &it) {
                    return it.second.holder.incarnation == member.incarnation;
                });
        if (id != m_self.incarnation && !holdsRole && observed.observer.hasExpired(now))
            expired.push_back(observed.row);
    }
    return expired;
}

std::optional<Member> RoleTable::successor(const RoleId &role, TimePoint now) const
{
    auto live = liveMembers(now);
    std::erase_if(live, [this](const Member &it) { return it.incarnation == m_self.incarnation; });
    const auto *member = preferredMember(role, live);
    if (member == nullptr)
        return std::nullopt;
    return *member;
}

} // namespace bluebell
