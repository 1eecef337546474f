#include "rate/sharedrate.h"

#include <algorithm>

namespace bluebell {
namespace {

/// Below this fraction of the burst, concurrent admissions by several daemons may exceed the level.
constexpr double LowLevelFraction = 0.5;
/// The longest time after which a refused request is told to try again.
constexpr Duration MaxWait = std::chrono::hours(1);
/// Bound of the level that other daemons are told.
constexpr double MaxLevel = 1e18;

} // namespace

double SharedRate::refillShare() const noexcept
{
    return static_cast<double>(m_live) / static_cast<double>(std::max(m_daemons, m_live));
}

void SharedRate::refill(TimePoint now)
{
    const auto elapsed = toSeconds(std::max(now - m_refilledAt, Duration::zero()));
    m_refilledAt = std::max(now, m_refilledAt);
    const auto gain = static_cast<double>(m_limit.rate) * refillShare() * elapsed;
    m_level = std::min(m_level + gain, static_cast<double>(m_limit.burst) * refillShare());
}

void SharedRate::setLimit(RateLimit limit, TimePoint now)
{
    refill(now);
    m_limit = limit;
    refill(now);
}

void SharedRate::setDaemonCounts(std::size_t daemons, std::size_t live, TimePoint now)
{
    refill(now);
    m_daemons = std::max<std::size_t>(daemons, 1);
    m_live = std::clamp<std::size_t>(live, 1, m_daemons);
}

void SharedRate::noteAdmitted(const IncarnationId &daemon, Tokens total, TimePoint now)
{
    refill(now);
    const auto [it, isNew] = m_peerTotals.try_emplace(daemon, PeerTotal { total, now });
    if (isNew) {
        std::erase_if(m_peerTotals, [now](const auto &known) {
            return now - known.second.at > PeerTotalLifetime;
        });
        return;
    }
    m_level -= static_cast<double>(total - it->second.total);
    it->second = { total, now };
}

void SharedRate::adoptLevel(Tokens level, TimePoint now)
{
    refill(now);
    m_level = std::min(static_cast<double>(level), static_cast<double>(m_limit.burst));
}

std::optional<Duration> SharedRate::admit(Tokens tokens, TimePoint now)
{
    refill(now);
    const auto wanted = static_cast<double>(tokens);
    if (m_level >= std::min(wanted, static_cast<double>(m_limit.burst) * refillShare())) {
        m_level -= wanted;
        m_admitted += tokens;
        return std::nullopt;
    }
    const auto rate = std::max(static_cast<double>(m_limit.rate) * refillShare(), 1.0);
    const std::chrono::duration<double> wait((wanted - m_level) / rate);
    return std::chrono::duration_cast<Duration>(
            std::min<std::chrono::duration<double>>(wait, MaxWait));
}

void SharedRate::refund(Tokens tokens)
{
    m_level += static_cast<double>(tokens);
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

} // namespace bluebell
