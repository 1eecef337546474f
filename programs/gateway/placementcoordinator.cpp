#include "gateway/placementcoordinator.h"

#include "core/log.h"
#include "gateway/targetnotices.h"
#include "io/background.h"
#include "placement/planpace.h"
#include "platform/engineclient.h"
#include "platform/fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const std::string RoleTable = "bluebell-roles";
const std::string RoleKey = "orders";

constexpr Duration LeasePollInterval = milliseconds(50);
constexpr Duration StoreTimeout = milliseconds(450);
/// Maximum time between two runs of the planner.
constexpr Duration MaxPlanInterval = milliseconds(25);
/// Interval between updates of the planner's metrics.
constexpr Duration PlanMetricsInterval = std::chrono::seconds(1);
constexpr Duration OrderTimeout = milliseconds(150);
constexpr Duration ReportTimeout = milliseconds(300);
/// Beyond the epochs of the largest era; a record with such a number is not a leader's.
constexpr Epoch MaxEpoch = Epoch(1) << 62U;
/// A record with a longer wait for the first order is cut to this.
constexpr Duration MaxTakeoverDelay = std::chrono::minutes(1);
/// Without this limit, reports that a busy leader receives too late are requested again and again.
constexpr std::size_t MaxReportsInFlight = 64;

std::string encode(const LeaderRecord &record)
{
    return json {
        { "vm", record.vm.value() },
        { "incarnation", record.incarnation.value() },
        { "epoch", record.epoch },
        { "turn_left_ms", toMilliseconds(record.takeoverDelayLeft).count() },
        { "released", record.isReleased }
    }.dump();
}

std::optional<LeaderRecord> decodeRecord(const std::string &value)
{
    const auto object = json::parse(value, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    const auto vm = platform::stringField(object, "vm");
    const auto incarnation = platform::stringField(object, "incarnation");
    const auto epoch = platform::unsignedField(object, "epoch");
    const auto wait =
            platform::numberField(object, "turn_left_ms", 0,
                                  static_cast<double>(toMilliseconds(MaxTakeoverDelay).count()));
    const auto released = object.find("released");
    if (!vm || !incarnation || !epoch || *epoch > MaxEpoch || !wait || released == object.end()
        || !released->is_boolean())
        return std::nullopt;
    LeaderRecord it;
    it.vm = VmId(*vm);
    it.incarnation = IncarnationId(*incarnation);
    it.epoch = *epoch;
    it.takeoverDelayLeft = milliseconds(static_cast<std::int64_t>(*wait));
    it.isReleased = released->get<bool>();
    return it;
}

std::string_view nameOf(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::Done:
        return "done";
    case OrderOutcome::Conflict:
        return "conflict";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::NotSent:
        return "not sent";
    case OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

PlacementCoordinator::PlacementCoordinator(asio::io_context &context, GatewayState &state)
    : m_context(context), m_state(state), m_store(state.settings.store)
{
}

void PlacementCoordinator::start()
{
    spawnLoop(m_context.get_executor(), "keep lease", [this] { return keepLease(); });
    spawnLoop(m_context.get_executor(), "plan orders", [this] { return planOrders(); });
}

void PlacementCoordinator::applyConfig()
{
    m_state.planner.setServices(m_state.index->config().services);
}

asio::awaitable<void> PlacementCoordinator::keepLease()
{
    for (;;) {
        m_state.leadership.setCandidate(m_state.mayLead());
        switch (m_state.leadership.next(BootClock::now())) {
        case LeadershipStep::Wait:
            co_await sleepFor(LeasePollInterval);
            break;
        case LeadershipStep::Read:
            co_await readRole();
            break;
        case LeadershipStep::Write:
            co_await writeRole();
            break;
        }
        noteLeadership(m_state.leadership.isLeader(BootClock::now()));
    }
}

asio::awaitable<void> PlacementCoordinator::readRole()
{
    auto &leadership = m_state.leadership;
    leadership.readSent(BootClock::now());
    const auto rows = co_await m_store.read(RoleTable, StoreTimeout);
    if (!rows) {
        leadership.readFailed();
        co_return;
    }
    std::optional<LeaderRecord> record;
    RowVersion version = 0;
    for (const auto &it : rows.value().rows) {
        if (it.key != RoleKey)
            continue;
        record = decodeRecord(it.value);
        version = it.version;
    }
    leadership.readSucceeded(record, version, eraOf(rows.value().version), BootClock::now());
}

asio::awaitable<void> PlacementCoordinator::writeRole()
{
    auto &leadership = m_state.leadership;
    const auto now = BootClock::now();
    platform::Transact write { { { RoleTable, RoleKey, leadership.version() } },
                               { { RoleTable, RoleKey, encode(leadership.record(now)) } } };
    leadership.writeSent(now);
    const auto outcome = co_await m_store.write(std::move(write), StoreTimeout);
    const auto *written = outcome ? std::get_if<platform::Written>(&outcome.value()) : nullptr;
    if (written)
        leadership.writeSucceeded(written->version);
    else
        leadership.writeFailed();
}

void PlacementCoordinator::noteLeadership(bool isLeader)
{
    if (isLeader == m_wasLeader)
        return;
    m_wasLeader = isLeader;
    log::info(isLeader ? "role gained" : "role lost",
              { { "role", "orders" }, { "epoch", std::to_string(m_state.leadership.epoch()) } });
    if (isLeader) {
        // Start from an empty state: the targets' reports show what other leaders have ordered.
        m_state.planner = SwapPlanner();
        m_state.placement = PlacementPublisher();
        if (m_state.index)
            applyConfig();
    }
    m_state.notifyChange();
}

asio::awaitable<void> PlacementCoordinator::release()
{
    m_state.leadership.noteReleasing();
    constexpr int MaxTries = 3;
    for (int n = 0; n < MaxTries; ++n) {
        if (m_state.leadership.next(BootClock::now()) != LeadershipStep::Write)
            co_return;
        co_await writeRole();
    }
}

asio::awaitable<void> PlacementCoordinator::planOrders()
{
    for (;;) {
        co_await m_state.stateChanged.wait(MaxPlanInterval);
        const auto now = BootClock::now();
        if (!m_state.index || !m_state.leadership.isLeader(now))
            continue;
        runPlan(now);
        co_await sleepFor(pauseAfterPlan(BootClock::now() - now));
    }
}

void PlacementCoordinator::runPlan(TimePoint now)
{
    auto &planner = m_state.planner;
    planner.noteTargets(m_state.registry.targets(), now);
    planner.noteHoldOffs(m_state.selector.holdOffs().inForce(m_state.registry.targets(), now), now);
    planner.noteEvacuated(m_state.evacuations.dataCentres(), now);
    planner.noteDemand(m_state.settings.vm, m_state.demand.demand(now), m_state.inFlight(), now);
    const auto limit = MaxReportsInFlight - std::min(m_reportsInFlight, MaxReportsInFlight);
    for (const auto &it : planner.reportsDue(limit, now))
        spawnOnce(m_context.get_executor(), "fetch report", fetchReport(it));
    if (!m_state.leadership.maySendOrders(now)) {
        m_state.notePlacement();
        return;
    }
    const auto orders = planner.plan(now);
    m_state.notePlacement();
    notePlanMetrics(now);
    for (const auto &it : orders)
        spawnOnce(m_context.get_executor(), "send order", sendOrder(it));
    if (!orders.empty())
        m_state.statusDue.notify();
}

bool PlacementCoordinator::mayCall(const TargetEntry &target, TimePoint now) const
{
    const auto &selector = m_state.selector;
    return !selector.holdOffs().find(target, now) && !selector.isEvacuated(target);
}

void PlacementCoordinator::notePlanMetrics(TimePoint now)
{
    if (now - m_planMetricsAt < PlanMetricsInterval)
        return;
    m_planMetricsAt = now;
    const auto fullSpeed = m_state.planner.fullSpeedLoads();
    const auto missing = m_state.planner.missingModels();
    m_state.metrics.setGauge("bluebell_store_loads_full_speed", static_cast<double>(fullSpeed));
    m_state.metrics.setGauge("bluebell_models_without_copy", static_cast<double>(missing));
    if (fullSpeed != m_fullSpeedLoads)
        log::info("weight store loads at full speed",
                  { { "loads", std::to_string(fullSpeed) },
                    { "before", std::to_string(m_fullSpeedLoads) } });
    if (missing != m_missingModels)
        log::info("models without a copy at any engine",
                  { { "models", std::to_string(missing) },
                    { "before", std::to_string(m_missingModels) } });
    m_fullSpeedLoads = fullSpeed;
    m_missingModels = missing;
}

asio::awaitable<void> PlacementCoordinator::sendOrder(PlacementOrder order)
{
    const auto *target = m_state.registry.find(order.target);
    const auto now = BootClock::now();
    platform::OrderResponse response { OrderOutcome::NotSent };
    if (target && mayCall(*target, now) && m_state.leadership.maySendOrders(now)) {
        const auto startTimeMs = target->startTimeMs;
        m_state.leadership.noteOrder(now);
        response = co_await platform::sendOrder(*target, order, m_state.settings.vm,
                                                m_state.leadership.epoch(), OrderTimeout);
        applyNotices(m_state, order.target, startTimeMs, response.notices, BootClock::now());
    }
    log::info("order",
              { { "target", order.target.value() },
                { "action", order.action == IntentAction::Load ? "load" : "unload" },
                { "replica", toString(order.key) },
                { "sequence", std::to_string(order.expectedSequence) },
                { "outcome", std::string(nameOf(response.outcome)) } });
    m_state.planner.noteOutcome(order, response.outcome, BootClock::now());
    m_state.notifyChange();
}

asio::awaitable<void> PlacementCoordinator::fetchReport(TargetId id)
{
    const auto *target = m_state.registry.find(id);
    const bool isCalled = target && mayCall(*target, BootClock::now());
    if (!isCalled)
        co_return;
    const auto startTimeMs = target->startTimeMs;
    ++m_reportsInFlight;
    const auto [report, notices] = co_await platform::fetchReport(*target, ReportTimeout);
    --m_reportsInFlight;
    applyNotices(m_state, id, startTimeMs, notices, BootClock::now());
    if (report) {
        log::debug("report",
                   { { "target", id.value() },
                     { "sequence", std::to_string(report.value().state.sequence) },
                     { "busy", report.value().state.isBusy ? "true" : "false" },
                     { "resident", std::to_string(report.value().state.resident.size()) },
                     { "coming", std::to_string(report.value().state.pendingAdapters.size()) } });
        m_state.planner.noteReport(id, report.value().startTimeMs, report.value().state,
                                   BootClock::now());
        m_state.notifyChange();
    } else if (!notices.holdOff) {
        const auto &error = report.error();
        const bool isRefused =
                error.execution == Execution::NotRun && error.code == ErrorCode::Unavailable;
        m_state.planner.noteReportFailed(id, isRefused);
        log::warning("report missing",
                     { { "target", id.value() }, { "cause", report.error().message } });
    }
}

} // namespace bluebell::gateway
