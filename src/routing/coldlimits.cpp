#include "routing/coldlimits.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell {
namespace {

/// The largest rate that is divided; a target that stands more is limited to it while it is cold.
constexpr double MaxRate = 10'000;

} // namespace

ColdShares coldSharesOf(double rate, std::size_t daemons)
{
    const auto whole = static_cast<std::size_t>(std::clamp(std::floor(rate), 0.0, MaxRate));
    if (whole == 0 || daemons == 0)
        return {};
    // With a rate this low, the tolerance would leave no sender.
    const auto tolerance = std::min(ColdLimits::MaxViewDifference, whole / 2);
    const auto perSender = std::max<std::size_t>(whole / (daemons + tolerance), 1);
    return { whole / perSender - tolerance, static_cast<std::uint32_t>(perSender) };
}

void ColdLimits::setRates(std::map<ServiceId, double> rates)
{
    m_rates = std::move(rates);
    std::erase_if(m_rates, [](const auto &it) { return it.second <= 0; });
}

void ColdLimits::setDaemons(std::set<VmId> daemons, TimePoint now)
{
    if (!m_knownSince)
        m_knownSince = now;
    for (const auto &it : daemons)
        if (!m_daemons.contains(it))
            m_changes.push_back(now);
    for (const auto &it : m_daemons)
        if (!daemons.contains(it))
            m_changes.push_back(now);
    while (m_changes.size() > MaxViewDifference + 1)
        m_changes.pop_front();
    m_daemons = std::move(daemons);
}

void ColdLimits::noteSent(const TargetEntry &target, TimePoint now)
{
    if (!target.isCold(now) || !m_rates.contains(target.service))
        return;
    std::erase_if(m_sends, [now](const auto &it) { return now - it.second.back() >= Window; });
    auto &sends = m_sends[target.id];
    while (!sends.empty() && now - sends.front() >= Window)
        sends.pop_front();
    sends.push_back(now);
}

std::optional<TimePoint> ColdLimits::blockedUntil(const TargetEntry &target, TimePoint now) const
{
    if (!target.isCold(now))
        return std::nullopt;
    const auto rate = m_rates.find(target.service);
    if (rate == m_rates.end())
        return std::nullopt;
    const auto share = shareOf(target, rate->second, now);
    if (share == 0)
        return target.coldUntil;
    const auto sends = m_sends.find(target.id);
    if (sends == m_sends.end() || sends->second.size() < share)
        return std::nullopt;
    const auto freeAt = sends->second[sends->second.size() - share] + Window;
    return freeAt <= now ? std::nullopt : std::optional(std::min(freeAt, target.coldUntil));
}

std::uint32_t ColdLimits::shareOf(const TargetEntry &target, double rate, TimePoint now) const
{
    if (!m_daemons.contains(m_self) || !isSettled(now))
        return 0;
    const auto shares = coldSharesOf(rate, m_daemons.size());
    return isSender(target.id, shares.senders) ? shares.perSender : 0;
}

bool ColdLimits::isSettled(TimePoint now) const
{
    if (!m_knownSince || now - *m_knownSince < SettleTime)
        return false;
    return m_changes.size() <= MaxViewDifference || now - m_changes.front() >= SettleTime;
}

bool ColdLimits::isSender(const TargetId &target, std::size_t senders) const
{
    const auto rank = [&](const VmId &vm) {
        return std::pair(rendezvousScore(target.value(), vm.value()), vm);
    };
    const auto own = rank(m_self);
    const auto higher = std::count_if(m_daemons.begin(), m_daemons.end(),
                                      [&](const auto &it) { return rank(it) > own; });
    return static_cast<std::size_t>(higher) < senders;
}

} // namespace bluebell
