#pragma once

#include "core/ids.h"
#include "core/rowlog.h"
#include "placement/ledger.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

/// \file
/// Replication of what engines hold, from the leader to the other daemons.

namespace bluebell {

/// The replicas that can serve requests at each target.
using ResidentReplicas = std::map<TargetId, std::set<ReplicaKey>>;

/// \returns a hash of a target and its replicas
[[nodiscard]] std::uint64_t contentHash(const TargetId &target, const std::set<ReplicaKey> &keys);

/// Changes of the replicas at targets. A receiver whose state includes change `base` is at change
/// `number` after applying them.
struct PlacementUpdate
{
    /// 0 for a snapshot, which contains all targets.
    std::uint64_t base = 0;
    /// Number of the last change included.
    std::uint64_t number = 0;
    /// For each changed target all its replicas; empty when the target was removed.
    ResidentReplicas changed;
};

/// The leader's side: numbers the changes and includes each in several consecutive messages, so
/// that receivers tolerate lost messages.
class PlacementPublisher
{
public:
    /// Number of consecutive messages that include a change.
    static constexpr std::size_t MessagesPerChange = 4;

    // Events.

    /// Replaces the current state and numbers the changes.
    void setResidents(ResidentReplicas residents);

    // Actions.

    /// \returns the content of the next message to all other daemons
    [[nodiscard]] PlacementUpdate nextUpdate();

    // Queries.

    [[nodiscard]] const ResidentReplicas &residents() const noexcept { return m_residents; }
    /// \returns the complete state
    [[nodiscard]] PlacementUpdate snapshot() const;

private:
    ResidentReplicas m_residents;
    std::uint64_t m_number = 0;
    /// Number of the last change of each target, including recently removed ones.
    std::map<TargetId, std::uint64_t> m_changedAt;
    /// `number` of each of the latest messages, the oldest first.
    std::deque<std::uint64_t> m_sentNumbers;
};

/// The receivers' side: reconstructs the leader's state from its messages, and passes it on.
class PlacementView
{
public:
    // Events.

    /// Applies a message of the leader with this incarnation and epoch; older epochs are ignored.
    void applyUpdate(const IncarnationId &leader, Epoch epoch, const PlacementUpdate &update);

    // Queries.

    /// \returns whether changes are missing, so that a snapshot must be requested from the leader
    [[nodiscard]] bool isIncomplete() const noexcept
    {
        return m_log.version() == 0 || m_log.isBehind();
    }
    /// \returns whether the state was complete at some time; parts of it may be outdated since
    [[nodiscard]] bool isUsable() const noexcept { return m_wasComplete; }
    [[nodiscard]] const ResidentReplicas &residents() const noexcept { return m_residents; }
    /// \returns the incarnation of the leader whose state this is
    [[nodiscard]] const IncarnationId &leader() const noexcept { return m_leader; }
    [[nodiscard]] Epoch epoch() const noexcept { return m_epoch; }
    /// \returns the number of the last change up to which the state is complete, 0 if it never was
    /// under this leader
    [[nodiscard]] std::uint64_t number() const noexcept { return m_log.version(); }
    /// \returns the changes after `base`, or a snapshot if that is 0 or too long ago
    [[nodiscard]] PlacementUpdate changesSince(std::uint64_t base) const;

private:
    /// Takes the replicas of these targets over from the log.
    void refresh(const std::set<TargetId> &changed);

    /// Incarnation of the leader.
    IncarnationId m_leader;
    Epoch m_epoch = 0;
    RowLog<TargetId, std::set<ReplicaKey>> m_log;
    ResidentReplicas m_residents;
    bool m_wasComplete = false;
};

} // namespace bluebell
