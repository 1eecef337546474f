#include "gateway/gatewaystate.h"

#include "core/digest.h"
#include "core/log.h"

#include <algorithm>
#include <utility>

namespace bluebell::gateway {
namespace {

/// One daemon's share of the fleet's retries, sized for slightly more than eight daemons.
constexpr RetryBudget::Settings RetryBudgetPerDaemon { 0.15, 4 };
/// Uptime from which another daemon's bucket level is more accurate than that of a new daemon.
constexpr Duration MinSettledUptime = std::chrono::seconds(3);
/// How long the relays' sums of requests in flight are used when they are not renewed.
constexpr Duration FleetCountsLifetime = std::chrono::milliseconds(2500);
/// Mean time until the requests in flight of a daemon are known to the others through relays: half
/// of the intervals of reports, summaries and digests.
constexpr Duration FleetCountsDelay = std::chrono::milliseconds(750);
/// Time after the start in which this daemon adopts the bucket levels of other daemons.
constexpr Duration StartupTime = std::chrono::milliseconds(1500);
/// Time after the first start of all daemons within which they hear of each other.
constexpr Duration FirstStartTime = std::chrono::seconds(3);

FleetMember selfMember(const GatewaySettings &settings, const IncarnationId &incarnation)
{
    return { settings.vm,    incarnation,      settings.dataCentre, settings.callers,
             settings.peers, settings.control, settings.relay,      settings.capacity };
}

/// Added to the takeover delay, because the clocks of two VMs run at different speeds.
constexpr Duration ClockDriftAllowance = std::chrono::milliseconds(100);

Leadership::Settings leadershipSettings(const GatewaySettings &settings)
{
    Leadership::Settings it;
    it.takeoverDelay = settings.minTakeoverDelay + ClockDriftAllowance;
    it.isFirstStart = settings.isFirstStart;
    return it;
}

/// \returns the bytes that all responses that are being received may take
std::size_t responseMemoryLimit(const GatewaySettings &settings)
{
    constexpr std::size_t Unknown = 64U << 20U;
    constexpr std::uint64_t Divisor = 4;
    return settings.memoryLimit == 0 ? Unknown : settings.memoryLimit / Divisor;
}

} // namespace

std::size_t requestMemoryLimit(std::uint64_t memoryLimit, const CallerLimits &limits) noexcept
{
    constexpr std::uint64_t Unknown = 256U << 20U;
    constexpr std::uint64_t Divisor = 4;
    constexpr std::uint64_t MaxDivisor = 2;
    constexpr std::uint64_t ReadBufferBytes = 64U << 10U;
    // A budget admits a holder of at most half its size.
    const auto forOne = 2 * (limits.bodyBytes + 2 * limits.headerBytes + ReadBufferBytes);
    if (memoryLimit == 0)
        return std::max<std::uint64_t>(Unknown, forOne);
    return std::max(memoryLimit / Divisor,
                    std::min<std::uint64_t>(memoryLimit / MaxDivisor, forOne));
}

GatewayState::GatewayState(const boost::asio::any_io_executor &executor, GatewaySettings given)
    : settings(std::move(given)), incarnation(randomHex(8)), startedAt(BootClock::now()),
      fleet(selfMember(settings, incarnation)), relayNode(settings.vm, startedAt),
      selector(settings.dataCentre, settings.vm.value()),
      leadership(settings.vm, incarnation, leadershipSettings(settings)),
      responseMemory(std::make_shared<MemoryBudget>(responseMemoryLimit(settings))),
      requestMemory(std::make_shared<MemoryBudget>(requestMemoryLimit(settings.memoryLimit, {}))),
      stateChanged(executor), statusDue(executor), demandDue(executor), reportDue(executor),
      peerDataDue(executor), digestDue(executor), quarantineDue(executor)
{
}

void GatewayState::applySettings(const GatewaySettings &changed)
{
    settings.store = changed.store;
    settings.stopTimeout = changed.stopTimeout;
    settings.minTakeoverDelay = changed.minTakeoverDelay;
    settings.maxAddressTtl = changed.maxAddressTtl;
    settings.drainTimeout = changed.drainTimeout;
    settings.quota = changed.quota;
    for (auto &[organisation, rate] : rates)
        rate.setBound(settings.quota);
    leadership.setTakeoverDelay(settings.minTakeoverDelay + ClockDriftAllowance);
}

const ResidentReplicas &GatewayState::residents(TimePoint now) const
{
    if (leadership.isLeader(now))
        return placement.residents();
    if (const auto *published = fleet.residents(now))
        return *published;
    // Only readers know what the entries say of engines.
    if (const auto *last = fleet.lastResidents(); last && !isReader(now))
        return *last;
    m_entryResidents.clear();
    for (const auto &[id, it] : registry.targets())
        if (it.engine)
            m_entryResidents.emplace(id, it.engine->resident);
    return m_entryResidents;
}

bool GatewayState::isReader(TimePoint now) const
{
    return !fleet.usesRelays() || relayNode.isReader(now);
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
    it.registryVersion = isReader(now) ? registryVersion : 0;
    it.timeSinceStoreReply = now - targetsReadAt;
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
    it.quarantine = quarantine.message(now);
    it.evacuations = evacuations.message(now);
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
    selector.setPeerCountsLifetime(fleet.usesRelays() ? FleetCountsLifetime
                                                      : timing.statusLifetime);
    selector.setPeerCountsDelay(fleet.usesRelays() ? FleetCountsDelay : timing.interval / 2);
}

std::size_t GatewayState::daemonsHeard(TimePoint now) const
{
    // At the first start of all, the first statuses are still on their way.
    const bool isStart = settings.isFirstStart && now - startedAt < FirstStartTime;
    return isStart ? fleet.size() : fleet.liveCount(now);
}

SharedRate &GatewayState::rateOf(const SiteOrganisation &organisation, TimePoint now)
{
    const auto known = rates.find(organisation.name);
    if (known != rates.end())
        return known->second;
    const auto seed = stableHash(settings.vm.value() + '/' + organisation.name.value());
    auto &it = rates.try_emplace(organisation.name, *organisation.limit, now, seed).first->second;
    it.setBound(settings.quota);
    if (settings.isFirstStart && now - startedAt < FirstStartTime)
        it.fill(now);
    return it;
}

void GatewayState::renameRates(const SiteIndex &before, TimePoint now)
{
    for (const auto &[name, former] : renamedOrganisations(before, *index)) {
        const auto known = rates.find(former);
        // The other daemons' counts begin anew under the new name.
        if (auto *renamed = knownRate(name, now); renamed && known != rates.end())
            renamed->adoptLevel(known->second.level(now), now);
    }
}

RetryBudget &GatewayState::retryBudgetOf(const ServiceId &service)
{
    return retryBudgets.try_emplace(service, RetryBudgetPerDaemon).first->second;
}

bool GatewayState::noteStoreEra(StoreEra era)
{
    if (m_storeEra && era <= *m_storeEra)
        return false;
    const bool isRestored = m_storeEra.has_value();
    if (isRestored)
        log::warning("the store has come back from an older copy",
                     { { "era", std::to_string(era) }, { "before", std::to_string(*m_storeEra) } });
    m_storeEra = era;
    metrics.setGauge("bluebell_store_era", static_cast<double>(era));
    return isRestored;
}

void GatewayState::noteStatus(const DaemonStatus &received, TimePoint now)
{
    noteQuarantine(received.quarantine, now);
    noteEvacuations(received.evacuations, received.vm, now);
    if (!fleet.noteStatus(received, now))
        return;
    // The counts of daemons that report to relays are in the relays' sums.
    const auto *sender = fleet.find(received.vm);
    if (!fleet.usesRelays() || !sender || !sender->supportsRelays())
        noteCounts(received, now);
    if (received.leaderEpoch > 0)
        leadership.noteLeaderAlive(now);
    if (leadership.isLeader(now) && received.includesDemand)
        planner.noteDemand(received.vm, received.demand, received.inFlight, now);
    const bool affectsPlacement = received.leaderEpoch > 0 || leadership.isLeader(now);
    if (affectsPlacement)
        stateChanged.notify();
}

void GatewayState::noteCounts(const DaemonStatus &received, TimePoint now)
{
    std::map<TargetId, std::uint32_t> counts;
    for (const auto &it : received.inFlight)
        counts[it.target] += it.count;
    selector.notePeerCounts(received.vm, std::move(counts), now);
    const auto peerStartedAt = notePeerStart(received, now);
    const auto sentAt = std::min(peerStartedAt + received.uptime, now);
    const bool adoptsLevels = now - startedAt < StartupTime && received.uptime > MinSettledUptime;
    for (const auto &it : received.rates) {
        auto *rate = knownRate(it.organisation, now);
        if (!rate)
            continue;
        // A status arrives about as fast as the one that this daemon sends to the same peer.
        rate->noteAdmitted(received.incarnation, it.admitted, now,
                           CountTimes { sentAt, sentAt, peerStartedAt });
        if (adoptsLevels)
            rate->adoptLevel(it.level, now);
    }
}

TimePoint GatewayState::notePeerStart(const DaemonStatus &received, TimePoint now)
{
    auto &it = m_peerStarts[received.vm];
    const auto startedAt = now - received.uptime;
    if (it.incarnation != received.incarnation)
        it = { received.incarnation, startedAt };
    it.startedAt = std::min(it.startedAt, startedAt);
    return it.startedAt;
}

SharedRate *GatewayState::knownRate(const OrganisationId &organisation, TimePoint now)
{
    const auto *it = index ? index->findOrganisation(organisation) : nullptr;
    return it && it->limit ? &rateOf(*it, now) : nullptr;
}

void GatewayState::noteFleetCounts(const FleetCounts &counts, Duration relayUptime,
                                   const std::vector<RateUsage> &levels, TimePoint now)
{
    // The sums of all other daemons take the place of one peer's counts.
    static const VmId AllOthers("*");
    if (counts.hasInFlight)
        selector.notePeerCounts(AllOthers, counts.inFlight, now);
    const CountTimes times { now - counts.age, counts.ownCountedAt - counts.age,
                             now - relayUptime };
    for (const auto &[organisation, tokens] : counts.admitted)
        if (auto *rate = knownRate(organisation, now))
            rate->noteFleetAdmitted(counts.relay, tokens, times, now);
    const bool isNewRelay = m_countingRelay != counts.relay;
    m_countingRelay = counts.relay;
    if (!isNewRelay || relayUptime < MinSettledUptime)
        return;
    for (const auto &it : levels) {
        auto *rate = knownRate(it.organisation, now);
        if (!rate)
            continue;
        const auto counted = counts.ownCounted.find(it.organisation);
        const auto uncounted = rate->admitted()
                - (counted == counts.ownCounted.end() ? Tokens(0) : counted->second);
        rate->adoptLevel(it.level - uncounted, now);
    }
}

void GatewayState::noteAvailability(TimePoint now)
{
    if (relayNode.knowsFleet(now))
        fleet.noteUnavailable(relayNode.unavailable(), now);
}

std::optional<LeaderInfo> GatewayState::knownLeader(TimePoint now) const
{
    if (leadership.isLeader(now))
        return LeaderInfo { settings.vm, incarnation, leadership.epoch(), {} };
    return fleet.leader(now);
}

std::vector<LoadEstimate> GatewayState::knownEstimates(TimePoint now) const
{
    return leadership.isLeader(now) ? planner.estimates(now) : fleet.estimates(now);
}

void GatewayState::noteOwnPlacement(TimePoint now)
{
    if (leadership.isLeader(now))
        fleet.notePlacement(incarnation, leadership.epoch(), placement.snapshot());
}

void GatewayState::noteLeader(const LeaderInfo &leader, const std::vector<LoadEstimate> &estimates,
                              TimePoint now)
{
    fleet.noteLeader(leader, estimates, now);
    leadership.noteLeaderAlive(now - leader.age);
}

void GatewayState::updateRelayGroups(TimePoint now)
{
    std::vector<RelayCandidate> daemons;
    const auto add = [&](const FleetMember &it) {
        if (it.supportsRelays())
            daemons.push_back({ it.vm, it.dataCentre, it.capacity });
    };
    add(fleet.self());
    for (const auto &it : fleet.members())
        add(it);
    relayNode.setDaemons(daemons);
    relayNode.update(now);
}

void GatewayState::notifyRelays()
{
    reportDue.notify();
    digestDue.notify();
}

void GatewayState::noteQuarantine(const QuarantineUpdate &update, TimePoint now)
{
    if (!quarantine.merge(update, now))
        return;
    quarantineDue.notify();
    digestDue.notify();
}

void GatewayState::noteEvacuationRows(std::set<DataCentreId> listed, RowVersion version,
                                      TimePoint now)
{
    if (evacuations.noteListed(std::move(listed), version, now))
        applyEvacuations("store");
}

void GatewayState::noteEvacuations(const EvacuationUpdate &update, const VmId &sender,
                                   TimePoint now)
{
    if (evacuations.note(update, now))
        applyEvacuations(sender.value());
}

void GatewayState::expireEvacuations(TimePoint now)
{
    if (evacuations.expire(now))
        applyEvacuations("end of the time after a restore of the store");
}

void GatewayState::applyEvacuations(std::string source)
{
    const auto &dataCentres = evacuations.dataCentres();
    std::string names;
    for (const auto &it : dataCentres)
        names += (names.empty() ? "" : ", ") + it.value();
    log::info("evacuated data centres",
              { { "data_centres", names },
                { "version", std::to_string(storeVersionOf(evacuations.version())) },
                { "era", std::to_string(eraOf(evacuations.version())) },
                { "source", std::move(source) } });
    selector.setEvacuated(dataCentres);
    metrics.setGauge("bluebell_evacuated_data_centres", static_cast<double>(dataCentres.size()));
    notifyChange();
    notifyRelays();
}

TrialTurn GatewayState::trialTurn() const
{
    TrialTurn turn { 0, fleet.size() };
    for (const auto &it : fleet.members())
        turn.rank += it.vm < settings.vm ? 1 : 0;
    return turn;
}

void GatewayState::notifyQuarantine()
{
    quarantineDue.notify();
    statusDue.notify();
    notifyRelays();
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
