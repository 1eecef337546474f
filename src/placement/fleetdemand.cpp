#include "placement/fleetdemand.h"

#include <algorithm>

namespace bluebell {

double pressureOf(const ModelDemand &it)
{
    return it.urgency * (1.0 + toSeconds(it.oldestWait));
}

void FleetDemand::note(const VmId &vm, std::vector<ModelDemand> demand,
                       std::vector<ModelInFlight> inFlight, TimePoint now)
{
    m_reported[vm] = { std::move(demand), std::move(inFlight), now };
}

void FleetDemand::aggregate(TimePoint now)
{
    std::erase_if(m_reported, [&](const auto &it) { return now - it.second.at > m_lifetime; });
    std::map<std::pair<ServiceId, ReplicaKey>, ModelDemand> sum;
    m_inFlight.clear();
    m_targetLoad.clear();
    for (const auto &[vm, reported] : m_reported) {
        for (const auto &it : reported.demand) {
            auto &wanted = sum[{ it.service, it.key }];
            wanted.service = it.service;
            wanted.key = it.key;
            wanted.waiting += it.waiting;
            wanted.urgency += it.urgency;
            wanted.arrivalsPerSecond += it.arrivalsPerSecond;
            if (it.waiting > 0)
                wanted.oldestWait =
                        std::max(wanted.oldestWait, it.oldestWait + (now - reported.at));
        }
        for (const auto &it : reported.inFlight) {
            m_inFlight[{ it.target, it.key.model }] += it.count;
            m_targetLoad[it.target] += it.count;
        }
    }
    m_total.clear();
    for (auto &[key, wanted] : sum)
        m_total.push_back(std::move(wanted));
    std::sort(m_total.begin(), m_total.end(),
              [](const auto &a, const auto &b) { return pressureOf(a) > pressureOf(b); });
}

std::uint32_t FleetDemand::inFlightAt(const TargetId &target, const ModelId &model) const
{
    const auto it = m_inFlight.find({ target, model });
    return it == m_inFlight.end() ? 0 : it->second;
}

std::uint32_t FleetDemand::targetLoad(const TargetId &target) const
{
    const auto it = m_targetLoad.find(target);
    return it == m_targetLoad.end() ? 0 : it->second;
}

} // namespace bluebell
