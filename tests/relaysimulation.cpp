#include "relaysimulation.h"

#include <algorithm>
#include <utility>

namespace bluebell::testing {
namespace {

using std::chrono::milliseconds;

constexpr Duration Step = milliseconds(10);
constexpr Duration ReportInterval = milliseconds(500);
constexpr Duration MinReportInterval = milliseconds(100);
constexpr Duration DigestInterval = milliseconds(500);
constexpr Duration MinDigestInterval = milliseconds(100);
/// Daemons start within this time of each other.
constexpr std::int64_t MaxStartDelayMs = 300;
const OrganisationId Organisation("org");
/// As in the settings by default.
constexpr QuotaBound Quota { 0.1, 17000, std::chrono::seconds(8) };

TargetRow rowOf(std::uint64_t version)
{
    TargetEntry entry;
    entry.id = TargetId("t");
    entry.startTimeMs = version;
    return { entry };
}

} // namespace

RelaySimulation::RelaySimulation(const RelayScenario &scenario)
    : m_scenario(scenario), m_random(scenario.seed)
{
    m_table.emplace("t0", rowOf(1));
    for (std::size_t n = 0; n < scenario.daemons; ++n) {
        Vm vm;
        vm.id = VmId("vm-" + std::to_string(n));
        vm.dataCentre = DataCentreId("dc-" + std::to_string(n % scenario.dataCentres));
        vm.capacity = static_cast<std::uint32_t>(120 + m_random() % 380);
        m_indexOf.emplace(vm.id, n);
        m_vms.push_back(std::move(vm));
        m_daemons.emplace_back();
    }
    for (std::size_t n = 0; n < scenario.daemons; ++n)
        start(n);
}

void RelaySimulation::start(std::size_t daemon)
{
    auto &vm = m_vms[daemon];
    auto &it = m_daemons[daemon];
    it.emplace(vm.id, m_now);
    const auto delay = milliseconds(static_cast<std::int64_t>(m_random() % MaxStartDelayMs));
    it->startedAt = m_now;
    it->nextReport = it->nextDigest = it->nextTick = it->nextRead = m_now + delay;
    if (m_limit)
        startRate(daemon);
    std::vector<RelayCandidate> all;
    for (const auto &other : m_vms)
        all.push_back({ other.id, other.dataCentre, other.capacity });
    it->node.setDaemons(all);
    vm.calmSince = m_now;
}

bool RelaySimulation::isActive(std::size_t daemon) const
{
    return m_daemons[daemon] && m_now >= m_vms[daemon].frozenUntil;
}

bool RelaySimulation::isRunning(std::size_t daemon) const
{
    return m_daemons[daemon].has_value();
}

void RelaySimulation::run(Duration length)
{
    const auto end = m_now + length;
    while (m_now < end) {
        m_now += Step;
        step();
    }
}

void RelaySimulation::step()
{
    deliver();
    for (std::size_t n = 0; n < m_daemons.size(); ++n)
        if (isActive(n))
            act(n);
}

void RelaySimulation::send(std::size_t from, const VmId &to,
                           std::variant<Report, Digest, GroupSummary> content)
{
    const auto index = m_indexOf.at(to);
    ++m_vms[from].sent;
    const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < m_scenario.loss;
    if (isLost || m_vms[from].isCut || m_vms[index].isCut)
        return;
    const auto delay = Duration(static_cast<std::int64_t>(
            m_random() % static_cast<std::uint64_t>(m_scenario.maxDelay.count())));
    m_inTransit.emplace(m_now + delay, Datagram { from, index, std::move(content) });
}

void RelaySimulation::deliver()
{
    while (!m_inTransit.empty() && m_inTransit.begin()->first <= m_now) {
        auto datagram = std::move(m_inTransit.begin()->second);
        m_inTransit.erase(m_inTransit.begin());
        const auto to = datagram.to;
        // A suspended daemon gets what has arrived when it goes on.
        if (m_daemons[to] && m_now < m_vms[to].frozenUntil) {
            m_inTransit.emplace(m_vms[to].frozenUntil + Step, std::move(datagram));
            continue;
        }
        if (!m_daemons[to])
            continue;
        ++m_vms[to].received;
        std::visit([&](const auto &it) { handle(*m_daemons[to], to, it); }, datagram.content);
    }
}

void RelaySimulation::handle(Daemon &daemon, std::size_t, const Report &report)
{
    const bool wasSubscriber = daemon.node.isSubscriber(report.status.vm, m_now);
    if (!daemon.node.noteReport(report.status, report.sequence, report.isPrimary, m_now))
        return;
    if (report.isPrimary)
        noteRates(daemon);
    if (!wasSubscriber) {
        daemon.node.update(m_now);
        daemon.isDigestDue = true;
    }
}

void RelaySimulation::handle(Daemon &daemon, std::size_t, const Digest &digest)
{
    const auto counts = daemon.node.noteDigest(digest.digest, digest.countedReport, m_now);
    if (!daemon.node.isReader(m_now)) {
        const auto before = daemon.targets.version();
        daemon.targets.apply(digest.digest.targets);
        daemon.isDigestDue |= daemon.targets.version() != before;
        // The gateway fetches a full digest over HTTP.
        const auto relay = m_indexOf.at(digest.digest.relay.vm);
        if (daemon.targets.isBehind() && m_daemons[relay])
            daemon.targets.apply(m_daemons[relay]->targets.changesSince(0));
    }
    if (counts)
        noteCounts(daemon, *counts, digest.digest.relay.uptime, digest.digest.relay.rates);
}

void RelaySimulation::handle(Daemon &daemon, std::size_t, const GroupSummary &summary)
{
    daemon.node.noteSummary(summary, m_now);
}

void RelaySimulation::noteCounts(Daemon &daemon, const FleetCounts &counts, Duration relayUptime,
                                 const std::vector<RateUsage> &levels)
{
    if (!daemon.rate)
        return;
    const CountTimes times { m_now - counts.age, counts.ownCountedAt - counts.age,
                             m_now - relayUptime };
    for (const auto &[organisation, tokens] : counts.admitted)
        daemon.rate->noteFleetAdmitted(counts.relay, tokens, times, m_now);
    const bool isNewRelay = std::exchange(daemon.countingRelay, counts.relay) != counts.relay;
    if (!isNewRelay || relayUptime < std::chrono::seconds(3))
        return;
    for (const auto &it : levels) {
        const auto counted = counts.ownCounted.find(it.organisation);
        const auto known = counted == counts.ownCounted.end() ? Tokens(0) : counted->second;
        daemon.rate->adoptLevel(it.level - (daemon.rate->admitted() - known), m_now);
    }
}

void RelaySimulation::act(std::size_t self)
{
    auto &it = *m_daemons[self];
    if (m_now >= it.nextReport) {
        it.nextReport = m_now + ReportInterval;
        it.reportedAt = m_now;
        it.node.update(m_now);
        sendReports(self);
    }
    if (m_now >= it.nextRead && it.node.isReader(m_now)) {
        it.nextRead = m_now + m_scenario.readInterval;
        if (!m_vms[self].isCutFromStore)
            readStore(it);
    }
    const bool isTick = m_now >= it.nextTick;
    if (!isTick && !(it.isDigestDue && m_now >= it.nextDigest))
        return;
    if (isTick)
        it.nextTick = m_now + DigestInterval;
    it.nextDigest = m_now + MinDigestInterval;
    it.isDigestDue = false;
    sendDigests(self, isTick);
}

DaemonStatus RelaySimulation::statusOf(std::size_t self)
{
    auto &it = *m_daemons[self];
    DaemonStatus status;
    status.vm = m_vms[self].id;
    status.incarnation =
            IncarnationId(status.vm.value() + "#" + std::to_string(m_vms[self].incarnation));
    status.uptime = m_now - it.startedAt;
    status.isReady = true;
    if (it.rate)
        status.rates.push_back({ Organisation, it.rate->admitted(), it.rate->level(m_now) });
    return status;
}

void RelaySimulation::sendReports(std::size_t self)
{
    auto &it = *m_daemons[self];
    auto status = statusOf(self);
    for (const auto &report : it.node.takeReports(status, m_now))
        send(self, report.relay, Report { status, report.sequence, report.isPrimary });
    if (const auto counts = it.node.ownCounts(status, m_now))
        noteCounts(it, *counts, m_now - it.startedAt, {});
}

FleetDigest RelaySimulation::makeDigest(std::size_t self, const DigestVersions &base)
{
    auto &it = *m_daemons[self];
    FleetDigest digest;
    digest.relay = statusOf(self);
    digest.targets = it.targets.changesSince(base.targets);
    const auto &unavailable = it.node.unavailable();
    digest.unavailable.assign(unavailable.begin(), unavailable.end());
    return digest;
}

void RelaySimulation::sendDigests(std::size_t self, bool isForAll)
{
    auto &it = *m_daemons[self];
    const DigestVersions current { 0, 0, it.targets.version(), 0 };
    if (!it.node.isRelay(m_now)) {
        if (isForAll) {
            it.digestsToAll.note(current);
            it.digestsToPrimaries.note(current);
        }
        return;
    }
    const bool hasCounts = isForAll || std::exchange(it.areCountsDue, false);
    if (hasCounts)
        sendSummaries(self, isForAll);
    auto &history = isForAll ? it.digestsToAll : it.digestsToPrimaries;
    Digest digest { makeDigest(self, history.base(current)), 0 };
    history.note(current);
    digest.digest.hasInFlight = isForAll;
    if (hasCounts) {
        digest.digest.counts = it.node.fleetCounts(m_now);
        digest.digest.countsAge = it.node.countsAge(m_now);
    }
    for (const auto &subscriber : it.node.subscribers(m_now)) {
        if (!isForAll && !subscriber.isPrimary)
            continue;
        digest.countedReport = subscriber.countedReport;
        send(self, subscriber.vm, digest);
    }
}

void RelaySimulation::sendSummaries(std::size_t self, bool hasInFlight)
{
    auto summary = m_daemons[self]->node.summary(m_now);
    const auto status = statusOf(self);
    summary.incarnation = status.incarnation;
    summary.uptime = status.uptime;
    summary.isReady = true;
    summary.hasInFlight = hasInFlight;
    for (const auto &relay : m_daemons[self]->node.otherRelays(m_now))
        send(self, relay, summary);
}

void RelaySimulation::noteRates(Daemon &daemon)
{
    if (daemon.rate && daemon.rate->isLow(m_now))
        daemon.areCountsDue = daemon.isDigestDue = true;
}

void RelaySimulation::readStore(Daemon &daemon)
{
    ++m_storeReads;
    if (!daemon.targets.replaceAll(m_table, m_storeVersion).empty())
        daemon.isDigestDue = true;
}

std::uint64_t RelaySimulation::writeRow()
{
    ++m_storeVersion;
    m_table["t" + std::to_string(m_storeVersion % 50)] = rowOf(m_storeVersion);
    return m_storeVersion;
}

void RelaySimulation::kill(std::size_t daemon)
{
    m_daemons[daemon].reset();
}

void RelaySimulation::restart(std::size_t daemon)
{
    ++m_vms[daemon].incarnation;
    start(daemon);
}

void RelaySimulation::freeze(std::size_t daemon, Duration length)
{
    m_vms[daemon].frozenUntil = m_now + length;
    m_vms[daemon].calmSince = m_now + length;
}

void RelaySimulation::cut(std::size_t daemon, bool fromStore)
{
    m_vms[daemon].isCut = true;
    m_vms[daemon].isCutFromStore |= fromStore;
    m_vms[daemon].calmSince = TimePoint::max();
}

void RelaySimulation::cutFromStore(std::size_t daemon)
{
    m_vms[daemon].isCutFromStore = true;
    m_vms[daemon].calmSince = TimePoint::max();
}

void RelaySimulation::heal(std::size_t daemon)
{
    m_vms[daemon].isCut = m_vms[daemon].isCutFromStore = false;
    m_vms[daemon].calmSince = m_now;
}

bool RelaySimulation::admit(std::size_t daemon, Tokens tokens)
{
    if (!isActive(daemon))
        return false;
    auto &it = *m_daemons[daemon];
    const auto missing = it.node.knowsFleet(m_now) ? it.node.unavailable().size() : size() - 1;
    it.rate->setDaemonCounts(size(), size() - missing, m_now);
    if (it.rate->admit(tokens, m_now))
        return false;
    if (it.rate->isLow(m_now))
        it.nextReport = std::min(it.nextReport, std::max(m_now, it.reportedAt + MinReportInterval));
    return true;
}

void RelaySimulation::refund(std::size_t daemon, Tokens tokens)
{
    if (m_daemons[daemon] && m_daemons[daemon]->rate->admitted() >= tokens)
        m_daemons[daemon]->rate->refund(tokens);
}

void RelaySimulation::setLimit(RateLimit limit)
{
    m_limit = limit;
    for (std::size_t n = 0; n < m_daemons.size(); ++n)
        if (m_daemons[n])
            startRate(n);
}

void RelaySimulation::startRate(std::size_t daemon)
{
    auto &rate = m_daemons[daemon]->rate.emplace(*m_limit, m_now, m_random());
    rate.setBound(Quota);
}

TimePoint RelaySimulation::calmSince(std::size_t daemon) const
{
    return m_vms[daemon].calmSince;
}

std::uint64_t RelaySimulation::versionAt(std::size_t daemon) const
{
    return m_daemons[daemon]->targets.version();
}

bool RelaySimulation::isUnavailable(std::size_t observer, std::size_t daemon) const
{
    return m_daemons[observer]->node.unavailable().contains(m_vms[daemon].id);
}

bool RelaySimulation::knowsFleet(std::size_t daemon) const
{
    return m_daemons[daemon]->node.knowsFleet(m_now);
}

std::size_t RelaySimulation::relayCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_daemons.begin(), m_daemons.end(),
                          [&](const auto &it) { return it && it->node.isRelay(m_now); }));
}

std::size_t RelaySimulation::readerCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_daemons.begin(), m_daemons.end(),
                          [&](const auto &it) { return it && it->node.isReader(m_now); }));
}

std::uint64_t RelaySimulation::received(std::size_t daemon) const
{
    return m_vms[daemon].received;
}

std::uint64_t RelaySimulation::mostSent() const
{
    return std::max_element(m_vms.begin(), m_vms.end(),
                            [](const auto &a, const auto &b) { return a.sent < b.sent; })
            ->sent;
}

} // namespace bluebell::testing
