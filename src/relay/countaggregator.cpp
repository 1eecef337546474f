#include "relay/countaggregator.h"

#include <algorithm>

namespace bluebell {
namespace {

/// The counts of a relay that has counted for less than this time are counted from zero. Those of
/// an older one only serve as the base of the next.
constexpr Duration MaxAgeToCountFromZero = std::chrono::seconds(3);

void add(std::map<TargetId, std::uint32_t> &sums, const std::map<TargetId, std::uint32_t> &counts)
{
    for (const auto &[target, n] : counts)
        sums[target] += n;
}

} // namespace

void CountAggregator::restart(TimePoint now)
{
    m_reporters.clear();
    m_ownAdmitted.clear();
    ++m_countsId;
    m_restartedAt = now;
}

void CountAggregator::count(const OrganisationId &organisation, Tokens tokens)
{
    m_ownAdmitted[organisation] += tokens;
    m_fleetAdmitted[organisation] += tokens;
}

void CountAggregator::noteReport(const DaemonStatus &report, bool isPrimary, TimePoint now)
{
    auto &it = m_reporters[report.vm];
    // Between two reports to this relay as the primary, no other relay has counted.
    const bool isContinued =
            it.incarnation == report.incarnation && it.isPrimary && now - it.at < ReportTimeout;
    if (!isContinued)
        it.counted.clear();
    it.incarnation = report.incarnation;
    it.isPrimary = isPrimary;
    it.at = now;
    it.inFlight.clear();
    if (!isPrimary)
        return;
    for (const auto &entry : report.inFlight)
        it.inFlight[entry.target] += entry.count;
    for (const auto &rate : report.rates) {
        auto &counted = it.counted.try_emplace(rate.organisation, rate.acknowledged).first->second;
        // An organisation without admissions is listed, too: the first sum that others hear is the
        // base of the next ones.
        count(rate.organisation, rate.admitted - counted);
        counted = rate.admitted;
    }
}

void CountAggregator::noteSummary(const GroupSummary &summary, TimePoint now)
{
    auto &it = m_otherRelays[summary.relay];
    const bool isSame = it.incarnation == summary.incarnation && it.countsId == summary.countsId;
    const bool isNew = summary.countsAge < MaxAgeToCountFromZero;
    for (const auto &[organisation, total] : summary.counts.admitted) {
        const auto known = it.counts.admitted.find(organisation);
        const bool hasBase = isSame || isNew;
        const bool isKnown = isSame && known != it.counts.admitted.end();
        const auto base = isKnown ? known->second : Tokens(0);
        m_fleetAdmitted[organisation] += hasBase ? total - base : 0;
    }
    it.incarnation = summary.incarnation;
    it.countsId = summary.countsId;
    it.at = now;
    it.counts.admitted = summary.counts.admitted;
    if (summary.hasInFlight)
        it.counts.inFlight = summary.counts.inFlight;
}

RelayCounts CountAggregator::ownCounts(TimePoint now) const
{
    RelayCounts sums;
    sums.admitted = m_ownAdmitted;
    for (const auto &[vm, it] : m_reporters)
        if (now - it.at < ReportTimeout)
            add(sums.inFlight, it.inFlight);
    return sums;
}

RelayCounts CountAggregator::fleetCounts(TimePoint now) const
{
    auto sums = ownCounts(now);
    sums.admitted = m_fleetAdmitted;
    for (const auto &[vm, it] : m_otherRelays)
        if (now - it.at < ReportTimeout)
            add(sums.inFlight, it.counts.inFlight);
    return sums;
}

Duration CountAggregator::oldestSummaryAge(TimePoint now) const
{
    Duration oldest {};
    for (const auto &[vm, it] : m_otherRelays)
        if (now - it.at < ReportTimeout)
            oldest = std::max(oldest, now - it.at);
    return oldest;
}

} // namespace bluebell
