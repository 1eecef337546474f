#include "rate/grantholder.h"

#include <algorithm>

namespace bluebell {
namespace {

/// Window over which demand is summed to size the next grant.
constexpr Duration DemandWindow = std::chrono::seconds(1);
/// A request for a grant is discarded when it has no response after this time.
constexpr Duration GrantRequestTimeout = std::chrono::seconds(30);

} // namespace

std::optional<ReservationId> GrantHolder::admit(Tokens tokens, TimePoint now)
{
    for (auto &[id, grant] : m_grants) {
        const bool isUsable = grant.isGranted && !grant.report.isClosed && now < grant.validUntil
                && grant.amount - grant.report.admitted >= tokens;
        if (!isUsable)
            continue;
        grant.report.admitted += tokens;
        grant.hasUnsentChanges = true;
        if (now - m_windowStart > DemandWindow) {
            m_windowStart = now;
            m_windowTokens = 0;
        }
        m_windowTokens += tokens;
        m_reservations.emplace(m_nextReservation, Reservation { id, tokens, 0 });
        return m_nextReservation++;
    }
    return std::nullopt;
}

Tokens GrantHolder::recentDemand(TimePoint now)
{
    if (now - m_windowStart > 2 * DemandWindow)
        m_windowTokens = 0;
    return m_windowTokens;
}

GrantQuestion GrantHolder::question(Tokens least, TimePoint now)
{
    GrantId id(m_name + '-' + std::to_string(m_nextGrant++));
    Grant grant;
    grant.requestedAt = now;
    grant.report.id = id;
    m_grants.emplace(id, grant);
    return { std::move(id), least, std::max(least, recentDemand(now)) };
}

void GrantHolder::answered(const Granted &granted)
{
    const auto it = m_grants.find(granted.id);
    if (it == m_grants.end() || it->second.isGranted)
        return;
    auto &grant = it->second;
    grant.isGranted = true;
    grant.amount = granted.amount;
    grant.validUntil = grant.requestedAt + granted.validity;
}

void GrantHolder::refused(const GrantId &id)
{
    m_grants.erase(id);
}

void GrantHolder::progress(ReservationId reservation, Tokens used)
{
    const auto it = m_reservations.find(reservation);
    if (it == m_reservations.end())
        return;
    const auto total = std::clamp(used, it->second.consumed, it->second.tokens);
    const auto grant = m_grants.find(it->second.grant);
    if (grant != m_grants.end() && total > it->second.consumed) {
        grant->second.report.consumed += total - it->second.consumed;
        grant->second.hasUnsentChanges = true;
    }
    it->second.consumed = total;
}

void GrantHolder::settle(ReservationId reservation, Tokens used)
{
    progress(reservation, used);
    const auto it = m_reservations.find(reservation);
    if (it == m_reservations.end())
        return;
    if (const auto grant = m_grants.find(it->second.grant); grant != m_grants.end()) {
        grant->second.report.refunded += it->second.tokens - it->second.consumed;
        grant->second.hasUnsentChanges = true;
    }
    m_reservations.erase(it);
}

bool GrantHolder::isSettled(const Grant &grant)
{
    const auto &report = grant.report;
    return report.isClosed && report.admitted == report.consumed + report.refunded;
}

std::vector<GrantReport> GrantHolder::takeReports(TimePoint now)
{
    std::vector<GrantReport> reports;
    for (auto it = m_grants.begin(); it != m_grants.end();) {
        auto &grant = it->second;
        if (!grant.isGranted) {
            it = now - grant.requestedAt > GrantRequestTimeout ? m_grants.erase(it) : std::next(it);
            continue;
        }
        const bool isUsedUp = grant.report.admitted == grant.amount;
        if (!grant.report.isClosed && (isUsedUp || now >= grant.validUntil)) {
            grant.report.isClosed = true;
            grant.hasUnsentChanges = true;
        }
        if (std::exchange(grant.hasUnsentChanges, false))
            reports.push_back(grant.report);
        it = isSettled(grant) ? m_grants.erase(it) : std::next(it);
    }
    return reports;
}

void GrantHolder::requeueReports(const std::vector<GrantReport> &reports)
{
    for (const auto &report : reports) {
        auto &grant = m_grants.try_emplace(report.id).first->second;
        if (grant.report.id.isEmpty()) {
            grant.report = report;
            grant.isGranted = true;
            grant.amount = report.admitted;
        }
        grant.hasUnsentChanges = true;
    }
}

} // namespace bluebell
