#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "site/targetregistry.h"

#include <cstdint>
#include <map>
#include <utility>

/// \file
/// Times until which targets have asked this daemon to send them nothing.

namespace bluebell {

/// A target's request to be sent nothing for some time.
struct HoldOff
{
    /// Start time of the run of the target that asked, see TargetEntry::startTimeMs.
    std::uint64_t startTimeMs = 0;
    /// When it asked.
    TimePoint since;
    TimePoint until;
};

/// The hold-offs of all targets. One holds for the run of the target that asked for it; other runs
/// start without.
class HoldOffs
{
public:
    /// Longest time that a target can ask for; longer ones are cut.
    static constexpr Duration MaxLength = std::chrono::minutes(5);

    /// Notes that a target asked for a hold-off of `length` from now on. It never shortens one that
    /// is in force.
    ///
    /// \param startTimeMs start time of the run to which the request was sent
    /// \returns whether `length` was not longer than MaxLength
    bool note(const TargetId &target, std::uint64_t startTimeMs, Duration length, TimePoint now);

    /// \returns the hold-off in force for the run of the target that `entry` describes, or null
    [[nodiscard]] const HoldOff *find(const TargetEntry &entry, TimePoint now) const;

    /// \returns the targets with a hold-off in force, and its end
    [[nodiscard]] std::map<TargetId, TimePoint>
    inForce(const std::map<TargetId, TargetEntry> &targets, TimePoint now) const;

private:
    /// By target and start time of its run.
    std::map<std::pair<TargetId, std::uint64_t>, HoldOff> m_all;
};

} // namespace bluebell
