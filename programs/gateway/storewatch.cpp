#include "gateway/storewatch.h"

#include "core/log.h"
#include "gateway/memberrow.h"
#include "io/background.h"
#include "platform/names.h"

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using platform::StoreRow;
using std::chrono::milliseconds;

/// Calls to the feeds end this often, so that a dead connection is detected. With the allowance for
/// the reply, a call that was lost ends within the three seconds after an outage in which the store
/// does not count as stable.
constexpr Duration MaxConfigWait = milliseconds(1500);
constexpr Duration MaxTargetWait = milliseconds(1500);
/// The calls for other tables are repeated when those above find that the store was lost.
constexpr Duration MaxMemberWait = milliseconds(8000);
/// Daemons hear of quarantines from each other sooner.
constexpr Duration MaxQuarantineWait = std::chrono::seconds(15);
/// Interval between two calls to the feed of target entries, as a fraction of the drain timeout.
/// Draining targets must be noticed in time, but the entries change with every heartbeat.
constexpr double TargetPollFraction = 0.4;
/// The same for a relay, whose readings reach the other daemons later.
constexpr double RelayTargetPollFraction = 0.35;
/// At the start all daemons write their rows at the same time.
constexpr Duration MemberPollInterval = milliseconds(400);
constexpr Duration ReadTimeout = milliseconds(1200);
/// Time between a failed call and its first repetition; it doubles up to the table's maximum.
constexpr Duration MinRetryInterval = milliseconds(200);
constexpr Duration MaxRetryInterval = milliseconds(800);
/// The same for tables whose calls are repeated when others find that the store is back.
constexpr Duration MaxIdleRetryInterval = std::chrono::seconds(2);
/// Delay of the first read when all daemons start for the first time.
constexpr Duration FirstStartDelay = milliseconds(1000);
/// Interval at which a daemon that is no reader checks whether it has become one.
constexpr Duration RoleCheckInterval = milliseconds(100);
constexpr Duration MemberTimeoutCheckInterval = std::chrono::seconds(5);

} // namespace

StoreWatch::StoreWatch(asio::io_context &context, GatewayState &state, SiteUpdates &updates,
                       QuarantineService &quarantine)
    : m_context(context), m_state(state), m_updates(updates), m_quarantine(quarantine),
      m_store(state.settings.store), m_contactRegained(context.get_executor()),
      m_random(static_cast<std::minstd_rand::result_type>(
              std::hash<std::string>()(state.settings.vm.value())))
{
}

void StoreWatch::start()
{
    namespace names = platform::names;
    Table config;
    config.name = names::OperatorTable;
    config.maxWait = MaxConfigWait;
    config.maxRetryInterval = MaxRetryInterval;
    config.hasSpreadCalls = true;
    config.minInterval = [] {
        return Duration::zero();
    };
    config.onSnapshot = [this](const auto &rows, RowVersion version) {
        m_updates.replaceOperatorRows(rows, version);
    };
    config.onChanges = [this](const auto &rows, RowVersion version) {
        m_updates.updateOperatorRows(rows, version);
    };
    Table targets;
    targets.name = names::ServerTable;
    targets.maxWait = MaxTargetWait;
    targets.maxRetryInterval = MaxRetryInterval;
    targets.minInterval = [this] {
        const auto fraction =
                m_state.fleet.usesRelays() ? RelayTargetPollFraction : TargetPollFraction;
        return std::chrono::duration_cast<Duration>(m_state.settings.drainTimeout * fraction);
    };
    targets.onSnapshot = [this](const auto &rows, RowVersion version) {
        m_updates.replaceTargets(rows, version);
    };
    targets.onChanges = [this](const auto &rows, RowVersion version) {
        m_updates.updateTargets(rows, version);
    };
    targets.onReply = [this] {
        const auto now = BootClock::now();
        m_state.targetsReadAt = now;
        m_state.registry.noteContact(now);
    };
    Table members;
    members.name = MemberTable;
    members.maxWait = MaxMemberWait;
    members.maxRetryInterval = MaxIdleRetryInterval;
    members.minInterval = [] {
        return MemberPollInterval;
    };
    members.isReadAtStart = true;
    members.onSnapshot = [this](const auto &rows, RowVersion version) {
        m_updates.replaceMembers(rows, version);
    };
    members.onChanges = [this](const auto &rows, RowVersion version) {
        m_updates.updateMembers(rows, version);
    };
    Table quarantines;
    quarantines.name = QuarantineTable;
    quarantines.maxWait = MaxQuarantineWait;
    quarantines.maxRetryInterval = MaxIdleRetryInterval;
    quarantines.minInterval = [] {
        return MemberPollInterval;
    };
    quarantines.isReadAtStart = true;
    quarantines.onSnapshot = [this](const auto &rows, RowVersion) {
        m_quarantine.replaceRows(rows);
    };
    quarantines.onChanges = [this](const auto &rows, RowVersion) {
        m_quarantine.updateRows(rows);
    };
    for (auto *table : { &config, &targets, &members, &quarantines })
        spawnLoop(m_context.get_executor(), "follow " + table->name,
                  [this, it = std::move(*table)] { return followTable(it); });
    spawnLoop(m_context.get_executor(), "register", [this] { return keepRegistered(); });
    spawnLoop(m_context.get_executor(), "remove dead daemons",
              [this] { return removeTimedOutMembers(); });
}

void StoreWatch::noteReply(TimePoint sentAt)
{
    if (!m_contact.noteReply(sentAt))
        return;
    m_contactRegained.notify();
    cancelCallsBefore(sentAt);
}

void StoreWatch::cancelCallsBefore(TimePoint sentAt)
{
    std::vector<std::shared_ptr<CancelSource>> lost;
    for (const auto &[table, call] : m_heldCalls)
        if (call.sentAt < sentAt)
            lost.push_back(call.cancel);
    for (const auto &it : lost)
        it->cancel();
}

Duration StoreWatch::randomWait(Duration wait)
{
    std::uniform_int_distribution<Duration::rep> distribution(0, wait.count());
    return Duration(distribution(m_random));
}

asio::awaitable<std::optional<Result<platform::FeedOutcome>>>
StoreWatch::awaitChanges(const Table &table, RowVersion version, Duration wait)
{
    const auto cancel = std::make_shared<CancelSource>();
    m_heldCalls[table.name] = { BootClock::now(), cancel };
    auto outcome = co_await m_store.changes(table.name, version, wait, cancel);
    m_heldCalls.erase(table.name);
    if (!outcome && cancel->isCancelled())
        co_return std::nullopt;
    co_return outcome;
}

asio::awaitable<void> StoreWatch::followTable(Table table)
{
    std::optional<RowVersion> version;
    bool isDisconnected = false;
    bool isWaitRandom = table.hasSpreadCalls;
    Duration retryInterval = MinRetryInterval;
    const auto onFailure = [&](const Error &error, TimePoint sentAt) {
        if (!isDisconnected)
            log::warning("store lost", { { "table", table.name }, { "cause", error.message } });
        isDisconnected = true;
        m_contact.noteFailure(sentAt);
        const auto interval = std::exchange(
                retryInterval, std::min<Duration>(2 * retryInterval, table.maxRetryInterval));
        return m_contactRegained.wait(pauseBeforeRetry(sentAt, interval, BootClock::now()));
    };
    const auto onSuccess = [&](TimePoint sentAt) {
        if (isDisconnected)
            log::info("store regained", { { "table", table.name } });
        isDisconnected = false;
        retryInterval = MinRetryInterval;
        noteReply(sentAt);
        if (table.onReply)
            table.onReply();
    };
    // Until the others have written their rows, a large fleet can't be told from a small one.
    if (m_state.settings.isFirstStart)
        co_await sleepFor(FirstStartDelay);
    bool mustRead = table.isReadAtStart;
    for (;;) {
        const auto sentAt = BootClock::now();
        if (!mustRead && !m_state.isReader(sentAt)) {
            // What is missed meanwhile is read with the next snapshot.
            version.reset();
            co_await sleepFor(RoleCheckInterval);
            continue;
        }
        if (!version) {
            auto snapshot = co_await m_store.read(table.name, ReadTimeout);
            if (!snapshot) {
                co_await onFailure(snapshot.error(), sentAt);
                continue;
            }
            onSuccess(sentAt);
            mustRead = false;
            version = snapshot.value().version;
            // The store may hold the other tables' calls although their rows have gone back.
            if (m_state.noteStoreEra(eraOf(*version)))
                cancelCallsBefore(sentAt);
            table.onSnapshot(snapshot.value().rows, *version);
            continue;
        }
        auto wait = isDisconnected || m_contact.isLost() ? Duration::zero() : table.maxWait;
        if (std::exchange(isWaitRandom, false))
            wait = randomWait(wait);
        auto outcome = co_await awaitChanges(table, *version, wait);
        if (!outcome)
            continue;
        if (!*outcome) {
            co_await onFailure(outcome->error(), sentAt);
            continue;
        }
        onSuccess(sentAt);
        if (auto *snapshot = std::get_if<platform::StoreSnapshot>(&outcome->value())) {
            // The other daemons' calls have been answered at the same moment.
            isWaitRandom = table.hasSpreadCalls && !snapshot->rows.empty();
            version = std::max(*version, snapshot->version);
            table.onChanges(snapshot->rows, *version);
        } else {
            log::info("history lost, table read anew", { { "table", table.name } });
            version.reset();
        }
        if (const auto interval = table.minInterval(); interval > Duration::zero())
            co_await sleepFor(interval);
    }
}

asio::awaitable<void> StoreWatch::keepRegistered()
{
    constexpr Duration CheckInterval = milliseconds(300);
    const auto vm = m_state.settings.vm.value();
    const auto value = encodeMember(m_state.fleet.self());
    while (!m_isDeregistering) {
        if (!m_updates.isRegistered()) {
            platform::Transact row { {}, { { MemberTable, vm, value } } };
            const auto done = co_await m_store.write(std::move(row), ReadTimeout);
            if (const auto *written =
                        done ? std::get_if<platform::Written>(&done.value()) : nullptr)
                m_updates.noteRegistered(written->version);
        }
        co_await sleepFor(CheckInterval);
    }
}

asio::awaitable<void> StoreWatch::deregister()
{
    m_isDeregistering = true;
    const auto vm = m_state.settings.vm.value();
    const auto done = co_await m_store.put(MemberTable, vm, std::nullopt, ReadTimeout);
    if (!done)
        log::warning("failed to remove this daemon's row", { { "cause", done.error().message } });
}

asio::awaitable<void> StoreWatch::removeTimedOutMembers()
{
    for (;;) {
        co_await sleepFor(MemberTimeoutCheckInterval);
        const auto now = BootClock::now();
        if (!m_state.leadership.isLeader(now))
            continue;
        for (const auto &vm : m_state.fleet.timedOutMembers(now)) {
            log::info("removing the row of a dead daemon", { { "vm", vm.value() } });
            const auto done =
                    co_await m_store.put(MemberTable, vm.value(), std::nullopt, ReadTimeout);
            if (!done)
                log::warning("failed to remove the row of a dead daemon",
                             { { "vm", vm.value() }, { "cause", done.error().message } });
        }
    }
}

} // namespace bluebell::gateway
