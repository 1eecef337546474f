#include "entry/configview.h"

#include "core/log.h"
#include "io/notifier.h"

#include <utility>

namespace asio = boost::asio;

namespace bluebell::entry {
namespace {

constexpr Duration SyncInterval = std::chrono::milliseconds(150);
constexpr Duration SyncTimeout = std::chrono::milliseconds(500);

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
            if (co_await syncWith(controller))
                break;
        co_await sleepFor(SyncInterval);
    }
}

asio::awaitable<bool> ConfigView::syncWith(Endpoint controller)
{
    SyncQuestion request;
    request.vm = m_self.vm;
    request.version = m_replica.version();
    request.withdrawnChecksum = m_replica.withdrawnChecksum();
    request.wantsDirectory = true;
    if (controller == m_controllers.front())
        request.entry = m_self;
    const auto sentAt = BootClock::now();
    request.wantsContacts = m_replica.needsContacts(sentAt);
    auto response = expectAnswer<SyncAnswer>(
            co_await m_peers.ask(std::move(controller), std::move(request), SyncTimeout));
    if (!response)
        co_return false;
    applyResponse(response.value(), sentAt);
    co_return true;
}

void ConfigView::applyResponse(const SyncAnswer &response, TimePoint sentAt)
{
    for (const auto &digest : response.withdrawn)
        m_replica.withdraw(digest);
    if (!response.members.empty())
        m_replica.setMembers({ response.members.begin(), response.members.end() });
    if (response.update) {
        const auto before = m_replica.version();
        const auto applied = applyUpdate(*response.update, m_replica);
        if (!applied)
            log::warning("configuration update rejected", { { "cause", applied.error().message } });
        else if (m_replica.version() != before)
            log::info("configuration in force",
                      { { "version", std::to_string(m_replica.version()) } });
    }
    if (response.age)
        m_replica.noteHead(response.version, sentAt - *response.age);
    for (const auto &[vm, age] : response.contacts)
        m_replica.noteContact(vm, sentAt - age);
    m_entries = response.entries;
    m_roles.clear();
    for (const auto &row : response.roles)
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
