#include "entry/configview.h"

#include "core/log.h"
#include "io/notifier.h"

#include <utility>

namespace asio = boost::asio;

namespace bluebell::entry {
namespace {

constexpr Duration AskEvery = std::chrono::milliseconds(150);
constexpr Duration AskTimeout = std::chrono::milliseconds(500);

} // namespace

ConfigView::ConfigView(PeerNode &peers, std::vector<Endpoint> controllers, EntryAddress self,
                       ConfigReplica::Settings settings)
    : m_peers(peers), m_controllers(std::move(controllers)), m_self(std::move(self)),
      m_replica(settings)
{
}

asio::awaitable<void> ConfigView::run()
{
    while (!m_isStopping) {
        for (const auto &controller : m_controllers)
            if (co_await ask(controller))
                break;
        co_await sleepFor(AskEvery);
    }
}

asio::awaitable<bool> ConfigView::ask(Endpoint controller)
{
    SyncQuestion question;
    question.vm = m_self.vm;
    question.version = m_replica.version();
    question.withdrawnChecksum = m_replica.withdrawnChecksum();
    question.wantsDirectory = true;
    if (controller == m_controllers.front())
        question.entry = m_self;
    const auto sentAt = BootClock::now();
    question.wantsContacts = m_replica.needsContacts(sentAt);
    auto answer = expectAnswer<SyncAnswer>(
            co_await m_peers.ask(std::move(controller), std::move(question), AskTimeout));
    if (!answer)
        co_return false;
    takeIn(answer.value(), sentAt);
    co_return true;
}

void ConfigView::takeIn(const SyncAnswer &answer, TimePoint sentAt)
{
    for (const auto &digest : answer.withdrawn)
        m_replica.withdraw(digest);
    if (!answer.members.empty())
        m_replica.setMembers({ answer.members.begin(), answer.members.end() });
    if (answer.update) {
        const auto before = m_replica.version();
        const auto applied = applyUpdate(*answer.update, m_replica);
        if (!applied)
            log::warning("configuration not taken", { { "cause", applied.error().message } });
        else if (m_replica.version() != before)
            log::info("configuration in force",
                      { { "version", std::to_string(m_replica.version()) } });
    }
    if (answer.age)
        m_replica.noteHead(answer.version, sentAt - *answer.age);
    for (const auto &[vm, age] : answer.contacts)
        m_replica.noteContact(vm, sentAt - age);
    m_entries = answer.entries;
    m_roles.clear();
    for (const auto &row : answer.roles)
        m_roles.emplace(row.role, row);
}

std::optional<Endpoint> ConfigView::holderOf(const RoleId &role) const
{
    const auto it = m_roles.find(role);
    if (it == m_roles.end())
        return std::nullopt;
    return it->second.holder.address;
}

} // namespace bluebell::entry
