#include "controller/configsync.h"

#include "core/digest.h"
#include "core/log.h"
#include "io/notifier.h"

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::controller {
namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(800);
constexpr Duration PollJitter = std::chrono::milliseconds(400);
constexpr Duration PeerTimeout = std::chrono::milliseconds(700);
/// Peers contacted per round while the table service does not confirm the version.
constexpr std::size_t PeersPerRound = 2;
/// Rounds between two requests to a peer while the table service confirms the version.
constexpr std::size_t ConfirmedPeerInterval = 4;
constexpr std::size_t IdBytes = 8;

} // namespace

ConfigSync::ConfigSync(RecordTable records, RoleManager &roles, PeerNode &peers,
                       std::vector<Endpoint> seeds, ConfigReplica::Settings settings)
    : m_records(std::move(records)), m_roles(roles), m_peers(peers), m_seeds(std::move(seeds)),
      m_replica(settings), m_random(std::random_device()())
{
}

asio::awaitable<void> ConfigSync::run()
{
    while (!m_isStopping) {
        const auto before = m_replica.version();
        const auto pulled = co_await pullConfig(m_records, m_replica);
        noteConflict(pulled);
        if (!pulled)
            log::debug("cannot read the table service", { { "cause", pulled.error().message } });
        updateMembers();
        co_await askPeers();
        if (m_replica.version() != before)
            log::info("configuration in force",
                      { { "version", std::to_string(m_replica.version()) } });
        co_await publishWithdrawals();
        std::uniform_int_distribution<std::int64_t> jitter(0, PollJitter.count());
        co_await sleepFor(PollInterval + Duration(jitter(m_random)));
    }
}

void ConfigSync::noteConflict(const Result<void> &pulled)
{
    const bool isConflict = !pulled && pulled.error().code == ErrorCode::Conflict;
    if (isConflict && pulled.error().message != m_lastConflict)
        log::warning("the configuration differs from the table service's",
                     { { "cause", pulled.error().message } });
    m_lastConflict = isConflict ? pulled.error().message : std::string();
}

void ConfigSync::updateMembers()
{
    std::set<VmId> members = m_roles.listedVms();
    for (const auto &it : m_roles.table().liveMembers(BootClock::now()))
        members.insert(it.vm);
    if (members.empty())
        return;
    members.insert(m_roles.self().vm);
    m_replica.setMembers(std::move(members));
}

std::vector<Endpoint> ConfigSync::peerAddresses() const
{
    std::set<Endpoint> addresses(m_seeds.begin(), m_seeds.end());
    for (const auto &it : m_roles.table().liveMembers(BootClock::now()))
        addresses.insert(it.address);
    addresses.erase(m_roles.self().address);
    return { addresses.begin(), addresses.end() };
}

asio::awaitable<void> ConfigSync::askPeers()
{
    const bool isConfirmed = !m_replica.needsContacts(BootClock::now());
    if (isConfirmed && ++m_round % ConfirmedPeerInterval != 0)
        co_return;
    const auto maxPeers = isConfirmed ? 1 : PeersPerRound;
    auto peers = peerAddresses();
    std::shuffle(peers.begin(), peers.end(), m_random);
    if (peers.size() > maxPeers)
        peers.resize(maxPeers);
    for (const auto &peer : peers)
        co_await askPeer(peer);
}

asio::awaitable<void> ConfigSync::askPeer(Endpoint peer)
{
    SyncQuestion request;
    request.vm = m_roles.self().vm;
    request.version = m_replica.version();
    request.withdrawnChecksum = m_replica.withdrawnChecksum();
    const auto sentAt = BootClock::now();
    request.wantsContacts = m_replica.needsContacts(sentAt);
    auto response =
            expectAnswer<SyncAnswer>(co_await m_peers.ask(std::move(peer), request, PeerTimeout));
    if (response)
        applyResponse(response.value(), sentAt);
}

void ConfigSync::applyResponse(const SyncAnswer &response, TimePoint sentAt)
{
    for (const auto &digest : response.withdrawn)
        m_replica.withdraw(digest);
    if (m_replica.members().empty() && !response.members.empty())
        m_replica.setMembers({ response.members.begin(), response.members.end() });
    if (response.update) {
        const auto applied = applyUpdate(*response.update, m_replica);
        if (!applied)
            log::warning("cannot apply the configuration from a peer",
                         { { "peer", response.vm.value() }, { "cause", applied.error().message } });
    }
    if (response.age)
        m_replica.noteHead(response.version, sentAt - *response.age);
    m_replica.noteContact(response.vm, sentAt);
    for (const auto &[vm, age] : response.contacts)
        m_replica.noteContact(vm, sentAt - age);
}

SyncAnswer ConfigSync::answer(const SyncQuestion &question, TimePoint now) const
{
    SyncAnswer answer;
    answer.vm = m_roles.self().vm;
    answer.version = m_replica.version();
    answer.age = m_replica.age(now);
    answer.update = m_replica.updateSince(question.version);
    const auto &withdrawn = m_replica.withdrawn();
    if (question.withdrawnChecksum != m_replica.withdrawnChecksum())
        answer.withdrawn.assign(withdrawn.begin(), withdrawn.end());
    if (question.wantsContacts) {
        const auto &members = m_replica.members();
        answer.members.assign(members.begin(), members.end());
        for (const auto &[vm, sentAt] : m_replica.contacts())
            answer.contacts.push_back({ vm, now - sentAt });
    }
    if (question.wantsDirectory) {
        answer.entries = m_roles.table().entries(now);
        for (const auto &[role, row] : m_roles.table().roles())
            answer.roles.push_back(row);
    }
    return answer;
}

asio::awaitable<WithdrawAnswer> ConfigSync::withdraw(WithdrawQuestion question)
{
    if (m_replica.withdraw(question.digest))
        log::info("key withdrawn", { { "digest", question.digest.value() } });
    WithdrawAnswer answer;
    answer.acknowledged.push_back(m_roles.self().vm);
    if (!question.spreads)
        co_return answer;
    question.spreads = false;
    auto missing = m_replica.members();
    missing.erase(m_roles.self().vm);
    for (const auto &peer : peerAddresses()) {
        auto response =
                expectAnswer<WithdrawAnswer>(co_await m_peers.ask(peer, question, PeerTimeout));
        if (!response)
            continue;
        for (const auto &vm : response.value().acknowledged) {
            missing.erase(vm);
            answer.acknowledged.push_back(vm);
        }
    }
    answer.missing.assign(missing.begin(), missing.end());
    co_return answer;
}

asio::awaitable<void> ConfigSync::publishWithdrawals()
{
    const auto live = m_roles.table().liveMembers(BootClock::now());
    const auto *publisher = preferredMember(RoleId("withdrawals"), live);
    const bool isPublisher =
            publisher != nullptr && publisher->incarnation == m_roles.self().incarnation;
    if (!isPublisher || m_replica.state(BootClock::now()) != ServingState::Fresh)
        co_return;
    ConfigDelta delta;
    for (const auto &digest : m_replica.withdrawn())
        for (const auto &line : m_replica.lines())
            if (line.starts_with("key " + digest.value() + ' '))
                delta.removed.push_back(line);
    if (delta.removed.empty())
        co_return;
    delta.author = "withdrawal";
    delta.change = ChangeId(randomHex(IdBytes));
    (void)co_await publishConfig(m_records, m_replica.lines(), m_replica.version(),
                                 std::move(delta), BootClock::now() + PollInterval);
}

} // namespace bluebell::controller
