#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// \file
/// Division of a large fleet into groups, each of which has relays.

namespace bluebell {

/// A daemon that can be a relay.
struct RelayCandidate
{
    VmId vm;
    DataCentreId dataCentre;
    /// Processor share of the VM in thousandths of a core.
    std::uint32_t capacity = 0;
};

/// Divides the daemons of each data centre into groups and ranks the members of each group.
///
/// The first two daemons of the ranking that are alive are the group's relays: they read the
/// store's tables and pass the changes on to the other members. Daemons on stronger VMs rank first.
/// Every daemon computes the groups from the daemons' rows. While daemons know different rows they
/// may disagree; a daemon therefore serves whoever reports to it.
class RelayGroups
{
public:
    using GroupId = std::size_t;

    /// Largest average size of a data centre's groups. It bounds the messages of a relay.
    static constexpr std::size_t MaxGroupSize = 40;

    RelayGroups() = default;
    explicit RelayGroups(const std::vector<RelayCandidate> &daemons);

    /// \returns the group of a daemon, or nothing if it is unknown
    [[nodiscard]] std::optional<GroupId> groupOf(const VmId &vm) const;
    /// \returns the members of a group, those that become relays first in front
    [[nodiscard]] const std::vector<VmId> &ranking(GroupId group) const
    {
        return m_rankings.at(group);
    }
    [[nodiscard]] std::size_t count() const noexcept { return m_rankings.size(); }

private:
    std::vector<std::vector<VmId>> m_rankings;
    std::map<VmId, GroupId> m_groupOf;
};

} // namespace bluebell
