#pragma once

#include "core/ids.h"
#include "placement/ledger.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

/// \file
/// What engines hold, told by the holder of the role as changes.

namespace bluebell {

/// What can serve requests at each target.
using Residents = std::map<TargetId, std::set<ReplicaKey>>;

/// Changes of what targets hold. A receiver that knows all changes up to `base` knows all up to
/// `number` with these.
struct PlacementNews
{
    /// 0 when everything is told.
    std::uint64_t base = 0;
    std::uint64_t number = 0;
    /// All that a target holds which has changed; nothing when it has left.
    Residents changed;
};

/// The holder's side: numbers the changes, and tells each in several messages, so that a lost
/// message is made up for by the next.
class PlacementLog
{
public:
    /// Messages in which a change is told.
    static constexpr std::size_t TimesTold = 4;

    // Events.

    /// Takes in what targets hold now.
    void note(Residents residents);

    // Actions.

    /// \returns the changes for the next message to all
    [[nodiscard]] PlacementNews nextNews();

    // Questions.

    [[nodiscard]] const Residents &residents() const noexcept { return m_residents; }
    /// \returns everything
    [[nodiscard]] PlacementNews whole() const;

private:
    Residents m_residents;
    std::uint64_t m_number = 0;
    /// Number of the last change of each target, also of those that have left lately.
    std::map<TargetId, std::uint64_t> m_changedAt;
    /// Numbers of the latest messages, the oldest first.
    std::deque<std::uint64_t> m_told;
};

/// The other daemons' side: puts the changes together.
class PlacementView
{
public:
    // Events.

    /// Takes in news of the holder with this incarnation and epoch.
    void take(const IncarnationId &holder, Epoch epoch, const PlacementNews &news);

    // Questions.

    /// \returns whether changes are missing, so that the holder has to be asked for everything
    [[nodiscard]] bool isIncomplete() const noexcept { return !m_isWhole; }
    /// \returns whether everything was known at some time; what was missed since may be old
    [[nodiscard]] bool isUsable() const noexcept { return m_wasWhole; }
    [[nodiscard]] const Residents &residents() const noexcept { return m_residents; }

private:
    void apply(const Residents &changed);

    IncarnationId m_holder;
    Epoch m_epoch = 0;
    Residents m_residents;
    /// The newest news that were not a whole.
    PlacementNews m_last;
    std::uint64_t m_number = 0;
    bool m_isWhole = false;
    bool m_wasWhole = false;
};

} // namespace bluebell
