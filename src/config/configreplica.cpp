#include "config/configreplica.h"

#include "core/digest.h"
#include "rules/parser.h"

#include <algorithm>
#include <string>

namespace bluebell {
namespace {

std::string joinLines(const LineSet &lines)
{
    std::string text;
    for (const auto &line : lines)
        text.append(line).append("\n");
    return text;
}

} // namespace

std::string_view describe(ServingState state) noexcept
{
    switch (state) {
    case ServingState::NoConfig:
        return "no configuration has been received from the table service or a peer";
    case ServingState::Fresh:
        return "the configuration is confirmed as the newest";
    case ServingState::MajorityReachable:
        return "the table service is out and a majority of the members agrees";
    case ServingState::Stale:
        break;
    }
    return "neither the table service nor a majority of the members confirms the configuration";
}

Result<void> ConfigReplica::apply(const std::vector<ConfigDelta> &deltas)
{
    auto lines = m_lines;
    auto version = m_version;
    std::vector<const ConfigDelta *> applied;
    for (const auto &delta : deltas) {
        if (delta.version <= version)
            continue;
        if (delta.version != version + 1)
            return makeError(ErrorCode::Conflict,
                             "the change to version " + std::to_string(version + 1)
                                     + " is missing");
        applyDelta(delta, lines);
        version = delta.version;
        applied.push_back(&delta);
    }
    if (applied.empty())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    BOOST_OUTCOME_TRY(replaceLines(std::move(lines), version));
    for (const auto *delta : applied)
        m_deltas.push_back(*delta);
    while (m_deltas.size() > m_settings.deltasKept)
        m_deltas.pop_front();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> ConfigReplica::install(const ConfigSnapshot &snapshot)
{
    if (snapshot.version <= m_version)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    BOOST_OUTCOME_TRY(replaceLines(snapshot.lines, snapshot.version));
    m_deltas.clear();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> ConfigReplica::replaceLines(LineSet lines, ConfigVersion version)
{
    auto parsed = parseRules("version " + std::to_string(version), joinLines(lines));
    if (!parsed)
        return makeError(ErrorCode::InvalidArgument, toString(parsed.error().front()));
    m_rules = std::make_shared<const RuleSet>(std::move(parsed.value().rules));
    m_lines = std::move(lines);
    m_version = version;
    resolvePendingHead();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ConfigReplica::noteHead(ConfigVersion head, TimePoint sentAt)
{
    if (m_version >= head) {
        m_freshAt = std::max(m_freshAt.value_or(sentAt), sentAt);
        return;
    }
    const bool isNewer = !m_pendingHead || m_pendingHead->sentAt <= sentAt;
    if (isNewer)
        m_pendingHead = HeadObservation { head, sentAt };
}

void ConfigReplica::resolvePendingHead()
{
    if (!m_pendingHead || m_version < m_pendingHead->head)
        return;
    const auto sentAt = m_pendingHead->sentAt;
    m_freshAt = std::max(m_freshAt.value_or(sentAt), sentAt);
    m_pendingHead.reset();
}

void ConfigReplica::noteContact(const VmId &member, TimePoint sentAt)
{
    auto &contact = m_contacts.try_emplace(member, sentAt).first->second;
    contact = std::max(contact, sentAt);
}

void ConfigReplica::setMembers(std::set<VmId> members)
{
    m_members = std::move(members);
    std::erase_if(m_contacts, [this](const auto &it) { return !m_members.contains(it.first); });
}

bool ConfigReplica::withdraw(const KeyDigest &digest)
{
    return m_withdrawn.insert(digest).second;
}

std::uint64_t ConfigReplica::withdrawnChecksum() const
{
    std::uint64_t checksum = 0;
    for (const auto &digest : m_withdrawn)
        checksum ^= stableHash(digest.value());
    return checksum;
}

std::optional<Duration> ConfigReplica::age(TimePoint now) const
{
    if (!m_freshAt)
        return std::nullopt;
    return now - *m_freshAt;
}

bool ConfigReplica::hasMajorityContact(TimePoint now) const
{
    const auto inContact = std::count_if(m_contacts.begin(), m_contacts.end(), [&](const auto &it) {
        return m_members.contains(it.first) && now - it.second <= m_settings.freshnessBound;
    });
    constexpr std::size_t Self = 1;
    return m_members.size() > 1
            && (static_cast<std::size_t>(inContact) + Self) * 2 > m_members.size();
}

ServingState ConfigReplica::state(TimePoint now) const
{
    if (m_version == 0)
        return ServingState::NoConfig;
    if (m_freshAt && now - *m_freshAt <= m_settings.freshnessBound)
        return ServingState::Fresh;
    return hasMajorityContact(now) ? ServingState::MajorityReachable : ServingState::Stale;
}

bool ConfigReplica::needsContacts(TimePoint now) const
{
    const auto confirmed = age(now);
    return !confirmed || *confirmed > m_settings.freshnessBound / 2;
}

Result<OrganisationId> ConfigReplica::authenticate(const KeyDigest &digest, TimePoint now) const
{
    if (const auto it = state(now); it == ServingState::NoConfig || it == ServingState::Stale)
        return makeError(ErrorCode::Unavailable, std::string(describe(it)));
    if (m_withdrawn.contains(digest))
        return makeError(ErrorCode::KeyWithdrawn, "the key has been withdrawn");
    if (const auto *organisation = m_rules->organisationOfKey(digest))
        return organisation->id;
    return makeError(ErrorCode::Unauthenticated, "the key is not known");
}

std::optional<ConfigUpdate> ConfigReplica::updateSince(ConfigVersion since) const
{
    if (since >= m_version)
        return std::nullopt;
    if (m_deltas.empty() || m_deltas.front().version > since + 1)
        return ConfigSnapshot { m_version, m_lines };
    std::vector<ConfigDelta> deltas;
    for (const auto &delta : m_deltas)
        if (delta.version > since)
            deltas.push_back(delta);
    return deltas;
}

Result<void> applyUpdate(const ConfigUpdate &update, ConfigReplica &replica)
{
    if (const auto *snapshot = std::get_if<ConfigSnapshot>(&update))
        return replica.install(*snapshot);
    return replica.apply(std::get<std::vector<ConfigDelta>>(update));
}

} // namespace bluebell
