#include "rate/sharedrate.h"

#include <algorithm>
#include <vector>

namespace bluebell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Below this fraction of the burst, concurrent admissions by several daemons may exceed the level.
constexpr double LowLevelFraction = 0.5;
/// Bound of the level that other daemons are told.
constexpr double MaxLevel = 1e18;
/// The part of the allowed excess that the decision uses. The rest is for counts that are lost with
/// their daemon and for levels that differ between daemons.
constexpr double UsedExcess = 0.4;
/// Added to the age of the counts: a status of another daemon arrived, while the one sent to it at
/// the same time may be lost and replaced by the next.
constexpr Duration LossMargin = milliseconds(300);
/// Time over which admissions per second are measured.
constexpr Duration LoadWindow = seconds(2);
constexpr Duration MinLoadWindow = milliseconds(500);
/// Time over which the daemons' parts of the admissions are measured.
constexpr Duration ShareWindow = seconds(4);
/// Part of the shares that all daemons have equally; the rest follows their admissions.
constexpr double EqualPart = 0.5;
/// Factor for loads that rise while the counts are on their way.
constexpr double LoadSafety = 1.5;
/// Largest ratio of offered to admitted tokens that is reckoned with.
constexpr double MaxLoadRatio = 10;
/// Time after which the level of a restarted daemon is used like that of the others.
constexpr Duration UnknownLevelTime = seconds(3);
/// Part of the used excess that a daemon uses until then: the daemons before a restart of all may
/// have used it in the same window.
constexpr double UnknownLevelExcess = 0.25;
/// Counts older than this tell nothing about the present.
constexpr Duration MaxCountAge = seconds(4);
/// Time constant with which the tokens left to silent daemons flow back once they are heard, so
/// that their counts arrive first.
constexpr Duration ReleaseTime = milliseconds(300);
/// Longest silence for which daemons are assumed to have used their part of the refill.
constexpr double MaxReservedSeconds = 20;
/// The largest part of a window's tokens that a rising load may get before it is known.
constexpr double MaxSurge = 0.6;
/// Part of the used excess that is left in the window for the shares.
constexpr double SurgeReserve = 3;
/// Added to a daemon's part of it for each daemon of the fleet: the more daemons there are, the
/// more do the requests of each of them vary.
constexpr double SurgeSpread = 0.3 / 90;
/// Daemons that are started together start within this time.
constexpr Duration StartTolerance = seconds(2);
constexpr Duration HistoryMargin = seconds(1);
constexpr Duration DefaultWindow = seconds(8);

} // namespace

SharedRate::SharedRate(RateLimit limit, TimePoint now, std::uint64_t seed)
    : m_limit(limit), m_level(InitialFraction * static_cast<double>(limit.burst)), m_startedAt(now),
      m_refilledAt(now), m_own(DefaultWindow + HistoryMargin),
      m_others(DefaultWindow + HistoryMargin), m_offered(DefaultWindow + HistoryMargin),
      m_random(seed)
{
    drawFraction();
}

double SharedRate::refillShare() const noexcept
{
    return static_cast<double>(m_live) / static_cast<double>(std::max(m_daemons, m_live));
}

void SharedRate::refill(TimePoint now)
{
    const auto elapsed = toSeconds(std::max(now - m_refilledAt, Duration::zero()));
    m_refilledAt = std::max(now, m_refilledAt);
    const auto rate = static_cast<double>(m_limit.rate);
    const auto released = m_released * std::min(elapsed / toSeconds(ReleaseTime), 1.0);
    m_released -= released;
    m_level += rate * refillShare() * elapsed + released;
    m_level = std::min(m_level, static_cast<double>(m_limit.burst) * refillShare());
    const auto silent = 1 - refillShare();
    m_reserved = std::min(m_reserved + rate * silent * elapsed, rate * silent * MaxReservedSeconds);
}

void SharedRate::setLimit(RateLimit limit, TimePoint now)
{
    refill(now);
    m_limit = limit;
    refill(now);
}

void SharedRate::fill(TimePoint now)
{
    refill(now);
    m_level = static_cast<double>(m_limit.burst) * refillShare();
    m_knowsLevel = true;
}

void SharedRate::setDaemonCounts(std::size_t daemons, std::size_t live, TimePoint now)
{
    refill(now);
    const auto total = std::max<std::size_t>(daemons, 1);
    live = std::clamp<std::size_t>(live, 1, total);
    const auto before = refillShare();
    const auto after = static_cast<double>(live) / static_cast<double>(total);
    if (after < before)
        reserveForSilent(after / before, now);
    if (after > before) {
        const auto released = m_reserved * (after - before) / (1 - before);
        m_released += released;
        m_reserved -= released;
    }
    m_daemons = total;
    m_live = live;
}

void SharedRate::reserveForSilent(double part, TimePoint now)
{
    const auto cutAt = knowledge(now).knownUntil;
    // What was admitted here since the cut was taken from this part of the bucket alone.
    const auto since = m_own.since(cutAt) + m_others.since(cutAt);
    const auto reserved = std::max(m_level + since, 0.0) * (1 - part);
    m_level -= reserved;
    m_reserved += reserved;
    m_own.scaleBefore(cutAt, part);
    m_others.scaleBefore(cutAt, part);
}

void SharedRate::noteAdmitted(const IncarnationId &daemon, Tokens total, TimePoint now,
                              std::optional<CountTimes> times)
{
    refill(now);
    const bool isFromZero = times && times->startedAt > m_startedAt - StartTolerance;
    const PeerTotal first { isFromZero ? Tokens(0) : total, now, std::nullopt };
    const auto [it, isNew] = m_peerTotals.try_emplace(daemon, first);
    if (isNew) {
        std::erase_if(m_peerTotals, [now](const auto &known) {
            return now - known.second.at > PeerTotalLifetime;
        });
    }
    if (times && it->second.times && times->sentAt < it->second.times->sentAt)
        return;
    const auto increase = static_cast<double>(total - it->second.total);
    m_level -= increase;
    m_others.add(increase, times ? std::min(times->sentAt, now) : now);
    it->second = { total, now, times };
}

void SharedRate::noteFleetAdmitted(const IncarnationId &relay, Tokens total,
                                   const CountTimes &times, TimePoint now)
{
    m_relay = relay;
    // A relay that started later has not counted all that this daemon subtracts from its sums.
    auto given = times;
    if (given.startedAt > m_startedAt + StartTolerance)
        given.startedAt = TimePoint::min();
    noteAdmitted(relay, total, now, given);
}

void SharedRate::adoptLevel(Tokens level, TimePoint now)
{
    refill(now);
    m_level = std::min(static_cast<double>(level), static_cast<double>(m_limit.burst));
    m_released = 0;
    m_knowsLevel = true;
}

SharedRate::Knowledge SharedRate::knowledge(TimePoint now) const
{
    const auto oldest = std::max(m_startedAt, now - MaxCountAge);
    if (m_live <= 1)
        return { now, Duration::zero() };
    if (m_relay) {
        const auto it = m_peerTotals.find(*m_relay);
        if (it == m_peerTotals.end())
            return { oldest, now - oldest };
        const auto times = it->second.times.value_or(CountTimes { now, now });
        return { std::max(times.ownKnownUntil - LossMargin, oldest),
                 now - std::clamp(times.sentAt, oldest, now) };
    }
    // Of the daemons that were ever heard, those are alive that were heard last.
    std::vector<TimePoint> latest;
    for (const auto &[daemon, it] : m_peerTotals)
        latest.push_back(it.times ? std::clamp(it.times->sentAt, oldest, now) : now);
    std::sort(latest.rbegin(), latest.rend());
    latest.resize(m_live - 1, oldest);
    Duration sum {};
    for (const auto &it : latest)
        sum += now - it;
    return { std::max(latest.back() - LossMargin, oldest),
             sum / static_cast<std::int64_t>(latest.size()) };
}

double SharedRate::share(const Knowledge &known) const
{
    const auto equal = 1.0 / static_cast<double>(m_live);
    // Only what all daemons know, so that the shares of all of them add up to one, also of those
    // that have just been cut off.
    const auto begin = known.knownUntil - ShareWindow;
    const auto own = std::max(m_own.between(begin, known.knownUntil), 0.0);
    const auto others = std::max(m_others.between(begin, known.knownUntil), 0.0);
    // Restarted daemons have no admissions; an equal part of one request keeps the sum near one.
    const auto part = own + others > 0 ? own / (own + others) : equal;
    return EqualPart * equal + (1 - EqualPart) * part;
}

double SharedRate::allowance() const noexcept
{
    const auto base = static_cast<double>(m_limit.rate) * toSeconds(m_bound.window)
            + static_cast<double>(m_limit.burst);
    return (base * m_bound.excess + static_cast<double>(m_bound.slack)) * refillShare();
}

double SharedRate::windowLimit() const noexcept
{
    const auto base = static_cast<double>(m_limit.rate) * toSeconds(m_bound.window)
            + static_cast<double>(m_limit.burst);
    return base * refillShare() + UsedExcess * allowance();
}

double SharedRate::windowLeft(TimePoint now) const
{
    const auto begin = now - m_bound.window;
    return windowLimit() - m_own.since(begin) - m_others.since(begin);
}

double SharedRate::expectedByOthers(double wanted, Duration age, TimePoint now) const
{
    const auto perSecond = [&](Duration window) {
        const auto measured = std::clamp(now - m_startedAt, MinLoadWindow, window);
        return std::max(m_others.since(now - measured), 0.0) / toSeconds(measured);
    };
    // After a burst nothing is admitted for some time, although the load has not changed.
    const auto admitted = std::max(perSecond(LoadWindow), perSecond(m_bound.window));
    const auto begin = now - m_bound.window;
    const auto own = std::max(m_own.since(begin), 0.0) + wanted;
    const auto ratio = std::clamp(m_offered.since(begin) / own, 1.0, MaxLoadRatio);
    const auto expected = admitted * ratio * toSeconds(age) * LoadSafety;
    // A full bucket loses what is refilled, so as much of what the others admit changes nothing.
    const auto capacity = std::max(static_cast<double>(m_limit.burst) * refillShare(), 1.0);
    const auto fullness = std::clamp(m_level / capacity, 0.0, 1.0);
    const auto refilled = static_cast<double>(m_limit.rate) * refillShare() * toSeconds(age);
    return std::max(expected - fullness * refilled, 0.0);
}

bool SharedRate::suffices(double wanted, TimePoint now) const
{
    const auto needed = std::min(wanted, static_cast<double>(m_limit.burst) * refillShare());
    const bool isLevelKnown = m_knowsLevel || now - m_startedAt > UnknownLevelTime;
    // Many daemons that start at once must not overdraw their parts of the bucket by a request
    // each.
    if (m_live <= 1)
        return m_level >= (isLevelKnown || m_daemons <= 1 ? needed : m_fraction * wanted);
    const auto known = knowledge(now);
    const auto unseen = std::max(m_own.since(known.knownUntil), 0.0);
    const auto part = share(known);
    const auto allowed = UsedExcess * allowance() * (isLevelKnown ? 1.0 : UnknownLevelExcess);
    const auto needsShare = unseen + m_fraction * wanted;
    // A load that rises from one moment to the next is in no count yet. The daemons may have
    // admitted the rest of the window together before they hear of each other.
    const auto left = windowLeft(now);
    const auto spread = 1 + SurgeSpread * static_cast<double>(m_live);
    const auto surge = spread * std::min(left + unseen, MaxSurge * windowLimit())
            * std::max(part, 1.0 / static_cast<double>(m_live));
    const bool isWithinWindow = unseen <= surge && left >= wanted + SurgeReserve * allowed;
    if (isLevelKnown && isWithinWindow
        && m_level + allowed - expectedByOthers(wanted, known.meanAge, now) >= needed)
        return true;
    return needsShare <= part * (std::min(m_level + allowed, left) + unseen);
}

std::optional<Duration> SharedRate::admit(Tokens tokens, TimePoint now, int priority)
{
    refill(now);
    const auto wanted = static_cast<double>(tokens);
    m_offered.add(wanted, now);
    if (suffices(wanted, now)) {
        m_level -= wanted;
        m_admitted += tokens;
        m_own.add(wanted, now);
        drawFraction();
        return std::nullopt;
    }
    const auto part = m_live <= 1 ? 1.0 : share(knowledge(now));
    const auto rate = static_cast<double>(m_limit.rate) * refillShare() * part;
    const auto deficit = -(m_level + UsedExcess * allowance()) * part;
    return m_returnTimes.add(wanted, deficit, rate, priority, now);
}

void SharedRate::refund(Tokens tokens)
{
    m_level += static_cast<double>(tokens);
    m_own.takeBack(static_cast<double>(tokens));
    m_admitted -= tokens;
}

Tokens SharedRate::level(TimePoint now)
{
    refill(now);
    return static_cast<Tokens>(std::clamp(m_level, -MaxLevel, MaxLevel));
}

bool SharedRate::isLow(TimePoint now)
{
    refill(now);
    return m_level < LowLevelFraction * static_cast<double>(m_limit.burst);
}

SharedRateState SharedRate::state(TimePoint now)
{
    const auto known = knowledge(now);
    const auto unseen = m_own.since(known.knownUntil);
    return { level(now), static_cast<Tokens>(std::clamp(unseen, 0.0, MaxLevel)), share(known),
             known.meanAge };
}

void SharedRate::drawFraction() noexcept
{
    // The generator of Knuth's MMIX; its high bits are good enough for a fraction.
    m_random = m_random * 6364136223846793005U + 1442695040888963407U;
    m_fraction = static_cast<double>(m_random >> 11U) / static_cast<double>(1ULL << 53U);
}

} // namespace bluebell
