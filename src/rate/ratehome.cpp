#include "rate/ratehome.h"

#include <algorithm>
#include <cassert>

namespace bluebell {
namespace {

constexpr std::int64_t FractionsPerToken = 1'000'000'000;

__extension__ using Int128 = __int128;

} // namespace

RateHome::RateHome(RateLimit limit, Settings settings, TimePoint now)
    : m_limit(limit), m_settings(settings), m_inherited(limit.burst),
      m_inheritedUntil(now + settings.grantExpiry), m_refilledAt(now)
{
}

RateHome::RateHome(RateLimit limit, Settings settings, const RateHandover &handover, TimePoint now)
    : RateHome(limit, settings, now)
{
    m_level = std::clamp<Tokens>(handover.level, 0, limit.burst);
    m_inherited = std::clamp<Tokens>(handover.outstanding, 0, limit.burst - m_level);
}

RateHandover RateHome::handover(TimePoint now)
{
    advance(now);
    return { m_level, outstanding() };
}

GrantAnswer RateHome::acquire(const GrantQuestion &question, TimePoint now)
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
    // Grants more than the minimum only above half the burst, so that a low level is left for other
    // daemons.
    const bool hasSurplus = m_level > m_limit.burst / 2;
    const auto amount = question.least + (hasSurplus ? extra / 2 : 0);
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
    const auto increase = [](Tokens &current, Tokens reported) {
        const auto n = std::max<Tokens>(reported - current, 0);
        current += n;
        return n;
    };
    const auto admitted = std::min(increase(grant.merged.admitted, report.admitted), grant.free);
    grant.free -= admitted;
    grant.credit += admitted;
    settleConsumed(grant, increase(grant.merged.consumed, report.consumed));
    settleRefunded(grant, increase(grant.merged.refunded, report.refunded));
    if (report.isClosed) {
        grant.merged.isClosed = true;
        m_level += grant.free;
        grant.free = 0;
    }
    trimLevel();
    const auto &merged = grant.merged;
    if (merged.isClosed && merged.admitted == merged.consumed + merged.refunded)
        erase(it);
}

void RateHome::setLimit(RateLimit limit, TimePoint now)
{
    advance(now);
    m_limit = limit;
    trimLevel();
    auto remaining = std::max<Tokens>(exposure() - m_limit.burst, 0);
    for (auto &[sequence, grant] : m_grants) {
        const auto n = std::min(remaining, grant.credit);
        grant.credit -= n;
        grant.displaced += n;
        remaining -= n;
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
    // Refills up to each expiry in turn: refill that is lost while exposure() equals the burst must
    // not be added later, when an expiry has lowered the exposure.
    for (const auto deadline : expiriesUntil(now)) {
        refill(deadline);
        expire(deadline);
    }
    refill(now);
}

std::vector<TimePoint> RateHome::expiriesUntil(TimePoint now) const
{
    std::vector<TimePoint> expiries;
    const auto add = [&](TimePoint it) {
        if (it <= now)
            expiries.push_back(it);
    };
    if (m_inherited > 0)
        add(m_inheritedUntil);
    for (const auto &[sequence, grant] : m_grants) {
        if (grant.free > 0 && !grant.merged.isClosed)
            add(grant.grantedAt + m_settings.grantExpiry);
        add(grant.grantedAt + m_settings.reservationExpiry);
    }
    std::sort(expiries.begin(), expiries.end());
    return expiries;
}

void RateHome::expire(TimePoint now)
{
    if (now >= m_inheritedUntil)
        m_inherited = 0;
    for (auto it = m_grants.begin(); it != m_grants.end();) {
        auto &grant = it->second;
        const auto age = now - grant.grantedAt;
        if (age >= m_settings.grantExpiry && !grant.merged.isClosed)
            grant.free = 0;
        it = age >= m_settings.reservationExpiry ? erase(it) : std::next(it);
    }
}

void RateHome::refill(TimePoint now)
{
    if (now <= m_refilledAt)
        return;
    const auto accrued = accrue(now - m_refilledAt);
    m_refilledAt = now;
    const auto headroom = std::max<Tokens>(m_limit.burst - exposure(), 0);
    const auto added = std::min(accrued, headroom);
    m_level += added;
    if (m_settings.displacesCredit)
        displace(accrued - added);
    trimLevel();
    if (m_level >= m_limit.burst)
        m_fraction = 0;
}

Tokens RateHome::accrue(Duration elapsed)
{
    const Int128 fractions = static_cast<Int128>(elapsed.count()) * m_limit.rate + m_fraction;
    const Int128 whole = fractions / FractionsPerToken;
    m_fraction = static_cast<std::int64_t>(fractions % FractionsPerToken);
    return static_cast<Tokens>(std::min<Int128>(whole, m_limit.burst));
}

void RateHome::displace(Tokens amount)
{
    auto remaining = std::min(amount, std::max<Tokens>(m_limit.burst - m_level, 0));
    for (auto &[sequence, grant] : m_grants) {
        if (remaining == 0)
            return;
        const auto n = std::min(remaining, grant.credit);
        grant.credit -= n;
        grant.displaced += n;
        m_level += n;
        remaining -= n;
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
    Tokens sum = m_inherited;
    for (const auto &[sequence, grant] : m_grants)
        sum += grant.free + grant.credit;
    return sum;
}

std::optional<Duration> RateHome::waitFor(Tokens amount) const
{
    const auto missing = amount - m_level;
    const auto wait = std::chrono::nanoseconds(
            static_cast<std::int64_t>((static_cast<Int128>(missing) * FractionsPerToken)
                                      / std::max<Tokens>(m_limit.rate, 1)));
    if (m_inherited > 0)
        return std::max(m_inheritedUntil - m_refilledAt, Duration::zero()) + wait;
    return wait;
}

} // namespace bluebell
