#include "fleetratesimulation.h"

#include <algorithm>

namespace bluebell::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Step = milliseconds(10);
constexpr Duration SendInterval = milliseconds(200);
/// As in the gateway: of daemons that send to each other, and of relays.
constexpr Duration LivenessTimeout = milliseconds(900);
constexpr Duration RelayTimeout = milliseconds(2500);
constexpr Duration StartupTime = milliseconds(1500);
constexpr Duration FirstStartTime = seconds(3);
constexpr Duration SettledUptime = seconds(3);
constexpr double MinTokens = 200;
constexpr double MaxTokens = 5000;
constexpr std::size_t GroupSize = 15;

Duration toDuration(double s)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}

} // namespace

FleetRateSimulation::FleetRateSimulation(const FleetRateScenario &scenario)
    : m_scenario(scenario), m_random(scenario.seed), m_daemons(scenario.daemons)
{
    m_relays.resize(usesRelays() ? scenario.daemons / GroupSize : 1);
    for (auto &it : m_relays) {
        it.counted.resize(scenario.daemons);
        it.others.resize(m_relays.size());
        it.nextSend = m_now + toDuration(uniform(0, toSeconds(SendInterval)));
    }
    for (std::size_t n = 0; n < scenario.daemons; ++n)
        start(n, true);
    m_bucket = static_cast<double>(scenario.limit.burst);
    m_bucketAt = m_now;
    planFailures();
}

void FleetRateSimulation::start(std::size_t daemon, bool isFirst)
{
    auto &it = m_daemons[daemon];
    ++it.starts;
    it.incarnation = IncarnationId(std::to_string(daemon) + "#" + std::to_string(it.starts));
    it.rate.emplace(m_scenario.limit, m_now, m_random());
    it.rate->setBound(Bound);
    if (isFirst)
        it.rate->fill(m_now);
    it.startedAt = m_now;
    it.nextSend = m_now + toDuration(uniform(0, toSeconds(SendInterval)));
    it.restartAt.reset();
    const auto heardAt = isFirst ? m_now + FirstStartTime : TimePoint();
    it.heardAt.assign(m_daemons.size(), heardAt);
    it.digestAt = heardAt;
    it.liveByRelay = isFirst ? m_daemons.size() : 1;
    it.countingRelay = {};
}

void FleetRateSimulation::planFailures()
{
    m_isFirstSide.resize(usesRelays() ? m_relays.size() : m_daemons.size());
    if (m_scenario.hasPartition) {
        m_cutAt = m_now + toDuration(uniform(1, 8));
        m_healedAt = m_cutAt + toDuration(uniform(2, 5));
        for (std::size_t n = 0; n < m_isFirstSide.size(); ++n)
            m_isFirstSide[n] = uniform(0, 1) < 0.5;
    }
    if (m_scenario.hasRestarts)
        for (std::size_t n = 0; n < m_daemons.size(); ++n)
            if (uniform(0, 1) < 0.25)
                m_kills.emplace(m_now + toDuration(uniform(0.5, 12)), n);
}

void FleetRateSimulation::fail()
{
    while (!m_kills.empty() && m_kills.begin()->first <= m_now) {
        auto &it = m_daemons[m_kills.begin()->second];
        it.rate.reset();
        it.restartAt = m_now + toDuration(uniform(0.3, 1.5));
        m_kills.erase(m_kills.begin());
    }
    if (m_scenario.restartAllAt && !m_isAllRestarted
        && m_now - m_begin >= *m_scenario.restartAllAt) {
        m_isAllRestarted = true;
        m_kills.clear();
        m_inTransit.clear();
        m_relaysStartedAt = m_now;
        for (auto &it : m_relays) {
            it.own = it.fleet = 0;
            it.counted.assign(m_daemons.size(), {});
            it.others.assign(m_relays.size(), std::nullopt);
        }
        for (std::size_t n = 0; n < m_daemons.size(); ++n)
            start(n, false);
    }
    for (std::size_t n = 0; n < m_daemons.size(); ++n)
        if (m_daemons[n].restartAt && *m_daemons[n].restartAt <= m_now)
            start(n, false);
}

bool FleetRateSimulation::isOnFirstSide(const Message &message, bool ofSender) const
{
    const bool isRelay = message.kind == Message::Kind::Summary
            || (message.kind == Message::Kind::Digest && ofSender)
            || (message.kind == Message::Kind::Report && !ofSender);
    const auto index = ofSender ? message.from : message.to;
    if (!usesRelays() || isRelay)
        return m_isFirstSide[index];
    return m_isFirstSide[groupOf(index)];
}

void FleetRateSimulation::send(Message message, bool isFirstSide, bool isSecondSide)
{
    const bool isCut = m_now >= m_cutAt && m_now < m_healedAt && isFirstSide != isSecondSide;
    if (isCut || uniform(0, 1) < m_scenario.loss)
        return;
    m_inTransit.emplace(m_now + delay(), std::move(message));
}

Duration FleetRateSimulation::delay()
{
    if (!usesRelays())
        return toDuration(uniform(toSeconds(m_scenario.minDelay), toSeconds(m_scenario.maxDelay)));
    // Counts pass three messages through relays and wait for each of them.
    constexpr int Hops = 3;
    const auto shortest = m_scenario.minDelay / Hops;
    const auto longest = std::max(m_scenario.maxDelay / Hops - SendInterval, shortest);
    return toDuration(uniform(toSeconds(shortest), toSeconds(longest)));
}

FleetRateSimulation::Report FleetRateSimulation::reportOf(std::size_t daemon)
{
    auto &it = m_daemons[daemon];
    return { it.rate->admitted(), it.incarnation, m_now - it.startedAt, it.rate->level(m_now),
             m_now };
}

void FleetRateSimulation::sendCounts(std::size_t daemon)
{
    Message message;
    message.from = daemon;
    message.report = reportOf(daemon);
    if (usesRelays()) {
        message.kind = Message::Kind::Report;
        message.to = groupOf(daemon);
        send(message, isOnFirstSide(message, true), isOnFirstSide(message, false));
        return;
    }
    for (std::size_t n = 0; n < m_daemons.size(); ++n) {
        message.to = n;
        if (n != daemon)
            send(message, isOnFirstSide(message, true), isOnFirstSide(message, false));
    }
}

void FleetRateSimulation::sendSums(std::size_t relay)
{
    auto &it = m_relays[relay];
    Message message;
    message.from = relay;
    message.kind = Message::Kind::Summary;
    message.summary = { it.own, m_now };
    std::size_t live = m_daemons.size();
    Duration age {};
    for (std::size_t n = 0; n < m_relays.size(); ++n) {
        if (n == relay)
            continue;
        message.to = n;
        send(message, isOnFirstSide(message, true), isOnFirstSide(message, false));
        const auto at = it.others[n] ? it.others[n]->sentAt : m_relaysStartedAt;
        age = std::max(age, std::min<Duration>(m_now - at, RelayTimeout));
        if (m_now - at > RelayTimeout)
            for (std::size_t k = 0; k < m_daemons.size(); ++k)
                live -= groupOf(k) == n ? 1 : 0;
    }
    message.kind = Message::Kind::Digest;
    message.digest = { relay, it.fleet, {}, age, live, 0 };
    std::size_t oldest = relay;
    for (std::size_t n = relay; n < m_daemons.size(); n += m_relays.size())
        if (m_daemons[n].rate && m_daemons[n].startedAt < m_daemons[oldest].startedAt)
            oldest = n;
    if (m_daemons[oldest].rate && m_now - m_daemons[oldest].startedAt > SettledUptime)
        message.digest.level = m_daemons[oldest].rate->level(m_now);
    for (std::size_t n = relay; n < m_daemons.size(); n += m_relays.size()) {
        message.to = n;
        message.digest.counted = it.counted[n];
        send(message, isOnFirstSide(message, true), isOnFirstSide(message, false));
    }
}

void FleetRateSimulation::deliver()
{
    while (!m_inTransit.empty() && m_inTransit.begin()->first <= m_now) {
        const auto message = std::move(m_inTransit.begin()->second);
        m_inTransit.erase(m_inTransit.begin());
        switch (message.kind) {
        case Message::Kind::Status:
            handleStatus(message);
            break;
        case Message::Kind::Report:
            handleReport(message);
            break;
        case Message::Kind::Summary: {
            auto &known = m_relays[message.to].others[message.from];
            if (known && known->sentAt >= message.summary.sentAt)
                break;
            m_relays[message.to].fleet += message.summary.total - (known ? known->total : 0);
            known = message.summary;
            break;
        }
        case Message::Kind::Digest:
            handleDigest(message);
            break;
        }
    }
}

void FleetRateSimulation::handleStatus(const Message &message)
{
    auto &it = m_daemons[message.to];
    if (!it.rate
        || message.report.incarnation.value() < m_daemons[message.from].incarnation.value())
        return;
    it.heardAt[message.from] = std::max(it.heardAt[message.from], m_now);
    // The shortest delay cannot be told from a difference of clocks.
    const auto sentAt = message.report.sentAt + m_scenario.minDelay;
    it.rate->noteAdmitted(message.report.incarnation, message.report.total, m_now,
                          CountTimes { sentAt, sentAt, sentAt - message.report.uptime });
    if (m_now - it.startedAt < StartupTime && message.report.uptime > SettledUptime)
        it.rate->adoptLevel(message.report.level, m_now);
}

void FleetRateSimulation::handleReport(const Message &message)
{
    auto &relay = m_relays[message.to];
    auto &counted = relay.counted[message.from];
    if (counted.sentAt >= message.report.sentAt)
        return;
    const bool isSame = counted.incarnation == message.report.incarnation;
    const auto increase = message.report.total - (isSame ? counted.total : 0);
    relay.own += increase;
    relay.fleet += increase;
    counted = message.report;
}

void FleetRateSimulation::handleDigest(const Message &message)
{
    auto &it = m_daemons[message.to];
    const auto &digest = message.digest;
    if (!it.rate || digest.counted.incarnation != it.incarnation)
        return;
    it.digestAt = std::max(it.digestAt, m_now);
    it.liveByRelay = digest.live;
    const IncarnationId relay("relay-" + std::to_string(digest.relay));
    it.rate->noteFleetAdmitted(
            relay, digest.total - digest.counted.total,
            { m_now - digest.age, digest.counted.sentAt - digest.age, m_relaysStartedAt }, m_now);
    if (it.countingRelay != relay && digest.level != 0 && it.starts > 1)
        it.rate->adoptLevel(digest.level - (it.rate->admitted() - digest.counted.total), m_now);
    it.countingRelay = relay;
}

std::size_t FleetRateSimulation::liveCount(std::size_t daemon) const
{
    const auto &it = m_daemons[daemon];
    if (usesRelays())
        return m_now - it.digestAt < RelayTimeout ? it.liveByRelay : 1;
    std::size_t live = 1;
    for (std::size_t n = 0; n < m_daemons.size(); ++n)
        live += n != daemon && m_now - it.heardAt[n] < LivenessTimeout ? 1 : 0;
    return live;
}

double FleetRateSimulation::loadNow() const
{
    return m_now - m_begin < m_scenario.surgeAt ? m_scenario.loadBefore : m_scenario.load;
}

void FleetRateSimulation::request()
{
    const auto tokens = static_cast<Tokens>(uniform(MinTokens, MaxTokens));
    auto daemon = m_scenario.isAtOneDaemon ? 0 : m_random() % m_daemons.size();
    while (!m_daemons[daemon].rate)
        daemon = (daemon + 1) % m_daemons.size();
    ++m_outcome.requests;
    const auto burst = static_cast<double>(m_scenario.limit.burst);
    m_bucket += static_cast<double>(m_scenario.limit.rate) * toSeconds(m_now - m_bucketAt);
    m_bucket = std::min(m_bucket, burst);
    m_bucketAt = m_now;
    if (m_bucket >= std::min(static_cast<double>(tokens), burst))
        m_bucket -= static_cast<double>(tokens);
    else
        ++m_outcome.refusedByOneBucket;
    auto &rate = *m_daemons[daemon].rate;
    rate.setDaemonCounts(m_daemons.size(), liveCount(daemon), m_now);
    if (rate.admit(tokens, m_now))
        ++m_outcome.refused;
    else
        m_admitted.back() += static_cast<double>(tokens);
}

FleetRateOutcome FleetRateSimulation::run()
{
    const auto tokensPerStep = static_cast<double>(m_scenario.limit.rate) * toSeconds(Step);
    for (const auto end = m_begin + m_scenario.length; m_now < end; m_now += Step) {
        deliver();
        fail();
        for (std::size_t n = 0; n < m_daemons.size(); ++n)
            if (m_daemons[n].rate && m_daemons[n].nextSend <= m_now) {
                m_daemons[n].nextSend += SendInterval;
                sendCounts(n);
            }
        for (std::size_t n = 0; usesRelays() && n < m_relays.size(); ++n)
            if (m_relays[n].nextSend <= m_now) {
                m_relays[n].nextSend += SendInterval;
                sendSums(n);
            }
        m_admitted.push_back(0);
        const auto mean = loadNow() * tokensPerStep / ((MinTokens + MaxTokens) / 2);
        for (auto left = std::poisson_distribution<>(mean)(m_random); left > 0; --left)
            request();
    }
    finish(m_outcome);
    return m_outcome;
}

void FleetRateSimulation::finish(FleetRateOutcome &outcome) const
{
    const auto rate = static_cast<double>(m_scenario.limit.rate);
    const auto burst = static_cast<double>(m_scenario.limit.burst);
    const auto allowed = (rate * toSeconds(Bound.window) + burst) * (1 + Bound.excess)
            + static_cast<double>(Bound.slack);
    const auto steps = static_cast<std::size_t>(Bound.window / Step);
    double sum = 0;
    double total = 0;
    for (std::size_t n = 0; n < m_admitted.size(); ++n) {
        sum += m_admitted[n] - (n >= steps ? m_admitted[n - steps] : 0);
        total += m_admitted[n];
        outcome.worst = std::max(outcome.worst, sum / allowed);
    }
    outcome.used = total / (rate * toSeconds(m_scenario.length) + burst);
}

} // namespace bluebell::testing
