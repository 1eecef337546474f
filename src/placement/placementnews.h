#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/ledger.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>

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

/// The holder's side: numbers the changes, and tells those of the last while in every message, so
/// that a lost message is made up for by the next.
class PlacementLog
{
public:
    /// Changes are told for this time.
    static constexpr Duration ToldFor = std::chrono::seconds(1);

    // Events.

    /// Takes in what targets hold now.
    void note(Residents residents, TimePoint now);

    // Questions.

    [[nodiscard]] const Residents &residents() const noexcept { return m_residents; }
    /// \returns the changes of the last while
    [[nodiscard]] PlacementNews news(TimePoint now) const;
    /// \returns everything
    [[nodiscard]] PlacementNews whole() const;

private:
    [[nodiscard]] PlacementNews newsAfter(std::uint64_t base) const;

    Residents m_residents;
    std::uint64_t m_number = 0;
    /// Number of the last change of each target, also of those that have left lately.
    std::map<TargetId, std::uint64_t> m_changedAt;
    /// Numbers that are still told, with their times.
    std::deque<std::pair<std::uint64_t, TimePoint>> m_recent;
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
