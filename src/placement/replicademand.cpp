#include "placement/replicademand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell {
namespace {

/// Added to every wait, so that a request that has just arrived has a score above 0.
constexpr Duration ScoredWaitMargin = std::chrono::seconds(1);
/// Half-life of the number of recent loads by which demand of an organisation is ranked.
constexpr Duration RecentLoadsHalfLife = std::chrono::seconds(10);
/// Expected duration of a load of a replica that has not been loaded yet.
constexpr Duration DefaultLoadTime = std::chrono::seconds(5);

} // namespace

ReplicaDemand::ReplicaDemand(TimePoint now) : m_startedAt(now), m_recentLoadsAt(now) { }

void ReplicaDemand::noteDemand(const ReplicaKey &key, const Demand &demand, TimePoint now)
{
    auto &use = m_replicas[key];
    use.demand.insert_or_assign({ demand.daemon, demand.organisation },
                                DemandState { demand, now });
    if (demand.waiting + demand.running > 0)
        use.lastUsed = now;
    if (!key.adapter.isEmpty())
        noteDemand({ key.model, AdapterId() }, demand, now);
}

void ReplicaDemand::noteReported(const ReportedReplica &replica, TimePoint now)
{
    auto &use = m_replicas[replica.key];
    if (replica.running > 0)
        use.lastUsed = now;
    if (replica.state != ReplicaState::Resident || !use.loadStartedAt)
        return;
    use.loadTime = now - *use.loadStartedAt;
    use.loadStartedAt.reset();
    use.lastUsed = now;
}

void ReplicaDemand::noteLoadStarted(const ReplicaKey &key, const OrganisationId &organisation,
                                    TimePoint now)
{
    m_recentLoads[organisation] += 1;
    m_replicas[key].loadStartedAt = now;
}

void ReplicaDemand::expire(Duration lifetime, TimePoint now)
{
    for (auto &[key, use] : m_replicas)
        std::erase_if(use.demand,
                      [&](const auto &it) { return now - it.second.notedAt > lifetime; });
    const auto halfLives = toSeconds(now - m_recentLoadsAt) / toSeconds(RecentLoadsHalfLife);
    for (auto &[organisation, count] : m_recentLoads)
        count *= std::exp2(-halfLives);
    m_recentLoadsAt = now;
}

std::vector<WantedReplica> ReplicaDemand::wanted() const
{
    struct Scored
    {
        WantedReplica wanted;
        double score = 0;
    };
    std::vector<Scored> scored;
    for (const auto &[key, use] : m_replicas) {
        Scored it { { key, Duration::zero(), {}, 0 }, -1 };
        for (const auto &[demandKey, state] : use.demand) {
            const auto &demand = state.demand;
            if (demand.waiting == 0)
                continue;
            const auto recent = m_recentLoads.find(demand.organisation);
            const auto loads = recent == m_recentLoads.end() ? 0.0 : recent->second;
            const auto score = toSeconds(demand.oldestWait + ScoredWaitMargin) / (1 + loads);
            it.wanted.waiting += demand.waiting;
            if (score > it.score) {
                it.score = score;
                it.wanted.organisation = demand.organisation;
                it.wanted.oldestWait = demand.oldestWait;
            }
        }
        if (it.score >= 0)
            scored.push_back(std::move(it));
    }
    std::stable_sort(scored.begin(), scored.end(),
                     [](const Scored &a, const Scored &b) { return a.score > b.score; });
    std::vector<WantedReplica> wanted;
    wanted.reserve(scored.size());
    for (auto &it : scored)
        wanted.push_back(std::move(it.wanted));
    return wanted;
}

Duration ReplicaDemand::idleTime(const ReplicaKey &key, TimePoint now) const
{
    const auto it = m_replicas.find(key);
    const auto lastUsed = it == m_replicas.end() ? m_startedAt : it->second.lastUsed;
    return now - std::max(lastUsed, m_startedAt);
}

Duration ReplicaDemand::loadTime(const ReplicaKey &key) const
{
    const auto it = m_replicas.find(key);
    return it == m_replicas.end() ? DefaultLoadTime : it->second.loadTime.value_or(DefaultLoadTime);
}

Duration ReplicaDemand::loadTimeLeft(const ReplicaKey &key, TimePoint now) const
{
    const auto it = m_replicas.find(key);
    const bool isLoading = it != m_replicas.end() && it->second.loadStartedAt;
    const auto elapsed = isLoading ? now - *it->second.loadStartedAt : Duration::zero();
    return std::max(loadTime(key) - elapsed, Duration::zero());
}

} // namespace bluebell
