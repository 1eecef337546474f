#include "relay/relaygroups.h"

#include "core/digest.h"

#include <algorithm>
#include <tuple>

namespace bluebell {

RelayGroups::RelayGroups(const std::vector<RelayCandidate> &daemons)
{
    std::map<DataCentreId, std::vector<const RelayCandidate *>> byDataCentre;
    for (const auto &it : daemons)
        byDataCentre[it.dataCentre].push_back(&it);
    for (auto &[dataCentre, members] : byDataCentre) {
        const auto groups = (members.size() + MaxGroupSize - 1) / MaxGroupSize;
        const auto first = m_rankings.size();
        m_rankings.resize(first + groups);
        std::sort(members.begin(), members.end(), [](const auto *a, const auto *b) {
            return std::tuple(b->capacity, stableHash(a->vm.value()), a->vm)
                    < std::tuple(a->capacity, stableHash(b->vm.value()), b->vm);
        });
        for (const auto *it : members) {
            const auto group = first + stableHash(it->vm.value()) % groups;
            m_rankings[group].push_back(it->vm);
            m_groupOf.emplace(it->vm, group);
        }
    }
    // A group may be empty, because its members are chosen by hash.
}

std::optional<RelayGroups::GroupId> RelayGroups::groupOf(const VmId &vm) const
{
    const auto it = m_groupOf.find(vm);
    return it == m_groupOf.end() ? std::nullopt : std::optional(it->second);
}

} // namespace bluebell
