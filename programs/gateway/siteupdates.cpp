#include "gateway/siteupdates.h"

#include "core/log.h"
#include "gateway/memberrow.h"
#include "io/background.h"
#include "platform/documents.h"
#include "platform/names.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace bluebell::gateway {

using nlohmann::json;
using platform::StoreRow;

namespace {

/// Age up to which target entries that this daemon has read itself are preferred to relayed ones,
/// which lack the state of engines.
constexpr Duration MaxFreshAge = std::chrono::milliseconds(1500);
/// How long daemons whose rows a restore of the store has lost are kept, so that the relays go on
/// while the daemons write their rows again.
constexpr Duration MemberRestoreGrace = std::chrono::seconds(4);

} // namespace

bool SiteUpdates::updateConfig(const std::string &text)
{
    auto config = platform::decodeConfig(text);
    if (!config) {
        log::error("configuration refused", { { "cause", config.error().message } });
        return false;
    }
    const auto known = m_state.index ? m_state.index->version() : 0;
    if (config.value().version <= known)
        return false;
    const auto before = std::exchange(m_state.index,
                                      std::make_shared<const SiteIndex>(std::move(config.value())));
    if (before)
        m_state.renameRates(*before, BootClock::now());
    m_state.rawConfig = text;
    log::info("configuration in force",
              { { "version", std::to_string(m_state.index->version()) },
                { "before", std::to_string(known) } });
    m_configChanged();
    m_state.notifyChange();
    m_state.notifyRelays();
    return true;
}

void SiteUpdates::replaceOperatorRows(const std::vector<StoreRow> &rows, RowVersion version)
{
    m_evacuated.clear();
    updateOperatorRows(rows, version);
}

void SiteUpdates::updateOperatorRows(const std::vector<StoreRow> &rows, RowVersion version)
{
    namespace names = platform::names;
    for (const auto &it : rows) {
        if (!it.key.starts_with(names::EvacuationPrefix))
            continue;
        const DataCentreId dataCentre(it.key.substr(names::EvacuationPrefix.size()));
        if (it.isDeleted)
            m_evacuated.erase(dataCentre);
        else if (!dataCentre.isEmpty())
            m_evacuated.insert(dataCentre);
    }
    // Before the configuration, which may be the first one.
    m_state.noteEvacuationRows(m_evacuated, version, BootClock::now());
    for (const auto &it : rows)
        if (it.key == names::ConfigKey && !it.isDeleted)
            updateConfig(it.value);
}

void SiteUpdates::updateTarget(const StoreRow &row, RowVersion version)
{
    const auto now = BootClock::now();
    if (row.isDeleted) {
        m_state.rawEntries.erase(row.key);
        m_state.targetRows.put(row.key, std::nullopt, version);
        m_state.registry.remove(row.key, now);
        return;
    }
    m_state.rawEntries[row.key] = row.value;
    auto entry = platform::decodeTarget(row.key, row.value);
    if (!entry)
        log::warning("entry of a target refused",
                     { { "target", row.key }, { "cause", entry.error().message } });
    auto accepted = entry ? std::optional(std::move(entry.value())) : std::nullopt;
    const TargetId id(row.key);
    const auto *known = m_state.registry.find(id);
    if (accepted)
        setColdUntil(*accepted, known, accepted->coldTime, now);
    const auto wasDraining = known ? std::optional(known->isDraining) : std::nullopt;
    m_state.targetRows.put(row.key, relayedRow(accepted), version);
    m_state.registry.put(row.key, std::move(accepted), version);
    const auto *stored = m_state.registry.find(id);
    if (stored && wasDraining != stored->isDraining)
        log::info(stored->isDraining ? "target is draining" : "target is ready",
                  { { "target", row.key }, { "address", toString(stored->address) } });
}

void SiteUpdates::updateTargets(const std::vector<StoreRow> &rows, RowVersion version)
{
    for (const auto &it : rows)
        runGuarded("target row " + it.key, [&] { updateTarget(it, version); });
    m_state.targetRows.advanceTo(version);
    m_state.registryVersion = version;
    if (rows.empty())
        return;
    m_state.selector.retainOnly(m_state.registry.targets());
    m_state.stateChanged.notify();
    m_state.notifyRelays();
}

void SiteUpdates::replaceTargets(const std::vector<StoreRow> &rows, RowVersion version)
{
    if (version < m_state.registryVersion)
        m_state.registry.forgetVersions();
    std::set<std::string> present;
    for (const auto &it : rows)
        present.insert(it.key);
    std::vector<StoreRow> all;
    for (const auto &[id, entry] : m_state.registry.targets())
        if (!present.contains(id.value()))
            all.push_back({ {}, id.value(), {}, version, true });
    all.insert(all.end(), rows.begin(), rows.end());
    std::erase_if(m_state.rawEntries, [&](const auto &it) { return !present.contains(it.first); });
    updateTargets(all, version);
}

std::string SiteUpdates::encodeEntries() const
{
    json body = { { "version", m_state.registryVersion }, { "entries", json::object() } };
    for (const auto &[key, value] : m_state.rawEntries)
        body["entries"][key] = value;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void SiteUpdates::applyTargets(const std::set<std::string> &changed, RowVersion version)
{
    const auto now = BootClock::now();
    for (const auto &key : changed) {
        const auto *row = m_state.targetRows.find(key);
        if (!row) {
            m_state.registry.remove(key, now);
            continue;
        }
        auto entry = row->entry;
        const auto *known = m_state.registry.find(TargetId(key));
        if (entry && known && known->startTimeMs == entry->startTimeMs)
            entry->engine = known->engine;
        m_state.registry.put(key, std::move(entry), version);
    }
    if (!changed.empty())
        m_state.selector.retainOnly(m_state.registry.targets());
}

void SiteUpdates::updateMembers(const std::vector<StoreRow> &rows, RowVersion version)
{
    std::set<VmId> changed;
    const auto update = [&](const StoreRow &row) {
        auto member = decodeMember(row);
        if (!member && !row.isDeleted)
            log::warning("invalid daemon row ignored", { { "vm", row.key } });
        else if (m_state.memberRows.putWritten(VmId(row.key), std::move(member), version))
            changed.insert(VmId(row.key));
    };
    for (const auto &row : rows)
        runGuarded("daemon row " + row.key, [&] { update(row); });
    m_state.memberRows.advanceTo(version);
    applyMembers(changed);
}

void SiteUpdates::replaceMembers(const std::vector<StoreRow> &rows, RowVersion version)
{
    std::map<VmId, FleetMember> members;
    const auto add = [&](const StoreRow &row) {
        if (auto member = decodeMember(row))
            members.emplace(VmId(row.key), std::move(*member));
    };
    for (const auto &row : rows)
        runGuarded("daemon row " + row.key, [&] { add(row); });
    applyMembers(m_state.memberRows.replaceAll(members, version));
}

void SiteUpdates::applyMembers(const std::set<VmId> &changed)
{
    const auto now = BootClock::now();
    const auto era = eraOf(m_state.memberRows.version());
    if (m_memberEra && era > *m_memberEra)
        m_membersRestoredAt = now;
    m_memberEra = std::max(era, m_memberEra.value_or(era));
    if (changed.empty())
        return;
    for (const auto &vm : changed) {
        const auto *row = m_state.memberRows.find(vm);
        if (vm == m_state.settings.vm)
            continue;
        if (!row) {
            removeMember(vm, now);
            continue;
        }
        m_lostMembers.erase(vm);
        m_state.fleet.putMember(*row, now);
    }
    std::set<VmId> registered;
    for (const auto &[vm, until] : m_lostMembers)
        registered.insert(vm);
    for (const auto &[vm, row] : m_state.memberRows.changesSince(0).rows)
        registered.insert(vm);
    m_state.selector.coldLimits().setDaemons(std::move(registered), now);
    m_state.updateRelayGroups(now);
    m_state.notifyRelays();
}

void SiteUpdates::removeMember(const VmId &vm, TimePoint now)
{
    if (m_membersRestoredAt && now < *m_membersRestoredAt + MemberRestoreGrace
        && m_state.fleet.find(vm))
        m_lostMembers[vm] = *m_membersRestoredAt + MemberRestoreGrace;
    else
        m_state.fleet.removeMember(vm);
}

void SiteUpdates::expireMembers(TimePoint now)
{
    std::set<VmId> expired;
    for (const auto &[vm, until] : m_lostMembers)
        if (now >= until)
            expired.insert(vm);
    for (const auto &vm : expired)
        m_lostMembers.erase(vm);
    applyMembers(expired);
}

bool SiteUpdates::isRegistered() const
{
    const auto *row = m_state.memberRows.find(m_state.settings.vm);
    const bool isKnown = row && *row == m_state.fleet.self();
    return isKnown || m_state.memberRows.version() < m_registeredAt;
}

bool SiteUpdates::hasFreshTargets(TimePoint now) const
{
    return m_state.isReader(now) && now - m_state.targetsReadAt < MaxFreshAge;
}

RowChanges<std::string, TargetRow>
SiteUpdates::withColdTimes(RowChanges<std::string, TargetRow> changes, TimePoint now) const
{
    for (auto &[key, row] : changes.rows) {
        if (!row || !row->entry)
            continue;
        const auto *known = m_state.registry.find(TargetId(key));
        setColdUntil(*row->entry, known, row->coldLeft, now);
    }
    return changes;
}

void SiteUpdates::applyDigest(const FleetDigest &digest, TimePoint now)
{
    auto &fleet = m_state.fleet;
    m_state.noteEvacuations(digest.relay.evacuations, digest.relay.vm, now);
    fleet.noteRelayStatus(digest.relay, now);
    if (digest.leader)
        m_state.noteLeader(*digest.leader, digest.relay.estimates, now);
    const auto placement = fleet.placement().number();
    fleet.notePlacement(digest.placement.leader, digest.placement.epoch, digest.placement.update);
    m_state.registry.noteContact(now - digest.relay.timeSinceStoreReply);
    std::set<std::string> targets;
    if (!hasFreshTargets(now))
        targets = m_state.targetRows.apply(withColdTimes(digest.targets, now));
    applyTargets(targets, digest.targets.number);
    applyMembers(m_state.memberRows.apply(digest.members));
    (void)m_state.noteStoreEra(eraOf(m_state.memberRows.version()));
    m_state.isBehindRelay = m_state.targetRows.isBehind() || m_state.memberRows.isBehind()
            || (digest.placement.update.number > 0 && fleet.placement().isIncomplete());
    const bool hasChanged = !targets.empty() || fleet.placement().number() != placement;
    if (!hasChanged)
        return;
    m_state.stateChanged.notify();
    m_state.notifyRelays();
}

} // namespace bluebell::gateway
