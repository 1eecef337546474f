#include "entry/dispatcher.h"

#include "core/log.h"
#include "target/targetclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::entry {
namespace {

/// Interval of run(), and the longest sleep of a queued request before it checks for its outcome.
constexpr Duration UpdateInterval = std::chrono::milliseconds(50);
/// How long the placement leader may hold a WantQuestion before it responds.
constexpr Duration LongPollTime = std::chrono::milliseconds(500);
constexpr Duration LongPollTimeout = std::chrono::milliseconds(1500);
constexpr Duration LongPollRetryDelay = std::chrono::milliseconds(100);
constexpr Duration ReportTimeout = std::chrono::milliseconds(500);
/// How long a replica is still watched after its last request.
constexpr Duration WatchIdleTime = std::chrono::seconds(2);

} // namespace

Dispatcher::Dispatcher(asio::any_io_executor executor, PeerNode &peers, const ConfigView &config,
                       Metrics &metrics, VmId self)
    : m_executor(std::move(executor)), m_peers(peers), m_config(config), m_metrics(metrics),
      m_self(std::move(self)), m_router(TwoChoices {}, Router::Settings {}, std::random_device()())
{
}

Dispatcher::ReplicaState &Dispatcher::state(const ReplicaKey &key)
{
    const auto it = m_states.find(key);
    if (it != m_states.end())
        return it->second;
    const auto kind = m_config.replica().rules()->policy.queue;
    ReplicaState created { RequestQueue(makeQueueOrder(kind), QueueLimits {}), {}, {}, {}, false };
    return m_states.emplace(key, std::move(created)).first->second;
}

asio::awaitable<Result<Assignment>> Dispatcher::acquire(const RequestContext &context)
{
    const auto &key = context.chat->replica;
    auto &it = state(key);
    const auto now = BootClock::now();
    const auto id = m_nextTicket++;
    const QueuedRequest waiting { id,
                                  context.organisation,
                                  context.classRule.weight,
                                  context.tokens,
                                  context.chat->prompt.size(),
                                  now,
                                  context.deadline };
    if (auto pushed = it.queue.push(waiting, now); !pushed)
        co_return pushed.error();
    it.lastUsed = now;
    auto ticket = std::make_shared<Ticket>(
            Ticket { Notifier(m_executor), context.key, key, std::nullopt });
    m_tickets.emplace(id, ticket);
    startWatching(key);
    dispatchQueue(key);
    while (!ticket->outcome)
        co_await ticket->assigned.wait(UpdateInterval);
    m_metrics.observe("bluebell_queue_wait_seconds",
                      { context.organisation, context.classRule.id, {} }, BootClock::now() - now);
    co_return std::move(*ticket->outcome);
}

void Dispatcher::dispatchQueue(const ReplicaKey &key)
{
    auto &it = state(key);
    const auto now = BootClock::now();
    while (it.queue.size() > 0) {
        const auto choice = m_router.choose(it.resident, now);
        if (const auto *needed = std::get_if<Router::NeedsReport>(&choice)) {
            requestReport(needed->target);
            return;
        }
        const auto *chosen = std::get_if<Router::Chosen>(&choice);
        if (chosen == nullptr)
            return;
        assign(it, key, chosen->target);
    }
}

void Dispatcher::dispatchAllQueues()
{
    for (auto &[key, it] : m_states)
        if (it.queue.size() > 0)
            dispatchQueue(key);
}

void Dispatcher::assign(ReplicaState &state, const ReplicaKey &key, const TargetId &target)
{
    const auto now = BootClock::now();
    const auto rules = m_config.replica().rules();
    const auto rule = rules->targets.find(target);
    if (rule == rules->targets.end()) {
        state.resident.erase(target);
        return;
    }
    const auto waiting = state.queue.pop(now);
    if (!waiting) {
        expire(now);
        return;
    }
    const auto it = m_tickets.find(waiting->ticket);
    if (it == m_tickets.end())
        return;
    noteAssigned(state, target, waiting->organisation);
    it->second->outcome = Assignment { key, target, rule->second.address };
    it->second->assigned.notify();
    m_tickets.erase(it);
}

void Dispatcher::release(const Assignment &assignment, const RequestContext &context,
                         AttemptResult result, Tokens served)
{
    const auto now = BootClock::now();
    auto &it = state(assignment.replica);
    m_router.noteFinished(assignment.target);
    --m_running;
    if (auto running = it.running.find(context.organisation);
        running != it.running.end() && --running->second == 0)
        it.running.erase(running);
    it.lastUsed = now;
    it.queue.noteServed(served, now);
    if (result == AttemptResult::Succeeded)
        m_router.noteSuccess(assignment.target);
    if (result == AttemptResult::Failed)
        m_router.noteFailure(assignment.target, now);
    if (result == AttemptResult::Refused)
        it.resident.erase(assignment.target);
    dispatchAllQueues();
}

std::optional<Assignment> Dispatcher::tryAcquire(const RequestContext &context,
                                                 const TargetId &current)
{
    const auto &key = context.chat->replica;
    auto &it = state(key);
    if (it.queue.size() > 0)
        return std::nullopt;
    const auto now = BootClock::now();
    auto others = it.resident;
    const bool mayStay = others.erase(current) > 0;
    auto choice = m_router.choose(others, now);
    // Only the connection to the current target may be silent.
    if (mayStay && std::holds_alternative<Router::NoneAvailable>(choice))
        choice = m_router.choose({ current }, now);
    if (const auto *needed = std::get_if<Router::NeedsReport>(&choice))
        requestReport(needed->target);
    const auto *chosen = std::get_if<Router::Chosen>(&choice);
    if (chosen == nullptr)
        return std::nullopt;
    const auto rules = m_config.replica().rules();
    const auto rule = rules->targets.find(chosen->target);
    if (rule == rules->targets.end())
        return std::nullopt;
    noteAssigned(it, chosen->target, context.organisation);
    return Assignment { key, chosen->target, rule->second.address };
}

void Dispatcher::noteAssigned(ReplicaState &state, const TargetId &target,
                              const OrganisationId &organisation)
{
    m_router.noteStarted(target);
    ++state.running[organisation];
    ++m_running;
}

void Dispatcher::requestReport(const TargetId &target)
{
    if (m_refreshing.insert(target).second)
        asio::co_spawn(m_executor, refreshReport(target), asio::detached);
}

void Dispatcher::fail(TicketId ticket, Error error)
{
    const auto it = m_tickets.find(ticket);
    if (it == m_tickets.end())
        return;
    it->second->outcome = std::move(error);
    it->second->assigned.notify();
    m_tickets.erase(it);
}

asio::awaitable<void> Dispatcher::run()
{
    while (!m_isStopping) {
        const auto now = BootClock::now();
        expire(now);
        revalidate(now);
        dispatchAllQueues();
        co_await sleepFor(UpdateInterval);
    }
}

void Dispatcher::expire(TimePoint now)
{
    for (auto &[key, it] : m_states)
        for (const auto &waiting : it.queue.expire(now))
            fail(waiting.ticket,
                 makeError(ErrorCode::DeadlineExceeded,
                           "no target was free before the request's deadline"));
}

void Dispatcher::revalidate(TimePoint now)
{
    const auto tickets = m_tickets;
    for (const auto &[id, ticket] : tickets) {
        const auto valid = m_config.replica().authenticate(ticket->key, now);
        const bool isRevoked = !valid
                && (valid.error().code == ErrorCode::KeyWithdrawn
                    || valid.error().code == ErrorCode::Unauthenticated);
        if (!isRevoked)
            continue;
        state(ticket->replica).queue.remove(id);
        fail(id, makeError(ErrorCode::KeyWithdrawn, "the key has been withdrawn"));
    }
}

void Dispatcher::startWatching(const ReplicaKey &key)
{
    auto &it = state(key);
    if (std::exchange(it.isWatched, true))
        return;
    asio::co_spawn(m_executor, watch(key), asio::detached);
}

std::vector<Demand> Dispatcher::demandOf(const ReplicaState &state, TimePoint now) const
{
    std::map<OrganisationId, Demand> demand;
    for (const auto &[organisation, running] : state.running)
        demand[organisation].running = running;
    for (const auto &waiting : state.queue.waiting()) {
        auto &it = demand[waiting.organisation];
        ++it.waiting;
        it.oldestWait = std::max(it.oldestWait, now - waiting.arrival);
    }
    std::vector<Demand> list;
    for (auto &[organisation, it] : demand) {
        it.daemon = m_self;
        it.organisation = organisation;
        list.push_back(std::move(it));
    }
    return list;
}

asio::awaitable<void> Dispatcher::watch(ReplicaKey key)
{
    while (!m_isStopping) {
        const auto now = BootClock::now();
        auto &it = state(key);
        const bool isActive = it.queue.size() > 0 || !it.running.empty();
        if (!isActive && now - it.lastUsed > WatchIdleTime)
            break;
        const auto shards = m_config.replica().rules()->policy.shards;
        const auto holder = m_config.holderOf(placementRole(shardOf(key.model, shards)));
        if (!holder) {
            co_await sleepFor(LongPollRetryDelay);
            continue;
        }
        WantQuestion request { key, m_self, demandOf(it, now), it.resident, LongPollTime };
        auto response = expectAnswer<WantAnswer>(
                co_await m_peers.ask(*holder, std::move(request), LongPollTimeout));
        if (!response || !response.value().isOwner) {
            co_await sleepFor(LongPollRetryDelay);
            continue;
        }
        std::set<TargetId> resident;
        for (const auto &target : response.value().resident)
            resident.insert(target.target);
        state(key).resident = std::move(resident);
        dispatchQueue(key);
    }
    state(key).isWatched = false;
}

asio::awaitable<void> Dispatcher::refreshReport(TargetId target)
{
    const auto rules = m_config.replica().rules();
    if (const auto rule = rules->targets.find(target); rule != rules->targets.end()) {
        const auto report = co_await fetchReport(rule->second.address, ReportTimeout);
        const auto now = BootClock::now();
        if (report)
            m_router.noteReport(target, report.value().running + report.value().waiting,
                                rule->second.slots, report.value().isLeaving, now);
        else
            m_router.noteFailure(target, now);
    }
    m_refreshing.erase(target);
    dispatchAllQueues();
}

} // namespace bluebell::entry
