#include "gateway/sitestate.h"

#include "core/digest.h"

#include <utility>

namespace bluebell::gateway {
namespace {

/// One daemon's part of the fleet's retries, for eight daemons and some more.
constexpr RetryBudget::Settings RetryShare { 0.15, 4 };
/// Age of another daemon from which on its level of a bucket is worth more than an own fresh one.
constexpr Duration SettledUptime = std::chrono::seconds(3);
/// Time after the start in which the level of others is taken over.
constexpr Duration StartTime = std::chrono::milliseconds(1500);

FleetMember selfOf(const GatewaySettings &settings, const IncarnationId &incarnation)
{
    return { settings.vm,      incarnation,    settings.dataCentre,
             settings.callers, settings.peers, settings.control };
}

/// Added to the time between orders of two VMs, for clocks that run at different speeds.
constexpr Duration TurnAllowance = std::chrono::milliseconds(100);

Leadership::Settings leadershipOf(const GatewaySettings &settings)
{
    Leadership::Settings it;
    it.turn = settings.leaseTime + TurnAllowance;
    return it;
}

} // namespace

SiteState::SiteState(const boost::asio::any_io_executor &executor, GatewaySettings given)
    : settings(std::move(given)), incarnation(randomHex(8)), startedAt(BootClock::now()),
      fleet(selfOf(settings, incarnation)), selector(settings.dataCentre, settings.vm.value()),
      leadership(settings.vm, incarnation, leadershipOf(settings)), changed(executor),
      statusDue(executor), demandDue(executor)
{
}

void SiteState::noteSettings(const GatewaySettings &changed)
{
    settings.store = changed.store;
    settings.stopTime = changed.stopTime;
    settings.leaseTime = changed.leaseTime;
    settings.longestHold = changed.longestHold;
    settings.drainTime = changed.drainTime;
    leadership.setTurn(settings.leaseTime + TurnAllowance);
}

const Residents &SiteState::residents(TimePoint now) const
{
    if (leadership.isHolder(now))
        return placement.residents();
    if (const auto *told = fleet.residents(now))
        return *told;
    m_entryResidents.clear();
    for (const auto &[id, it] : registry.targets())
        if (it.engine)
            m_entryResidents.emplace(id, it.engine->resident);
    return m_entryResidents;
}

std::optional<TimePoint> SiteState::readyAt(const ServiceId &service, const ModelId &model,
                                            TimePoint now) const
{
    if (!leadership.isHolder(now))
        return fleet.readyAt(service, model, now);
    for (const auto &it : planner.estimates(now))
        if (it.service == service && it.model == model)
            return now + it.readyIn;
    return std::nullopt;
}

std::vector<ModelInFlight> SiteState::inFlight() const
{
    std::vector<ModelInFlight> all;
    for (const auto &[key, count] : selector.inFlight())
        all.push_back({ key.first, key.second, count });
    return all;
}

DaemonStatus SiteState::statusWithoutPlacement(StatusAudience audience, TimePoint now)
{
    DaemonStatus it;
    it.vm = settings.vm;
    it.incarnation = incarnation;
    it.uptime = now - startedAt;
    it.isReady = isReady();
    it.configVersion = index ? index->version() : 0;
    it.registryVersion = registryVersion;
    it.storeSilence = now - storeAnsweredAt;
    it.tellsDemand = audience == StatusAudience::Holder;
    if (it.tellsDemand) {
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
    if (leadership.isHolder(now)) {
        it.leaderEpoch = leadership.epoch();
        it.estimates = planner.estimates(now);
    }
    return it;
}

DaemonStatus SiteState::status(StatusAudience audience, TimePoint now)
{
    auto it = statusWithoutPlacement(audience, now);
    if (it.leaderEpoch > 0 && audience == StatusAudience::Others)
        it.placement = placement.nextNews();
    return it;
}

DaemonStatus SiteState::wholeStatus(TimePoint now)
{
    auto it = statusWithoutPlacement(StatusAudience::Others, now);
    if (it.leaderEpoch > 0)
        it.placement = placement.whole();
    return it;
}

void SiteState::notePace()
{
    const auto pace = fleet.pace();
    planner.setDemandLifetime(pace.validFor);
    selector.setOthersLifetime(pace.validFor);
}

SharedRate &SiteState::rateOf(const SiteOrganisation &organisation, TimePoint now)
{
    const auto [it, isNew] = rates.try_emplace(organisation.name, *organisation.limit, now);
    return it->second;
}

RetryBudget &SiteState::retryBudgetOf(const ServiceId &service)
{
    return retryBudgets.try_emplace(service, RetryShare).first->second;
}

void SiteState::noteStatus(const DaemonStatus &told, TimePoint now)
{
    if (!fleet.noteStatus(told, now))
        return;
    std::map<TargetId, std::uint32_t> counts;
    for (const auto &it : told.inFlight)
        counts[it.target] += it.count;
    selector.noteOthers(told.vm, std::move(counts), now);
    const bool isFresh = now - startedAt < StartTime && told.uptime > SettledUptime;
    for (const auto &it : told.rates) {
        const auto *organisation = index ? index->findOrganisation(it.organisation) : nullptr;
        if (!organisation || !organisation->limit)
            continue;
        auto &rate = rateOf(*organisation, now);
        rate.noteAdmitted(told.incarnation, it.admitted, now);
        if (isFresh)
            rate.adoptLevel(it.level, now);
    }
    if (told.leaderEpoch > 0)
        leadership.noteHolderHeard(now);
    if (leadership.isHolder(now) && told.tellsDemand)
        planner.noteDemand(told.vm, told.demand, told.inFlight, now);
    const bool isNews = told.leaderEpoch > 0 || leadership.isHolder(now);
    if (isNews)
        changed.notify();
}

void SiteState::announceDemand()
{
    changed.notify();
    demandDue.notify();
}

void SiteState::announce()
{
    changed.notify();
    statusDue.notify();
}

} // namespace bluebell::gateway
