#include "gateway/gatewaystate.h"

#include "core/digest.h"

#include <utility>

namespace bluebell::gateway {
namespace {

/// One daemon's share of the fleet's retries, sized for slightly more than eight daemons.
constexpr RetryBudget::Settings RetryBudgetPerDaemon { 0.15, 4 };
/// Uptime from which another daemon's bucket level is more accurate than that of a new daemon.
constexpr Duration MinSettledUptime = std::chrono::seconds(3);
/// Time after the start in which this daemon adopts the bucket levels of other daemons.
constexpr Duration StartupTime = std::chrono::milliseconds(1500);

FleetMember selfMember(const GatewaySettings &settings, const IncarnationId &incarnation)
{
    return { settings.vm,      incarnation,    settings.dataCentre,
             settings.callers, settings.peers, settings.control };
}

/// Added to the takeover delay, because the clocks of two VMs run at different speeds.
constexpr Duration ClockDriftAllowance = std::chrono::milliseconds(100);

Leadership::Settings leadershipSettings(const GatewaySettings &settings)
{
    Leadership::Settings it;
    it.takeoverDelay = settings.minTakeoverDelay + ClockDriftAllowance;
    return it;
}

} // namespace

GatewayState::GatewayState(const boost::asio::any_io_executor &executor, GatewaySettings given)
    : settings(std::move(given)), incarnation(randomHex(8)), startedAt(BootClock::now()),
      fleet(selfMember(settings, incarnation)), selector(settings.dataCentre, settings.vm.value()),
      leadership(settings.vm, incarnation, leadershipSettings(settings)), stateChanged(executor),
      statusDue(executor), demandDue(executor)
{
}

void GatewayState::applySettings(const GatewaySettings &changed)
{
    settings.store = changed.store;
    settings.stopTimeout = changed.stopTimeout;
    settings.minTakeoverDelay = changed.minTakeoverDelay;
    settings.maxAddressTtl = changed.maxAddressTtl;
    settings.drainTimeout = changed.drainTimeout;
    leadership.setTakeoverDelay(settings.minTakeoverDelay + ClockDriftAllowance);
}

const ResidentReplicas &GatewayState::residents(TimePoint now) const
{
    if (leadership.isLeader(now))
        return placement.residents();
    if (const auto *published = fleet.residents(now))
        return *published;
    m_entryResidents.clear();
    for (const auto &[id, it] : registry.targets())
        if (it.engine)
            m_entryResidents.emplace(id, it.engine->resident);
    return m_entryResidents;
}

std::optional<TimePoint> GatewayState::readyAt(const ServiceId &service, const ModelId &model,
                                               TimePoint now) const
{
    if (!leadership.isLeader(now))
        return fleet.readyAt(service, model, now);
    for (const auto &it : planner.estimates(now))
        if (it.service == service && it.model == model)
            return now + it.readyIn;
    return std::nullopt;
}

std::vector<ModelInFlight> GatewayState::inFlight() const
{
    std::vector<ModelInFlight> all;
    for (const auto &[key, count] : selector.inFlight())
        all.push_back({ key.first, key.second, count });
    return all;
}

DaemonStatus GatewayState::statusWithoutPlacement(StatusRecipient recipient, TimePoint now)
{
    DaemonStatus it;
    it.vm = settings.vm;
    it.incarnation = incarnation;
    it.uptime = now - startedAt;
    it.isReady = isReady();
    it.configVersion = index ? index->version() : 0;
    it.registryVersion = registryVersion;
    it.timeSinceStoreReply = now - storeRepliedAt;
    it.includesDemand = recipient == StatusRecipient::Leader;
    if (it.includesDemand) {
        it.demand = demand.demand(now);
        it.inFlight = inFlight();
    } else {
        std::map<TargetId, std::uint32_t> counts;
        for (const auto &[key, count] : selector.inFlight())
            counts[key.first] += count;
        for (const auto &[target, count] : counts)
            it.inFlight.push_back({ target, {}, count });
    }
    for (auto &[organisation, rate] : rates)
        it.rates.push_back({ organisation, rate.admitted(), rate.level(now) });
    if (leadership.isLeader(now)) {
        it.leaderEpoch = leadership.epoch();
        it.estimates = planner.estimates(now);
    }
    return it;
}

DaemonStatus GatewayState::status(StatusRecipient recipient, TimePoint now)
{
    auto it = statusWithoutPlacement(recipient, now);
    if (it.leaderEpoch > 0 && recipient == StatusRecipient::Others)
        it.placement = placement.nextUpdate();
    return it;
}

DaemonStatus GatewayState::fullStatus(TimePoint now)
{
    auto it = statusWithoutPlacement(StatusRecipient::Others, now);
    if (it.leaderEpoch > 0)
        it.placement = placement.snapshot();
    return it;
}

void GatewayState::applyStatusTiming()
{
    const auto timing = fleet.statusTiming();
    planner.setDemandLifetime(timing.statusLifetime);
    selector.setPeerCountsLifetime(timing.statusLifetime);
}

SharedRate &GatewayState::rateOf(const SiteOrganisation &organisation, TimePoint now)
{
    const auto [it, isNew] = rates.try_emplace(organisation.name, *organisation.limit, now);
    return it->second;
}

RetryBudget &GatewayState::retryBudgetOf(const ServiceId &service)
{
    return retryBudgets.try_emplace(service, RetryBudgetPerDaemon).first->second;
}

void GatewayState::noteStatus(const DaemonStatus &received, TimePoint now)
{
    if (!fleet.noteStatus(received, now))
        return;
    std::map<TargetId, std::uint32_t> counts;
    for (const auto &it : received.inFlight)
        counts[it.target] += it.count;
    selector.notePeerCounts(received.vm, std::move(counts), now);
    const bool adoptsLevels = now - startedAt < StartupTime && received.uptime > MinSettledUptime;
    for (const auto &it : received.rates) {
        const auto *organisation = index ? index->findOrganisation(it.organisation) : nullptr;
        if (!organisation || !organisation->limit)
            continue;
        auto &rate = rateOf(*organisation, now);
        rate.noteAdmitted(received.incarnation, it.admitted, now);
        if (adoptsLevels)
            rate.adoptLevel(it.level, now);
    }
    if (received.leaderEpoch > 0)
        leadership.noteLeaderAlive(now);
    if (leadership.isLeader(now) && received.includesDemand)
        planner.noteDemand(received.vm, received.demand, received.inFlight, now);
    const bool affectsPlacement = received.leaderEpoch > 0 || leadership.isLeader(now);
    if (affectsPlacement)
        stateChanged.notify();
}

void GatewayState::notifyDemand()
{
    stateChanged.notify();
    demandDue.notify();
}

void GatewayState::notifyChange()
{
    stateChanged.notify();
    statusDue.notify();
}

} // namespace bluebell::gateway
