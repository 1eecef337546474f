#include "controller/placementservice.h"

#include "core/digest.h"
#include "core/log.h"
#include "records/rows.h"
#include "target/targetclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/core.h>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::controller {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(20);
/// Time between two planning rounds while no demand or order is pending.
constexpr Duration IdlePlanInterval = std::chrono::milliseconds(250);
constexpr Duration PollInterval = std::chrono::seconds(2);
/// Poll interval of a target with an unconfirmed order.
constexpr Duration ConfirmationPollInterval = std::chrono::milliseconds(50);
constexpr Duration ReportTimeout = std::chrono::milliseconds(800);
constexpr Duration OrderTimeout = std::chrono::seconds(2);
constexpr Duration CommitTimeout = std::chrono::seconds(2);
/// Upper bound for the time that a WantQuestion is held open.
constexpr Duration MaxLongPoll = std::chrono::seconds(2);
constexpr std::size_t IdBytes = 8;

std::set<TargetId> residentTargets(const WantAnswer &answer)
{
    std::set<TargetId> targets;
    for (const auto &it : answer.resident)
        targets.insert(it.target);
    return targets;
}

} // namespace

PlacementService::PlacementService(asio::any_io_executor executor, RecordTable records,
                                   const RoleManager &roles, LoadPlanner::Settings settings)
    : m_executor(std::move(executor)), m_records(std::move(records)), m_roles(roles),
      m_settings(settings), m_changeNotifier(m_executor)
{
}

void PlacementService::noteRules(std::shared_ptr<const RuleSet> rules)
{
    if (m_rules == rules)
        return;
    if (m_rules->policy.shards != rules->policy.shards)
        m_shards.clear();
    m_rules = std::move(rules);
    for (auto &[n, shard] : m_shards) {
        shard->planner.noteRules(m_rules);
        shard->isReady = false;
    }
}

asio::awaitable<void> PlacementService::run()
{
    while (!m_isStopping) {
        co_await refreshShards();
        if (m_hasPendingWork || BootClock::now() >= m_nextPlan) {
            m_hasPendingWork = false;
            m_unconfirmedTargets.clear();
            const auto shards = m_shards;
            for (const auto &[n, shard] : shards)
                co_await planShard(shard);
            m_nextPlan = BootClock::now() + IdlePlanInterval;
        }
        startPolls(BootClock::now());
        co_await sleepFor(TickInterval);
    }
}

asio::awaitable<void> PlacementService::refreshShards()
{
    const auto now = BootClock::now();
    // A shard is kept after the lease has expired. It plans nothing, but still reports resident
    // targets: targets verify residency themselves, and no other daemon has this information
    // while the table service is unavailable.
    for (std::size_t n = 0; n < m_rules->policy.shards; ++n) {
        const auto role = placementRole(n);
        const auto *row = m_roles.table().find(role);
        const auto it = m_shards.find(n);
        if (!m_roles.table().heldEpoch(role)) {
            m_shards.erase(n);
            continue;
        }
        if (it != m_shards.end() && it->second->epoch == row->epoch)
            continue;
        auto settings = m_settings;
        settings.shard = n;
        settings.shards = m_rules->policy.shards;
        m_shards[n] = std::make_shared<Shard>(Shard {
                LoadPlanner(role.value(), row->epoch, settings, now), row->epoch, role, false });
        m_shards[n]->planner.noteRules(m_rules);
    }
    for (auto &[n, shard] : m_shards)
        if (!shard->isReady)
            shard->isReady = co_await readRows(*shard);
}

asio::awaitable<bool> PlacementService::readRows(Shard &shard)
{
    const auto ledgers = co_await m_records.range(std::string(rows::TargetPrefix));
    if (!ledgers)
        co_return false;
    const auto places = co_await m_records.range(std::string(rows::ReplicaPrefix));
    if (!places)
        co_return false;
    for (const auto &row : ledgers.value())
        if (auto ledger = rows::decodeLedger(row.value))
            shard.planner.noteLedger(TargetId(row.key.substr(rows::TargetPrefix.size())),
                                     std::move(ledger.value()), row.version);
    for (const auto &row : places.value())
        if (auto targets = rows::decodePlaces(row.value))
            shard.planner.notePlaces(parseReplicaKey(row.key.substr(rows::ReplicaPrefix.size())),
                                     std::move(targets.value()), row.version);
    for (const auto &[target, rule] : m_rules->targets)
        shard.planner.noteLedger(target, {}, 0);
    const auto now = BootClock::now();
    for (const auto &[target, report] : m_reports)
        shard.planner.noteReport(target, report, now);
    co_return true;
}

asio::awaitable<void> PlacementService::rereadIfStale(Shard &shard)
{
    if (!shard.planner.staleTargets().empty())
        shard.isReady = co_await readRows(shard);
}

asio::awaitable<void> PlacementService::planShard(std::shared_ptr<Shard> shard)
{
    if (!shard->isReady || m_roles.heldRole(shard->role, BootClock::now()) == nullptr)
        co_return;
    const auto changes = shard->planner.plan(BootClock::now());
    for (const auto &change : changes)
        co_await commit(*shard, change);
    co_await rereadIfStale(*shard);
    const auto now = BootClock::now();
    if (m_roles.heldRole(shard->role, now) == nullptr)
        co_return;
    for (auto &order : shard->planner.orders(now)) {
        shard->planner.noteOrderSent(order, now);
        asio::co_spawn(m_executor, send(std::move(order)), asio::detached);
    }
    m_unconfirmedTargets.merge(shard->planner.unconfirmedTargets());
    m_hasPendingWork = m_hasPendingWork || !m_unconfirmedTargets.empty();
    if (!changes.empty())
        m_changeNotifier.notify();
}

asio::awaitable<void> PlacementService::commit(Shard &shard, LedgerChange change)
{
    const auto *row = m_roles.heldRole(shard.role, BootClock::now());
    if (row == nullptr)
        co_return;
    const ChangeId id(randomHex(IdBytes));
    const auto targetKey = rows::targetKey(change.target);
    const auto replicaKey = rows::replicaKey(change.key);
    Transaction transaction { id, {}, {} };
    transaction.conditions = { { targetKey, change.ledgerVersion },
                               { replicaKey, change.placesVersion },
                               { rows::roleKey(shard.role), row->version } };
    transaction.mutations = { { targetKey, rows::encode(change.ledger, id) },
                              { replicaKey, rows::encode(change.places, id) } };
    const auto outcome =
            co_await m_records.commit(std::move(transaction), BootClock::now() + CommitTimeout);
    const auto *committed = outcome ? std::get_if<Committed>(&outcome.value()) : nullptr;
    if (committed == nullptr) {
        shard.planner.noteConflict(change);
        co_return;
    }
    shard.planner.noteCommitted(change, committed->version);
    log::info("placement decided",
              { { "target", change.target.value() },
                { "replica", toString(change.key) },
                { "places", std::to_string(change.places.size()) } });
}

asio::awaitable<void> PlacementService::send(TargetOrder order)
{
    const auto rule = m_rules->targets.find(order.target);
    if (rule == m_rules->targets.end())
        co_return;
    const auto sent = co_await sendOrder(rule->second.address, order, OrderTimeout);
    if (!sent)
        log::warning("order not taken",
                     { { "target", order.target.value() },
                       { "replica", toString(order.key) },
                       { "cause", sent.error().message } });
    // Makes the poll of the target due at once.
    m_nextPoll.erase(order.target);
}

void PlacementService::startPolls(TimePoint now)
{
    if (m_shards.empty())
        return;
    for (const auto &[target, rule] : m_rules->targets) {
        auto &next = m_nextPoll[target];
        const auto interval =
                m_unconfirmedTargets.contains(target) ? ConfirmationPollInterval : PollInterval;
        next = std::min(next, now + interval);
        if (rule.kind != TargetKind::Engine || now < next || m_pollsInFlight.contains(target))
            continue;
        next = now + interval;
        m_pollsInFlight.insert(target);
        asio::co_spawn(m_executor, poll(target, rule.address), asio::detached);
    }
}

asio::awaitable<void> PlacementService::poll(TargetId target, Endpoint address)
{
    auto report = co_await fetchReport(std::move(address), ReportTimeout);
    m_pollsInFlight.erase(target);
    if (!report)
        co_return;
    const auto now = BootClock::now();
    for (auto &[n, shard] : m_shards)
        shard->planner.noteReport(target, report.value(), now);
    m_reports[target] = std::move(report.value());
    m_changeNotifier.notify();
}

std::shared_ptr<PlacementService::Shard> PlacementService::shardFor(const ModelId &model) const
{
    const auto it = m_shards.find(shardOf(model, m_rules->policy.shards));
    if (it == m_shards.end() || !it->second->isReady)
        return nullptr;
    return it->second;
}

WantAnswer PlacementService::makeAnswer(const Shard &shard, const ReplicaKey &key,
                                        TimePoint now) const
{
    const auto status = shard.planner.status(key, now);
    WantAnswer answer;
    answer.isOwner = true;
    answer.estimate = status.estimate;
    answer.loading.assign(status.loading.begin(), status.loading.end());
    for (const auto &target : status.resident) {
        const auto report = m_reports.find(target);
        const auto rule = m_rules->targets.find(target);
        if (report == m_reports.end() || rule == m_rules->targets.end())
            continue;
        answer.resident.push_back(
                { target, report->second.running + report->second.waiting, rule->second.slots });
    }
    return answer;
}

bool PlacementService::noteDemand(Shard &shard, const ReplicaKey &key, const Demand &demand)
{
    shard.planner.noteDemand(key, demand, BootClock::now());
    return demand.waiting > 0;
}

asio::awaitable<WantAnswer> PlacementService::answer(WantQuestion question)
{
    const auto deadline = BootClock::now() + std::min<Duration>(question.longestWait, MaxLongPoll);
    if (const auto shard = shardFor(question.key.model))
        for (const auto &demand : question.demand)
            m_hasPendingWork = noteDemand(*shard, question.key, demand) || m_hasPendingWork;
    for (;;) {
        const auto shard = shardFor(question.key.model);
        const auto now = BootClock::now();
        if (!shard)
            co_return WantAnswer {};
        auto answer = makeAnswer(*shard, question.key, now);
        if (now >= deadline || residentTargets(answer) != question.knownResident)
            co_return answer;
        co_await m_changeNotifier.wait(deadline - now);
    }
}

std::vector<StatusRow> PlacementService::status(TimePoint now) const
{
    std::vector<StatusRow> status;
    for (const auto &[n, shard] : m_shards) {
        status.push_back({ "placement", shard->role.value(),
                           fmt::format("epoch {}, {} loads decided", shard->epoch,
                                       shard->planner.loadsDecided()) });
        for (const auto &[target, rule] : m_rules->targets) {
            if (rule.kind != TargetKind::Engine)
                continue;
            const auto report = m_reports.find(target);
            const auto state = report == m_reports.end() ? "not heard"
                    : report->second.isLeaving           ? "leaving"
                                                         : "live";
            status.push_back({ "target", target.value(),
                               fmt::format("{}, {} of {} MiB held", state,
                                           shard->planner.committedBytes(target) >> 20U,
                                           rule.memory >> 20U) });
        }
        for (const auto &[model, rule] : m_rules->models) {
            const ReplicaKey key { model, AdapterId() };
            if (const auto decided = shard->planner.decidedReplicas(key); decided > 0)
                status.push_back({ "model", model.value(),
                                   fmt::format("{} of {} replicas decided, {} resident", decided,
                                               rule.replicas,
                                               shard->planner.status(key, now).resident.size()) });
        }
    }
    return status;
}

} // namespace bluebell::controller
