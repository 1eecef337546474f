#include "gateway/relayservice.h"

#include "core/log.h"
#include "io/background.h"

#include <fmt/core.h>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

constexpr Duration ReportInterval = milliseconds(500);
/// Minimum time between two reports, however much changes.
constexpr Duration MinReportInterval = milliseconds(100);
/// Interval of summaries to other relays and of digests to all subscribers.
constexpr Duration DigestInterval = milliseconds(500);
/// Minimum time between two digests to primary subscribers, however much changes.
constexpr Duration MinDigestInterval = milliseconds(100);
/// Changes within this time are sent in one message.
constexpr Duration BatchDelay = milliseconds(10);

} // namespace

RelayService::RelayService(asio::io_context &context, GatewayState &state, SiteUpdates &updates)
    : m_context(context), m_state(state), m_updates(updates),
      m_socket(context.get_executor(), [this](std::string_view bytes, const std::string &from) {
          handleDatagram(bytes, from);
      })
{
}

Result<void> RelayService::start()
{
    BOOST_OUTCOME_TRYV(m_socket.open(m_state.settings.relay));
    spawnLoop(m_context.get_executor(), "send reports", [this] { return sendReports(); });
    spawnLoop(m_context.get_executor(), "send digests", [this] { return sendDigests(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

asio::awaitable<void> RelayService::sendReports()
{
    for (;;) {
        co_await m_state.reportDue.wait(ReportInterval);
        co_await sleepFor(BatchDelay);
        const auto now = BootClock::now();
        m_state.relayNode.setLeader(m_state.leadership.isLeader(now));
        m_state.relayNode.update(now);
        if (!m_state.fleet.usesRelays())
            continue;
        m_state.noteAvailability(now);
        noteRoles(now);
        report(now);
        co_await sleepFor(MinReportInterval);
    }
}

void RelayService::noteRoles(TimePoint now)
{
    const auto &relays = m_state.relayNode.relays();
    if (relays != m_relays) {
        m_relays = relays;
        std::string names;
        for (const auto &it : relays)
            names += (names.empty() ? "" : ", ") + it.value();
        log::info("relays chosen", { { "relays", names } });
    }
    const bool isRelay = m_state.relayNode.isRelay(now);
    if (isRelay != m_wasRelay)
        log::info(isRelay ? "relay role gained" : "relay role lost",
                  { { "ranked", m_state.relayNode.isRanked() ? "true" : "false" } });
    m_wasRelay = isRelay;
    m_state.quarantine.setRelay(isRelay);
}

void RelayService::report(TimePoint now)
{
    ReportDatagram datagram;
    datagram.status = m_state.status(StatusRecipient::Relay, now);
    for (const auto &it : m_state.relayNode.takeReports(datagram.status, now)) {
        datagram.sequence = it.sequence;
        datagram.isPrimary = it.isPrimary;
        send(it.relay, encode(datagram));
    }
    if (const auto counts = m_state.relayNode.ownCounts(datagram.status, now))
        m_state.noteFleetCounts(*counts, now - m_state.startedAt, {}, now);
    if (m_state.relayNode.isRelay(now))
        noteRates(datagram.status.rates, now);
}

asio::awaitable<void> RelayService::sendDigests()
{
    auto nextTick = BootClock::now();
    for (;;) {
        const auto left = std::max<Duration>(nextTick - BootClock::now(), milliseconds(1));
        co_await m_state.digestDue.wait(left);
        co_await sleepFor(BatchDelay);
        const auto now = BootClock::now();
        const bool isTick = now >= nextTick;
        if (isTick)
            nextTick = now + DigestInterval;
        if (!m_state.fleet.usesRelays())
            continue;
        if (!m_state.relayNode.isRelay(now)) {
            // Those who will report to this daemon may know what it knew a few digests ago.
            if (isTick) {
                m_digestsToAll.note(currentVersions());
                m_digestsToPrimaries.note(currentVersions());
            }
            continue;
        }
        if (isTick)
            sendRegularDigest(now);
        else
            sendUrgentDigest(now);
        m_areCountsDue = false;
        co_await sleepFor(MinDigestInterval);
    }
}

void RelayService::sendSummaries(bool hasInFlight, TimePoint now)
{
    auto summary = m_state.relayNode.summary(now);
    summary.hasInFlight = hasInFlight;
    if (!hasInFlight)
        summary.counts.inFlight.clear();
    const auto own = m_state.status(StatusRecipient::Relay, now);
    summary.incarnation = own.incarnation;
    summary.configVersion = own.configVersion;
    summary.registryVersion = own.registryVersion;
    summary.timeSinceStoreReply = own.timeSinceStoreReply;
    summary.isReady = own.isReady;
    summary.uptime = own.uptime;
    summary.quarantine = own.quarantine;
    summary.evacuations = own.evacuations;
    m_toldEvacuations = m_state.evacuations.dataCentres();
    if (!own.isReady)
        summary.unavailable.push_back(own.vm);
    const auto bytes = encode(summary);
    for (const auto &vm : m_state.relayNode.otherRelays(now))
        send(vm, bytes);
}

DigestVersions RelayService::currentVersions() const
{
    const auto &placement = m_state.fleet.placement();
    return { placement.epoch(), placement.number(), m_state.targetRows.version(),
             m_state.memberRows.version() };
}

FleetDigest RelayService::makeDigest(const DigestVersions &base, TimePoint now)
{
    m_state.noteOwnPlacement(now);
    FleetDigest digest;
    digest.relay = m_state.status(StatusRecipient::Relay, now);
    digest.relay.inFlight.clear();
    digest.relay.leaderEpoch = 0;
    digest.leader = m_state.knownLeader(now);
    digest.relay.estimates = m_state.knownEstimates(now);
    const auto &placement = m_state.fleet.placement();
    digest.placement.leader = placement.leader();
    digest.placement.epoch = placement.epoch();
    digest.placement.update =
            placement.changesSince(base.epoch == placement.epoch() ? base.placement : 0);
    digest.targets = m_state.targetRows.changesSince(base.targets);
    setColdLeft(digest.targets, now);
    digest.members = m_state.memberRows.changesSince(base.members);
    const auto &unavailable = m_state.relayNode.unavailable();
    digest.unavailable.assign(unavailable.begin(), unavailable.end());
    if (!digest.relay.isReady)
        digest.unavailable.push_back(digest.relay.vm);
    return digest;
}

FleetDigest RelayService::fullDigest(TimePoint now)
{
    return makeDigest({}, now);
}

FleetDigest RelayService::nextDigest(DigestHistory &history, TimePoint now)
{
    auto digest = makeDigest(history.base(currentVersions()), now);
    limitRows(digest);
    history.note(currentVersions());
    return digest;
}

void RelayService::sendRegularDigest(TimePoint now)
{
    sendSummaries(true, now);
    auto digest = nextDigest(m_digestsToAll, now);
    digest.counts = m_state.relayNode.fleetCounts(now);
    digest.countsAge = m_state.relayNode.countsAge(now);
    sendToSubscribers(digest, true, now);
}

void RelayService::sendUrgentDigest(TimePoint now)
{
    auto digest = nextDigest(m_digestsToPrimaries, now);
    const bool hasNewEvacuations = m_toldEvacuations != m_state.evacuations.dataCentres();
    if (m_areCountsDue || hasNewEvacuations || m_state.quarantine.hasNews(now))
        sendSummaries(false, now);
    if (m_areCountsDue) {
        digest.counts = m_state.relayNode.fleetCounts(now);
        digest.countsAge = m_state.relayNode.countsAge(now);
        digest.counts->inFlight.clear();
        digest.hasInFlight = false;
    }
    sendToSubscribers(digest, false, now);
}

void RelayService::sendToSubscribers(const FleetDigest &digest, bool isForAll, TimePoint now)
{
    const auto body = encode(digest);
    for (const auto &it : m_state.relayNode.subscribers(now))
        if (isForAll || it.isPrimary)
            send(it.vm, digestDatagram(it.countedReport, body));
}

void RelayService::noteRates(const std::vector<RateUsage> &rates, TimePoint now)
{
    for (const auto &it : rates) {
        const auto rate = m_state.rates.find(it.organisation);
        if (rate == m_state.rates.end() || !rate->second.isLow(now))
            continue;
        m_areCountsDue = true;
        m_state.digestDue.notify();
        return;
    }
}

void RelayService::handleDatagram(std::string_view bytes, const std::string &from)
{
    const auto datagram = decodeRelayDatagram(bytes);
    if (!datagram) {
        log::warning("malformed datagram received from a peer",
                     { { "peer", from }, { "cause", datagram.error().message } });
        return;
    }
    const auto now = BootClock::now();
    std::visit([&](const auto &it) { handle(it, now); }, datagram.value());
}

void RelayService::handle(const ReportDatagram &it, TimePoint now)
{
    m_state.noteQuarantine(it.status.quarantine, now);
    m_state.noteEvacuations(it.status.evacuations, it.status.vm, now);
    auto &node = m_state.relayNode;
    const bool wasSubscriber = node.isSubscriber(it.status.vm, now);
    if (!node.noteReport(it.status, it.sequence, it.isPrimary, now))
        return;
    if (it.isPrimary)
        noteRates(it.status.rates, now);
    // A new subscriber and a change of readiness are answered and passed on at once.
    const bool hasChanged = it.status.isReady == node.unavailable().contains(it.status.vm);
    if (!wasSubscriber || hasChanged) {
        node.update(now);
        m_state.digestDue.notify();
    }
}

void RelayService::handle(const DigestDatagram &it, TimePoint now)
{
    const auto &relay = it.digest.relay;
    m_state.noteQuarantine(relay.quarantine, now);
    const auto counts = m_state.relayNode.noteDigest(it.digest, it.countedReport, now);
    m_updates.applyDigest(it.digest, now);
    m_state.noteAvailability(now);
    if (counts)
        m_state.noteFleetCounts(*counts, relay.uptime, relay.rates, now);
    const auto version = m_state.index ? m_state.index->version() : 0;
    if (relay.configVersion > version || m_state.isBehindRelay)
        m_state.peerDataDue.notify();
}

void RelayService::handle(const GroupSummary &it, TimePoint now)
{
    m_state.noteQuarantine(it.quarantine, now);
    m_state.noteEvacuations(it.evacuations, it.relay, now);
    m_state.relayNode.noteSummary(it, now);
    DaemonStatus status;
    status.vm = it.relay;
    status.incarnation = it.incarnation;
    status.uptime = it.uptime;
    status.isReady = it.isReady;
    status.configVersion = it.configVersion;
    status.registryVersion = it.registryVersion;
    status.timeSinceStoreReply = it.timeSinceStoreReply;
    m_state.fleet.noteRelayStatus(status, now);
    const auto version = m_state.index ? m_state.index->version() : 0;
    if (it.configVersion > version)
        m_state.peerDataDue.notify();
}

void RelayService::handle(const UnknownDatagram &it, TimePoint)
{
    m_state.metrics.count("bluebell_unknown_datagrams_total",
                          { {}, {}, fmt::format("version {} kind {}", it.version, it.kind) });
}

void RelayService::send(const VmId &vm, std::string_view bytes)
{
    const auto *member = m_state.fleet.find(vm);
    if (member && member->supportsRelays())
        m_socket.send(member->relay, bytes);
}

} // namespace bluebell::gateway
