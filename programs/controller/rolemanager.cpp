#include "controller/rolemanager.h"

#include "core/digest.h"
#include "core/log.h"
#include "io/notifier.h"
#include "records/rows.h"

#include <utility>

namespace asio = boost::asio;

namespace bluebell::controller {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration ReadInterval = std::chrono::seconds(2);
/// Role rows are also read when the members have changed or a wanted role is missing.
constexpr Duration RoleReadInterval = std::chrono::seconds(10);
constexpr Duration CommitTimeout = std::chrono::seconds(2);
constexpr std::size_t IdBytes = 8;

ChangeId newChangeId()
{
    return ChangeId(randomHex(IdBytes));
}

template<typename T>
std::vector<T> decodeRows(const std::vector<Row> &found, Result<T> (*decode)(const std::string &))
{
    std::vector<T> decoded;
    for (const auto &row : found) {
        auto it = decode(row.value);
        if (!it) {
            log::warning("malformed row ignored",
                         { { "key", row.key }, { "cause", it.error().message } });
            continue;
        }
        it.value().version = row.version;
        decoded.push_back(std::move(it.value()));
    }
    return decoded;
}

} // namespace

RoleManager::RoleManager(RecordTable records, Member self, LeaseSettings settings,
                         WantedRoles wanted)
    : m_records(std::move(records)), m_self(std::move(self)), m_settings(settings),
      m_wanted(std::move(wanted)), m_lease(settings), m_table(m_self, settings)
{
}

void RoleManager::setEntry(const EntryAddress &entry)
{
    const bool isSame =
            m_entry && m_entry->address == entry.address && m_entry->isLeaving == entry.isLeaving;
    if (isSame)
        return;
    m_entry = entry;
    m_entryChanged = true;
}

const RoleRow *RoleManager::heldRole(const RoleId &role, TimePoint now) const
{
    if (!m_table.heldEpoch(role))
        return nullptr;
    return isBaseShare(role) || m_lease.isValid(now) ? m_table.find(role) : nullptr;
}

asio::awaitable<void> RoleManager::run()
{
    TimePoint lastRead;
    while (!m_isStopping) {
        if (m_lease.isFenced())
            startNewIncarnation();
        const auto now = BootClock::now();
        if (m_lease.isRenewalDue(now) || m_entryChanged)
            co_await renew();
        if (BootClock::now() - lastRead >= ReadInterval) {
            lastRead = BootClock::now();
            co_await readRows();
            co_await claimRoles();
            co_await deleteExpiredMembers();
        }
        co_await sleepFor(TickInterval);
    }
}

void RoleManager::startNewIncarnation()
{
    log::warning("the member lease was taken over or lost with the store's data; starting anew",
                 { { "incarnation", m_self.incarnation.value() } });
    m_self.incarnation = IncarnationId(randomHex(IdBytes));
    m_lease = LeaseHolder(m_settings);
    m_table = RoleTable(m_self, m_settings);
    m_memberVersion = 0;
    m_lostRenewal.reset();
}

asio::awaitable<void> RoleManager::resolveLostRenewal()
{
    const auto row = co_await m_records.get(rows::memberKey(m_self));
    if (!row)
        co_return;
    const auto &found = row.value();
    const bool isWritten = found && found->value.find(m_lostRenewal->value()) != std::string::npos;
    const bool isOfOneEra =
            m_memberVersion == 0 || !found || eraOf(found->version) == eraOf(m_memberVersion);
    if (isWritten && isOfOneEra)
        m_memberVersion = found->version;
    else if ((found ? found->version : 0) != m_memberVersion)
        m_lease.fenced();
    m_lostRenewal.reset();
}

asio::awaitable<void> RoleManager::renew()
{
    if (m_lostRenewal)
        co_await resolveLostRenewal();
    if (m_lostRenewal || m_lease.isFenced())
        co_return;
    m_entryChanged = false;
    const auto change = newChangeId();
    const auto key = rows::memberKey(m_self);
    Transaction transaction { change,
                              { { key, m_memberVersion } },
                              { { key, rows::encode(MemberRow { m_self, 0, m_entry }, change) } } };
    const auto sentAt = BootClock::now();
    m_lease.renewalSent(sentAt);
    const auto outcome = co_await m_records.commit(std::move(transaction), sentAt + CommitTimeout);
    if (!outcome) {
        m_lease.renewalFailed();
        m_lostRenewal = change;
        co_return;
    }
    if (const auto *committed = std::get_if<Committed>(&outcome.value())) {
        m_memberVersion = committed->version;
        m_lease.renewalSucceeded(committed->version);
        co_return;
    }
    m_lease.fenced();
}

asio::awaitable<void> RoleManager::readRows()
{
    const bool areRolesStale = BootClock::now() - m_rolesReadAt >= RoleReadInterval;
    if (areRolesStale) {
        co_await readRoles();
        co_await readVms();
    }
    co_await readMembers();
    if (!m_table.needsRoleRead(m_wanted()))
        co_return;
    co_await readRoles();
    co_await readMembers();
}

asio::awaitable<void> RoleManager::readRoles()
{
    const auto roles = co_await m_records.range(std::string(rows::RolePrefix));
    if (!roles)
        co_return;
    m_table.noteRoles(decodeRows<RoleRow>(roles.value(), rows::decodeRole));
    m_rolesReadAt = BootClock::now();
}

asio::awaitable<void> RoleManager::readMembers()
{
    const auto members = co_await m_records.range(std::string(rows::MemberPrefix));
    if (members)
        m_table.noteMembers(decodeRows<MemberRow>(members.value(), rows::decodeMember),
                            BootClock::now());
}

asio::awaitable<void> RoleManager::readVms()
{
    const auto vms = co_await m_records.listVms();
    if (!vms)
        co_return;
    m_listedVms.clear();
    for (const auto &it : vms.value())
        m_listedVms.insert(it.vm);
    m_table.noteListedVms(m_listedVms);
}

asio::awaitable<void> RoleManager::claimRoles()
{
    if (!m_lease.isValid(BootClock::now()))
        co_return;
    const auto claims = m_table.claims(m_wanted(), BootClock::now());
    for (const auto &it : claims)
        co_await claim(it);
}

asio::awaitable<void> RoleManager::claim(RoleClaim claim)
{
    const auto change = newChangeId();
    const auto key = rows::roleKey(claim.role);
    const RoleRow row { claim.role, m_self, claim.epoch, 0, std::nullopt };
    Transaction transaction { change, {}, {} };
    transaction.conditions.push_back({ key, claim.roleVersion });
    transaction.conditions.push_back({ rows::memberKey(m_self), m_memberVersion });
    transaction.mutations.push_back({ key, rows::encode(row, change) });
    if (claim.formerHolder) {
        const auto memberKey = rows::memberKey(claim.formerHolder->member);
        transaction.conditions.push_back({ memberKey, claim.formerHolder->version });
        if (claim.formerHolder->version != 0)
            transaction.mutations.push_back({ memberKey, std::nullopt });
    }
    const auto outcome =
            co_await m_records.commit(std::move(transaction), BootClock::now() + CommitTimeout);
    if (!outcome)
        co_return;
    const auto *committed = std::get_if<Committed>(&outcome.value());
    if (committed == nullptr)
        co_return;
    m_table.noteClaimed(claim, committed->version);
    log::info("role claimed",
              { { "role", claim.role.value() }, { "epoch", std::to_string(claim.epoch) } });
}

asio::awaitable<void> RoleManager::deleteExpiredMembers()
{
    const auto expired = m_table.expiredMembers(BootClock::now());
    for (const auto &row : expired) {
        const auto key = rows::memberKey(row.member);
        Transaction transaction { newChangeId(),
                                  { { key, row.version } },
                                  { { key, std::nullopt } } };
        (void)co_await m_records.commitOnce(std::move(transaction));
    }
}

asio::awaitable<bool> RoleManager::handOver(RoleRow row, std::optional<RateHandover> handover)
{
    const auto successor = m_table.successor(row.role, BootClock::now());
    if (!successor)
        co_return false;
    const auto change = newChangeId();
    const auto key = rows::roleKey(row.role);
    const RoleRow next { row.role, *successor, row.epoch + 1, 0, handover };
    Transaction transaction { change,
                              { { key, row.version },
                                { rows::memberKey(m_self), m_memberVersion } },
                              { { key, rows::encode(next, change) } } };
    const auto outcome =
            co_await m_records.commit(std::move(transaction), BootClock::now() + CommitTimeout);
    co_return outcome &&std::holds_alternative<Committed>(outcome.value());
}

asio::awaitable<void>
RoleManager::leave(std::function<std::optional<RateHandover>(const RoleId &)> handover)
{
    m_table.noteLeaving();
    co_await readRoles();
    co_await readMembers();
    std::vector<RoleRow> heldRoles;
    for (const auto &[role, row] : m_table.roles())
        if (m_table.heldEpoch(role) && !isBaseShare(role))
            heldRoles.push_back(row);
    for (const auto &row : heldRoles) {
        auto rateHandover = handover(row.role);
        if (!co_await handOver(row, rateHandover))
            log::warning(
                    "role not handed over; another member can claim it after the lease has expired",
                    { { "role", row.role.value() } });
    }
    const auto key = rows::memberKey(m_self);
    Transaction transaction { newChangeId(),
                              { { key, m_memberVersion } },
                              { { key, std::nullopt } } };
    (void)co_await m_records.commitOnce(std::move(transaction));
}

} // namespace bluebell::controller
