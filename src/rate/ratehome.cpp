#include "rate/ratehome.h"

#include <algorithm>
#include <cassert>

namespace bluebell {
namespace {

constexpr std::int64_t FractionsPerToken = 1'000'000'000;

__extension__ using Wide = __int128;

} // namespace

RateHome::RateHome(RateLimit limit, Settings settings, TimePoint now)
    : m_limit(limit), m_settings(settings), m_unknown(limit.burst),
      m_unknownUntil(now + settings.grantLapse), m_refilledAt(now)
{
}

RateHome::RateHome(RateLimit limit, Settings settings, const RateHandover &handover, TimePoint now)
    : RateHome(limit, settings, now)
{
    m_level = std::clamp<Tokens>(handover.level, 0, limit.burst);
    m_unknown = std::clamp<Tokens>(handover.outstanding, 0, limit.burst - m_level);
}

RateHandover RateHome::handover(TimePoint now)
{
    advance(now);
    return { m_level, outstanding() };
}

GrantAnswer RateHome::ask(const GrantQuestion &question, TimePoint now)
{
    advance(now);
    if (const auto it = m_index.find(question.id); it != m_index.end())
        return m_grants.at(it->second).granted;
    if (question.least > m_limit.burst)
        return RateRefused { std::nullopt };
    if (question.least > m_level)
        return RateRefused { waitFor(question.least) };
    const auto wanted = std::max(question.least, question.wanted);
    const auto extra = std::min(wanted, m_level) - question.least;
    // More than was asked for is handed out only while the level is high, where nobody misses it.
    const bool isPlenty = m_level > m_limit.burst / 2;
    const auto amount = question.least + (isPlenty ? extra / 2 : 0);
    m_level -= amount;
    const Granted granted { question.id, amount, m_settings.grantValidity };
    Grant grant { granted, { question.id, 0, 0, 0, false }, amount, 0, 0, now };
    m_index.emplace(question.id, m_nextSequence);
    m_grants.emplace(m_nextSequence++, std::move(grant));
    assert(exposure() <= m_limit.burst || m_level == 0);
    return granted;
}

void RateHome::noteReport(const GrantReport &report, TimePoint now)
{
    advance(now);
    const auto index = m_index.find(report.id);
    if (index == m_index.end())
        return;
    const auto it = m_grants.find(index->second);
    auto &grant = it->second;
    const auto rise = [](Tokens &known, Tokens reported) {
        const auto n = std::max<Tokens>(reported - known, 0);
        known += n;
        return n;
    };
    const auto admitted = std::min(rise(grant.known.admitted, report.admitted), grant.free);
    grant.free -= admitted;
    grant.credit += admitted;
    settleConsumed(grant, rise(grant.known.consumed, report.consumed));
    settleRefunded(grant, rise(grant.known.refunded, report.refunded));
    if (report.isClosed) {
        grant.known.isClosed = true;
        m_level += grant.free;
        grant.free = 0;
    }
    trimLevel();
    const auto &known = grant.known;
    if (known.isClosed && known.admitted == known.consumed + known.refunded)
        erase(it);
}

void RateHome::setLimit(RateLimit limit, TimePoint now)
{
    advance(now);
    m_limit = limit;
    trimLevel();
    auto rest = std::max<Tokens>(exposure() - m_limit.burst, 0);
    for (auto &[sequence, grant] : m_grants) {
        const auto n = std::min(rest, grant.credit);
        grant.credit -= n;
        grant.displaced += n;
        rest -= n;
    }
}

void RateHome::trimLevel()
{
    const auto excess = std::max<Tokens>(exposure() - m_limit.burst, 0);
    m_level -= std::min(excess, m_level);
}

Tokens RateHome::level(TimePoint now)
{
    advance(now);
    return m_level;
}

Tokens RateHome::exposure() const
{
    return m_level + outstanding();
}

void RateHome::advance(TimePoint now)
{
    // Refill up to each lapse first: at the cap it is lost, and must not be made up for afterwards.
    for (const auto deadline : lapsesUntil(now)) {
        refill(deadline);
        expire(deadline);
    }
    refill(now);
}

std::vector<TimePoint> RateHome::lapsesUntil(TimePoint now) const
{
    std::vector<TimePoint> lapses;
    const auto add = [&](TimePoint it) {
        if (it <= now)
            lapses.push_back(it);
    };
    if (m_unknown > 0)
        add(m_unknownUntil);
    for (const auto &[sequence, grant] : m_grants) {
        if (grant.free > 0 && !grant.known.isClosed)
            add(grant.madeAt + m_settings.grantLapse);
        add(grant.madeAt + m_settings.reservationLapse);
    }
    std::sort(lapses.begin(), lapses.end());
    return lapses;
}

void RateHome::expire(TimePoint now)
{
    if (now >= m_unknownUntil)
        m_unknown = 0;
    for (auto it = m_grants.begin(); it != m_grants.end();) {
        auto &grant = it->second;
        const auto age = now - grant.madeAt;
        if (age >= m_settings.grantLapse && !grant.known.isClosed)
            grant.free = 0;
        it = age >= m_settings.reservationLapse ? erase(it) : std::next(it);
    }
}

void RateHome::refill(TimePoint now)
{
    if (now <= m_refilledAt)
        return;
    const auto gained = refilled(now - m_refilledAt);
    m_refilledAt = now;
    const auto room = std::max<Tokens>(m_limit.burst - exposure(), 0);
    const auto added = std::min(gained, room);
    m_level += added;
    if (m_settings.displacesCredit)
        displace(gained - added);
    trimLevel();
    if (m_level >= m_limit.burst)
        m_fraction = 0;
}

Tokens RateHome::refilled(Duration elapsed)
{
    const Wide fractions = static_cast<Wide>(elapsed.count()) * m_limit.rate + m_fraction;
    const Wide whole = fractions / FractionsPerToken;
    m_fraction = static_cast<std::int64_t>(fractions % FractionsPerToken);
    return static_cast<Tokens>(std::min<Wide>(whole, m_limit.burst));
}

void RateHome::displace(Tokens amount)
{
    auto rest = std::min(amount, std::max<Tokens>(m_limit.burst - m_level, 0));
    for (auto &[sequence, grant] : m_grants) {
        if (rest == 0)
            return;
        const auto n = std::min(rest, grant.credit);
        grant.credit -= n;
        grant.displaced += n;
        m_level += n;
        rest -= n;
    }
}

void RateHome::settleConsumed(Grant &grant, Tokens amount)
{
    const auto displaced = std::min(amount, grant.displaced);
    grant.displaced -= displaced;
    grant.credit -= std::min(amount - displaced, grant.credit);
}

void RateHome::settleRefunded(Grant &grant, Tokens amount)
{
    const auto credited = std::min(amount, grant.credit);
    grant.credit -= credited;
    m_level += credited;
    grant.displaced -= std::min(amount - credited, grant.displaced);
}

RateHome::GrantMap::iterator RateHome::erase(GrantMap::iterator it)
{
    m_index.erase(it->second.granted.id);
    return m_grants.erase(it);
}

Tokens RateHome::outstanding() const
{
    Tokens sum = m_unknown;
    for (const auto &[sequence, grant] : m_grants)
        sum += grant.free + grant.credit;
    return sum;
}

std::optional<Duration> RateHome::waitFor(Tokens amount) const
{
    const auto missing = amount - m_level;
    const auto wait = std::chrono::nanoseconds(static_cast<std::int64_t>(
            (static_cast<Wide>(missing) * FractionsPerToken) / std::max<Tokens>(m_limit.rate, 1)));
    if (m_unknown > 0)
        return std::max(m_unknownUntil - m_refilledAt, Duration::zero()) + wait;
    return wait;
}

} // namespace bluebell
