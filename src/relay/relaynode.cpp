#include "relay/relaynode.h"

#include <algorithm>
#include <utility>

namespace bluebell {
namespace {

/// A gap of this length between two updates means that this daemon was suspended or stalled, and
/// that silence of others has no meaning.
constexpr Duration MaxUpdateGap = std::chrono::milliseconds(1000);
/// Reports that are remembered until a relay confirms them.
constexpr std::size_t MaxSentReports = 64;
/// Members of a group that get summaries while fewer than two of them are known to be available.
constexpr std::size_t MaxCandidatesPerGroup = 6;
/// A group without a known relay gets a summary at another member each time, until one responds.
constexpr Duration DiscoveryInterval = std::chrono::milliseconds(500);
/// Time after the last summary during which a daemon counts as a relay.
constexpr Duration RelayTimeout = std::chrono::milliseconds(2500);
/// Assumed for the sums of a relay of a previous build: the interval of its summaries.
constexpr Duration UnknownCountsAge = std::chrono::milliseconds(500);

} // namespace

void RelayNode::setDaemons(const std::vector<RelayCandidate> &daemons)
{
    std::set<VmId> known;
    for (const auto &it : daemons)
        known.insert(it.vm);
    for (RelayGroups::GroupId group = 0; group < m_groups.count(); ++group)
        for (const auto &vm : m_groups.ranking(group))
            if (!known.contains(vm))
                m_availability.removeMember(vm);
    m_groups = RelayGroups(daemons);
    const auto group = m_groups.groupOf(m_self);
    m_subscription.setRanking(group ? m_groups.ranking(*group) : std::vector<VmId>());
}

void RelayNode::update(TimePoint now)
{
    if (now - m_updatedAt > MaxUpdateGap)
        m_availability.restart(knownUnavailable(), now);
    m_updatedAt = now;
    m_subscription.update(now);
    updateRole(now);
    if (isRanked())
        updateUnavailable(m_availability.unavailable(m_groups, m_self, now));
}

std::optional<std::set<VmId>> RelayNode::knownUnavailable() const
{
    return m_knowsUnavailable ? std::optional(m_unavailable) : std::nullopt;
}

void RelayNode::updateUnavailable(std::set<VmId> unavailable)
{
    m_unavailable = std::move(unavailable);
    m_knowsUnavailable = true;
    m_subscription.setUnavailable(m_unavailable);
}

void RelayNode::updateRole(TimePoint now)
{
    if (!isRelay(now)) {
        m_relaySince.reset();
        return;
    }
    if (m_relaySince) {
        if (now - *m_relaySince > MinReadTime)
            m_readUntil = now + MinReadTime;
        return;
    }
    m_relaySince = now;
    m_availability.restart(knownUnavailable(), now);
    m_counts.restart(now);
}

bool RelayNode::noteReport(const DaemonStatus &report, std::uint64_t sequence, bool isPrimary,
                           TimePoint now)
{
    auto &it = m_reporters[report.vm];
    const bool isSame = it.incarnation == report.incarnation;
    if (isSame && sequence <= it.sequence)
        return false;
    // Of two incarnations, the one that started earlier reports the longer uptime.
    if (!isSame && now - it.at < SubscriptionTimeout && report.uptime > it.uptime)
        return false;
    if (!isSame)
        it.countedSequence = 0;
    it.incarnation = report.incarnation;
    it.uptime = report.uptime;
    it.at = now;
    it.sequence = sequence;
    it.isPrimary = isPrimary;
    if (isPrimary)
        it.countedSequence = sequence;
    updateRole(now);
    m_counts.noteReport(report, isPrimary, now);
    m_availability.noteReport(report.vm, report.isReady, now);
    return true;
}

void RelayNode::noteSummary(const GroupSummary &summary, TimePoint now)
{
    m_otherRelays[summary.relay] = now;
    m_counts.noteSummary(summary, now);
    m_availability.noteSummary(summary, now);
}

FleetCounts RelayNode::countsOfOthers(IncarnationId relay, const RelayCounts &sums,
                                      const SentReport &counted) const
{
    FleetCounts others;
    others.relay = std::move(relay);
    for (const auto &[target, n] : sums.inFlight) {
        const auto own = counted.inFlight.find(target);
        const auto ownCount = own == counted.inFlight.end() ? 0 : own->second;
        if (n > ownCount)
            others.inFlight.emplace(target, n - ownCount);
    }
    others.admitted = sums.admitted;
    for (const auto &[organisation, tokens] : counted.admitted)
        others.admitted[organisation] -= tokens;
    others.ownCounted = counted.admitted;
    others.ownCountedAt = counted.sentAt;
    return others;
}

std::optional<FleetCounts> RelayNode::noteDigest(const FleetDigest &digest,
                                                 std::uint64_t countedReport, TimePoint now)
{
    m_subscription.noteDigest(digest.relay.vm, now);
    if (!isRanked())
        updateUnavailable({ digest.unavailable.begin(), digest.unavailable.end() });
    if (!m_subscription.isPrimary(digest.relay.vm) || countedReport == 0 || !digest.counts)
        return std::nullopt;
    const auto counted = std::find_if(m_sentReports.begin(), m_sentReports.end(),
                                      [&](const auto &it) { return it.sequence == countedReport; });
    if (counted == m_sentReports.end())
        return std::nullopt;
    m_acknowledged = counted->admitted;
    auto counts = countsOfOthers(digest.relay.incarnation, *digest.counts, *counted);
    counts.hasInFlight = digest.hasInFlight;
    counts.age = digest.countsAge.value_or(UnknownCountsAge);
    return counts;
}

std::optional<FleetCounts> RelayNode::ownCounts(const DaemonStatus &own, TimePoint now) const
{
    if (!m_subscription.isPrimary(m_self) || m_sentReports.empty())
        return std::nullopt;
    auto counts = countsOfOthers(own.incarnation, m_counts.fleetCounts(now), m_sentReports.back());
    counts.age = m_counts.oldestSummaryAge(now);
    return counts;
}

std::vector<OutgoingReport> RelayNode::takeReports(DaemonStatus &own, TimePoint now)
{
    SentReport sent;
    sent.sequence = m_nextSequence++;
    sent.sentAt = now;
    for (const auto &it : own.inFlight)
        sent.inFlight[it.target] += it.count;
    for (auto &it : own.rates) {
        sent.admitted[it.organisation] = it.admitted;
        const auto acknowledged = m_acknowledged.find(it.organisation);
        it.acknowledged = acknowledged == m_acknowledged.end() ? 0 : acknowledged->second;
    }
    std::vector<OutgoingReport> reports;
    for (const auto &vm : m_subscription.relays()) {
        const bool isPrimary = m_subscription.isPrimary(vm);
        if (vm != m_self) {
            reports.push_back({ vm, sent.sequence, isPrimary });
            continue;
        }
        m_counts.noteReport(own, isPrimary, now);
        if (isPrimary)
            m_acknowledged = sent.admitted;
    }
    m_sentReports.push_back(std::move(sent));
    if (m_sentReports.size() > MaxSentReports)
        m_sentReports.pop_front();
    return reports;
}

bool RelayNode::isRelay(TimePoint now) const
{
    return isRanked() || m_isLeader || hasSubscribers(now);
}

bool RelayNode::isReader(TimePoint now) const
{
    if (isRelay(now) || now < m_readUntil)
        return true;
    const auto heardAt = m_subscription.lastDigestAt();
    return heardAt ? now - *heardAt > DisconnectTimeout : now - m_startedAt > StartupTimeout;
}

bool RelayNode::knowsFleet(TimePoint now) const
{
    const auto heardAt = m_subscription.lastDigestAt();
    return isRanked() || (heardAt && now - *heardAt < DisconnectTimeout);
}

bool RelayNode::hasSubscribers(TimePoint now) const
{
    return std::any_of(m_reporters.begin(), m_reporters.end(),
                       [now](const auto &it) { return now - it.second.at < SubscriptionTimeout; });
}

bool RelayNode::isSubscriber(const VmId &vm, TimePoint now) const
{
    const auto it = m_reporters.find(vm);
    return it != m_reporters.end() && now - it->second.at < SubscriptionTimeout;
}

std::vector<Subscriber> RelayNode::subscribers(TimePoint now) const
{
    std::vector<Subscriber> all;
    for (const auto &[vm, it] : m_reporters)
        if (now - it.at < SubscriptionTimeout)
            all.push_back({ vm, it.countedSequence, it.isPrimary });
    return all;
}

void RelayNode::addRelaysOf(RelayGroups::GroupId group, TimePoint now, std::set<VmId> &relays) const
{
    const auto &ranking = m_groups.ranking(group);
    std::size_t available = 0;
    for (std::size_t n = 0; n < ranking.size() && n < MaxCandidatesPerGroup; ++n) {
        if (available == Subscription::RelayCount)
            return;
        // An unavailable one may only not have been heard of yet.
        relays.insert(ranking[n]);
        available += m_unavailable.contains(ranking[n]) ? 0 : 1;
    }
    if (available > 0 || ranking.empty())
        return;
    const auto round = static_cast<std::size_t>(now.time_since_epoch() / DiscoveryInterval);
    relays.insert(ranking[round % ranking.size()]);
}

std::set<VmId> RelayNode::otherRelays(TimePoint now) const
{
    std::set<VmId> all;
    for (RelayGroups::GroupId group = 0; group < m_groups.count(); ++group)
        addRelaysOf(group, now, all);
    for (const auto &[vm, at] : m_otherRelays)
        if (now - at < RelayTimeout)
            all.insert(vm);
    all.erase(m_self);
    return all;
}

GroupSummary RelayNode::summary(TimePoint now) const
{
    GroupSummary it;
    it.relay = m_self;
    it.countsId = m_counts.countsId();
    it.countsAge = now - m_counts.restartedAt();
    it.counts = m_counts.ownCounts(now);
    it.knowsAvailability = isRanked();
    if (const auto group = m_groups.groupOf(m_self); group && isRanked()) {
        const auto missing = m_availability.unavailableIn(m_groups.ranking(*group), m_self, now);
        it.unavailable.assign(missing.begin(), missing.end());
    }
    return it;
}

} // namespace bluebell
