#include "placement/demandtracker.h"

#include <algorithm>
#include <cmath>

namespace bluebell {
namespace {

/// Time constant of the decay: the weight of an arrival falls to 1/e in this time.
constexpr Duration DecayTime = std::chrono::seconds(4);
/// Decayed weight below which a model counts as unused.
constexpr double MinWeight = 0.05;

} // namespace

void DemandTracker::decay(Rate &rate, TimePoint now)
{
    rate.weight *= std::exp(-toSeconds(now - rate.at) / toSeconds(DecayTime));
    rate.at = now;
}

void DemandTracker::noteArrival(const ServiceId &service, const ReplicaKey &key, TimePoint now)
{
    auto &rate = m_rates.try_emplace({ service, key }, Rate { 0, now }).first->second;
    decay(rate, now);
    rate.weight += 1;
}

WaitId DemandTracker::startWait(const ServiceId &service, const ReplicaKey &key, double urgency,
                                TimePoint now)
{
    const auto id = m_next++;
    m_waits.emplace(id, Wait { { service, key }, urgency, now, std::nullopt });
    return id;
}

void DemandTracker::endWait(WaitId wait)
{
    m_waits.erase(wait);
}

void DemandTracker::keepUntil(WaitId wait, TimePoint until)
{
    if (const auto it = m_waits.find(wait); it != m_waits.end())
        it->second.until = until;
}

std::vector<ModelDemand> DemandTracker::demand(TimePoint now)
{
    std::erase_if(m_waits,
                  [&](const auto &it) { return it.second.until && now >= *it.second.until; });
    std::map<Key, ModelDemand> all;
    for (auto &[key, rate] : m_rates)
        decay(rate, now);
    std::erase_if(m_rates, [](const auto &it) { return it.second.weight < MinWeight; });
    for (const auto &[key, rate] : m_rates)
        all[key].arrivalsPerSecond = rate.weight / toSeconds(DecayTime);
    for (const auto &[id, wait] : m_waits) {
        auto &it = all[wait.key];
        ++it.waiting;
        it.urgency += wait.urgency;
        it.oldestWait = std::max(it.oldestWait, now - wait.since);
    }
    std::vector<ModelDemand> demand;
    for (auto &[key, it] : all) {
        it.service = key.first;
        it.key = key.second;
        demand.push_back(std::move(it));
    }
    return demand;
}

} // namespace bluebell
