#pragma once

#include "relay/digest.h"
#include "relay/relaygroups.h"

#include <map>
#include <set>
#include <vector>

/// \file
/// Which daemons callers can use, as the relays know it.

namespace bluebell {

/// Failure detector of a relay for the daemons of its group, combined with the verdicts of the
/// other groups' relays.
///
/// A daemon is available if a relay of its group has heard from it, or if no relay knows better.
/// The members of a group none of whose relays sends summaries are unavailable.
class Availability
{
public:
    /// Time without a report or a summary after which a daemon counts as gone.
    static constexpr Duration ReportTimeout = std::chrono::milliseconds(2200);

    // Events.

    /// Notes that this daemon begins to act as a relay, or could not observe the others for a
    /// while.
    void restart(TimePoint now) { m_observingSince = now; }
    /// Notes when the daemons' rows have changed.
    void noteMember(const VmId &vm, TimePoint since) { m_knownSince[vm] = since; }
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

    [[nodiscard]] bool isNewMember(const VmId &vm, TimePoint now) const;
    /// \returns whether another relay of the group has heard from the daemon
    [[nodiscard]] bool isHeardByOther(const std::vector<VmId> &group, const VmId &vm,
                                      TimePoint now) const;
    /// \returns the verdict of the relays of another group
    [[nodiscard]] std::set<VmId> unavailableByRelays(const std::vector<VmId> &group,
                                                     TimePoint now) const;

    TimePoint m_observingSince;
    std::map<VmId, TimePoint> m_knownSince;
    std::map<VmId, LastReport> m_reports;
    std::map<VmId, LastSummary> m_summaries;
};

} // namespace bluebell
