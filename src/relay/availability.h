#pragma once

#include "relay/digest.h"
#include "relay/relaygroups.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

/// \file
/// Which daemons callers can use, as the relays know it.

namespace bluebell {

/// Failure detector of a relay for the daemons of its group, combined with the verdicts of the
/// other groups' relays.
///
/// A daemon is available if a relay of its group has heard from it. A row in the store alone is no
/// sign of life: it may be of a VM that was lost. A relay that has just begun keeps those for
/// available that were so before, until it has observed them for long enough. The members of a
/// group none of whose relays sends summaries are unavailable.
class Availability
{
public:
    /// Time without a report or a summary after which a daemon counts as gone.
    static constexpr Duration ReportTimeout = std::chrono::milliseconds(2200);

    // Events.

    /// Notes that this daemon begins to act as a relay, or could not observe the others for a
    /// while.
    ///
    /// \param unavailable the daemons that were unavailable until now, or nothing if that is not
    /// known
    void restart(std::optional<std::set<VmId>> unavailable, TimePoint now)
    {
        m_unavailableBefore = std::move(unavailable);
        m_observingSince = now;
    }
    void removeMember(const VmId &vm);
    void noteReport(const VmId &vm, bool isReady, TimePoint now);
    void noteSummary(const GroupSummary &summary, TimePoint now);

    // Queries.

    /// \returns whether this daemon has observed the others for long enough to miss one
    [[nodiscard]] bool isSettled(TimePoint now) const
    {
        return now - m_observingSince > ReportTimeout;
    }
    /// \returns the unavailable daemons of this daemon's group
    [[nodiscard]] std::set<VmId> unavailableIn(const std::vector<VmId> &group, const VmId &self,
                                               TimePoint now) const;
    /// \returns the unavailable daemons of the fleet
    [[nodiscard]] std::set<VmId> unavailable(const RelayGroups &groups, const VmId &self,
                                             TimePoint now) const;

private:
    struct LastReport
    {
        TimePoint at;
        bool isReady = false;
    };
    struct LastSummary
    {
        TimePoint at;
        bool knowsAvailability = false;
        std::set<VmId> unavailable;
    };

    /// \returns whether a daemon that was not heard of yet counts as available, as before
    [[nodiscard]] bool isPresumedAvailable(const VmId &vm, TimePoint now) const;
    /// \returns whether another relay of the group has heard from the daemon
    [[nodiscard]] bool isHeardByOther(const std::vector<VmId> &group, const VmId &vm,
                                      TimePoint now) const;
    /// \returns the verdict of the relays of another group
    [[nodiscard]] std::set<VmId> unavailableByRelays(const std::vector<VmId> &group,
                                                     TimePoint now) const;

    TimePoint m_observingSince;
    std::optional<std::set<VmId>> m_unavailableBefore;
    std::map<VmId, LastReport> m_reports;
    std::map<VmId, LastSummary> m_summaries;
};

} // namespace bluebell
