#include "routing/router.h"

#include <algorithm>

namespace bluebell {

Router::Router(RoutingPolicy policy, Settings settings, std::uint64_t seed)
    : m_policy(policy), m_settings(settings), m_random(seed)
{
}

void Router::noteReport(const TargetId &target, std::uint32_t load, std::uint32_t slots,
                        bool isLeaving, TimePoint now)
{
    auto &view = m_views[target];
    view.reportedLoad = load;
    view.slots = std::max(slots, 1U);
    view.isLeaving = isLeaving;
    view.reportedAt = now;
    view.inFlightAtReport = view.inFlight;
}

void Router::noteStarted(const TargetId &target)
{
    ++m_views[target].inFlight;
}

void Router::noteFinished(const TargetId &target)
{
    auto &view = m_views[target];
    if (view.inFlight > 0)
        --view.inFlight;
}

void Router::noteFailure(const TargetId &target, TimePoint now)
{
    auto &view = m_views[target];
    constexpr std::uint32_t MaxDoublings = 10;
    const auto backoff = m_settings.initialBackoff * (1 << std::min(view.failures, MaxDoublings));
    view.backoffUntil = now + std::min<Duration>(backoff, m_settings.maxBackoff);
    ++view.failures;
}

void Router::noteSuccess(const TargetId &target)
{
    auto &view = m_views[target];
    view.failures = 0;
    view.backoffUntil = {};
}

bool Router::isFresh(const TargetView &view, TimePoint now) const
{
    return view.reportedAt != TimePoint {} && now - view.reportedAt <= m_settings.reportLifetime;
}

bool Router::isAvailable(const TargetView &view, TimePoint now) const
{
    const auto maxInFlight = std::max(1.0, m_settings.inFlightPerSlot * view.slots);
    const bool isKnownLeaving = view.isLeaving && isFresh(view, now);
    return !isKnownLeaving && now >= view.backoffUntil && view.inFlight < maxInFlight;
}

double Router::relativeLoad(const TargetView &view)
{
    const auto own = static_cast<double>(view.inFlight) - view.inFlightAtReport;
    return (view.reportedLoad + own) / view.slots;
}

Router::Choice Router::choose(const std::set<TargetId> &candidates, TimePoint now)
{
    std::vector<const TargetId *> available;
    for (const auto &target : candidates)
        if (isAvailable(m_views[target], now))
            available.push_back(&target);
    if (available.empty())
        return NoneAvailable {};
    if (std::holds_alternative<TwoChoices>(m_policy) && available.size() > 2) {
        std::shuffle(available.begin(), available.end(), m_random);
        available.resize(2);
    }
    const auto *best = *std::min_element(
            available.begin(), available.end(), [this](const auto *a, const auto *b) {
                return relativeLoad(m_views.at(*a)) < relativeLoad(m_views.at(*b));
            });
    if (!isFresh(m_views.at(*best), now))
        return NeedsReport { *best };
    return Chosen { *best };
}

const TargetView *Router::find(const TargetId &target) const
{
    const auto it = m_views.find(target);
    return it == m_views.end() ? nullptr : &it->second;
}

} // namespace bluebell
