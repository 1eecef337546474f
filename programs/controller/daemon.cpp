#include "controller/daemon.h"

#include "core/digest.h"
#include "core/log.h"
#include "io/notifier.h"
#include "platform/recordstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/core.h>

#include <utility>

namespace asio = boost::asio;

namespace bluebell::controller {
namespace {

constexpr Duration RulesInterval = std::chrono::milliseconds(50);
constexpr std::size_t IdBytes = 8;

} // namespace

Daemon::Daemon(asio::io_context &context, DaemonSettings settings)
    : m_context(context), m_settings(std::move(settings)),
      m_peers(context.get_executor(),
              [this](PeerQuestion question) { return handle(std::move(question)); })
{
}

Result<Endpoint> Daemon::start()
{
    BOOST_OUTCOME_TRY(auto address, m_peers.listen(m_settings.listen));
    const auto openRecords = [this] {
        return RecordTable(platform::makeRecordStore(m_settings.platform));
    };
    const Member self { m_settings.vm, IncarnationId(randomHex(IdBytes)), address };
    m_roles.emplace(openRecords(), self, m_settings.lease, [this] { return wantedRoles(); });
    m_config.emplace(openRecords(), *m_roles, m_peers, m_settings.seeds, m_settings.config);
    m_rates.emplace(
            [this](const RoleId &role, TimePoint now) { return m_roles->heldRole(role, now); },
            m_settings.rate);
    m_placement.emplace(m_context.get_executor(), openRecords(), *m_roles, m_settings.placement);
    asio::co_spawn(m_context, m_roles->run(), asio::detached);
    asio::co_spawn(m_context, m_config->run(), asio::detached);
    asio::co_spawn(m_context, m_placement->run(), asio::detached);
    asio::co_spawn(m_context, distributeRules(), asio::detached);
    return address;
}

std::set<RoleId> Daemon::wantedRoles() const
{
    std::set<RoleId> wanted;
    const auto rules = m_config->replica().rules();
    for (std::size_t n = 0; n < rules->policy.shards; ++n)
        wanted.insert(placementRole(n));
    for (const auto &[organisation, rule] : rules->organisations) {
        wanted.insert(homeRole(organisation));
        for (std::size_t n = 0; n < rules->policy.baseParts; ++n)
            wanted.insert(baseShareRole(organisation, n));
    }
    return wanted;
}

asio::awaitable<void> Daemon::distributeRules()
{
    while (!m_isStopping) {
        const auto rules = m_config->replica().rules();
        m_rates->noteRules(rules, BootClock::now());
        m_placement->noteRules(rules);
        co_await sleepFor(RulesInterval);
    }
}

asio::awaitable<PeerAnswer> Daemon::handle(PeerQuestion question)
{
    if (!m_placement)
        co_return makeError(ErrorCode::Unavailable, "the controller is starting");
    auto pending =
            std::visit([this](auto it) { return answer(std::move(it)); }, std::move(question));
    co_return co_await std::move(pending);
}

asio::awaitable<PeerAnswer> Daemon::answer(SyncQuestion question)
{
    if (question.entry)
        m_roles->setEntry(*question.entry);
    co_return m_config->answer(question, BootClock::now());
}

asio::awaitable<PeerAnswer> Daemon::answer(AcquireQuestion question)
{
    co_return PeerAnswer(m_rates->answer(question, BootClock::now()));
}

asio::awaitable<PeerAnswer> Daemon::answer(WantQuestion question)
{
    co_return PeerAnswer(co_await m_placement->answer(std::move(question)));
}

asio::awaitable<PeerAnswer> Daemon::answer(WithdrawQuestion question)
{
    co_return PeerAnswer(co_await m_config->withdraw(std::move(question)));
}

asio::awaitable<PeerAnswer> Daemon::answer(StatusQuestion /*question*/)
{
    const auto now = BootClock::now();
    const auto &replica = m_config->replica();
    StatusAnswer status;
    const auto age = replica.age(now);
    status.rows.push_back(
            { "daemon", m_settings.vm.value(),
              fmt::format("version {}, confirmed {}, lease {}, {}", replica.version(),
                          age ? std::to_string(toMilliseconds(*age).count()) + " ms ago" : "never",
                          m_roles->isLeaseValid(now) ? "valid" : "not valid",
                          describe(replica.state(now))) });
    for (auto &row : m_rates->status(now))
        status.rows.push_back(std::move(row));
    for (auto &row : m_placement->status(now))
        status.rows.push_back(std::move(row));
    co_return status;
}

asio::awaitable<PeerAnswer> Daemon::answer(DrainQuestion /*question*/)
{
    requestStop();
    co_return DrainAnswer {};
}

void Daemon::requestStop()
{
    if (std::exchange(m_isStopping, true)) {
        m_context.stop();
        return;
    }
    log::info("leaving");
    asio::co_spawn(m_context, leave(), asio::detached);
}

asio::awaitable<void> Daemon::leave()
{
    m_roles->stop();
    m_placement->stop();
    m_config->stop();
    std::function<std::optional<RateHandover>(const RoleId &)> handover =
            [this](const RoleId &role) {
                return m_rates->close(role, BootClock::now());
            };
    co_await m_roles->leave(std::move(handover));
    m_stoppedGracefully = true;
    log::info("left");
    m_context.stop();
}

} // namespace bluebell::controller
