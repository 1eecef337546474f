#pragma once

#include "relay/digest.h"

#include <cstdint>
#include <map>
#include <vector>

/// \file
/// A relay's sums of what the daemons of the fleet report.

namespace bluebell {

/// Sums up requests in flight and admitted tokens over daemons that report to this relay, and over
/// the summaries of other relays.
///
/// Every daemon's requests are counted once, by its primary relay. Admitted tokens are counted by
/// differences: a daemon that changes its primary relay states how much has been counted already.
class CountAggregator
{
public:
    /// Time after which the counts of a silent daemon or relay are dropped from the sums in flight.
    static constexpr Duration ReportTimeout = std::chrono::milliseconds(2500);

    // Events.

    /// Restarts this relay's own counts at zero.
    void restart(TimePoint now);
    /// Applies a daemon's report.
    ///
    /// \param isPrimary whether this relay counts the daemon's requests
    void noteReport(const DaemonStatus &report, bool isPrimary, TimePoint now);
    void noteSummary(const GroupSummary &summary, TimePoint now);

    // Queries.

    [[nodiscard]] std::uint64_t countsId() const noexcept { return m_countsId; }
    [[nodiscard]] TimePoint restartedAt() const noexcept { return m_restartedAt; }
    /// \returns the sums over the daemons whose primary relay this is
    [[nodiscard]] RelayCounts ownCounts(TimePoint now) const;
    /// \returns the sums over the fleet
    [[nodiscard]] RelayCounts fleetCounts(TimePoint now) const;
    /// \returns the age of the oldest summary in the sums. Relays that were silent for
    /// ReportTimeout are left out: their daemons count as unavailable or have other relays.
    [[nodiscard]] Duration oldestSummaryAge(TimePoint now) const;

private:
    struct Reporter
    {
        IncarnationId incarnation;
        bool isPrimary = false;
        TimePoint at;
        std::map<TargetId, std::uint32_t> inFlight;
        /// Admitted tokens as counted here, at first as another relay has confirmed them.
        std::map<OrganisationId, Tokens> counted;
    };
    struct OtherRelay
    {
        IncarnationId incarnation;
        std::uint64_t countsId = 0;
        TimePoint at;
        RelayCounts counts;
    };

    void count(const OrganisationId &organisation, Tokens tokens);

    std::map<VmId, Reporter> m_reporters;
    std::map<VmId, OtherRelay> m_otherRelays;
    /// Tokens counted by this relay since restart().
    std::map<OrganisationId, Tokens> m_ownAdmitted;
    /// Tokens counted over the fleet since this object was made.
    std::map<OrganisationId, Tokens> m_fleetAdmitted;
    std::uint64_t m_countsId = 0;
    TimePoint m_restartedAt;
};

} // namespace bluebell
