#pragma once

#include "relay/availability.h"
#include "relay/countaggregator.h"
#include "relay/relaygroups.h"
#include "relay/subscription.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// A daemon's part in the exchange of state through relays.

namespace bluebell {

/// A report to be sent to a relay.
struct OutgoingReport
{
    VmId relay;
    /// Identifies the report in the relay's response.
    std::uint64_t sequence = 0;
    /// Whether the relay counts this daemon's requests.
    bool isPrimary = false;
};

/// A daemon that receives digests from this one.
struct Subscriber
{
    VmId vm;
    /// Sequence of the last report that was counted, or 0.
    std::uint64_t countedReport = 0;
    bool isPrimary = false;
};

/// Sums over the other daemons of the fleet, as the primary relay tells them.
struct FleetCounts
{
    /// Identifies the relay process that made the sums.
    IncarnationId relay;
    /// Whether `inFlight` is known.
    bool hasInFlight = true;
    /// Requests of other daemons in flight, by target.
    std::map<TargetId, std::uint32_t> inFlight;
    /// Tokens that other daemons have admitted. Only differences between two values from the same
    /// relay process have a meaning.
    std::map<OrganisationId, Tokens> admitted;
    /// This daemon's own admitted tokens that the relay has counted.
    std::map<OrganisationId, Tokens> ownCounted;
    /// When the report was sent that the sums include.
    TimePoint ownCountedAt;
    /// Age of the oldest summary of another relay in the sums.
    Duration age {};
};

/// Decides whom a daemon reports to, whether it is a relay itself and what it tells others.
///
/// A daemon reports to two relays of its group. A relay sums up the reports, exchanges summaries
/// with the relays of other groups and sends digests to whoever reports to it. Any number of relays
/// may fail: those that stay silent are replaced in the order of the group's ranking, and a daemon
/// that hears from no relay reads the store itself.
class RelayNode
{
public:
    /// Time for which a daemon that has reported receives digests.
    static constexpr Duration SubscriptionTimeout = std::chrono::milliseconds(3000);
    /// Time without a digest after which a daemon reads the store itself.
    static constexpr Duration DisconnectTimeout = std::chrono::milliseconds(2600);
    /// The same for a daemon that has just started.
    static constexpr Duration StartupTimeout = std::chrono::milliseconds(1500);
    /// A daemon that was a relay for this time remains a reader of the store as long again.
    static constexpr Duration MinReadTime = std::chrono::seconds(2);

    RelayNode(VmId self, TimePoint now)
        : m_self(self), m_subscription(std::move(self)), m_startedAt(now), m_updatedAt(now)
    {
    }

    // Events.

    /// Sets the daemons that support relays, this one included.
    void setDaemons(const std::vector<RelayCandidate> &daemons);
    /// Sets whether this daemon is the leader, which takes part in the exchange between relays.
    void setLeader(bool isLeader) { m_isLeader = isLeader; }
    /// Updates the choice of relays. Call it several times a second.
    void update(TimePoint now);
    /// Records a report of another daemon.
    ///
    /// \returns false if the report is older than the last one
    bool noteReport(const DaemonStatus &report, std::uint64_t sequence, bool isPrimary,
                    TimePoint now);
    void noteSummary(const GroupSummary &summary, TimePoint now);
    /// Records a digest.
    ///
    /// \param countedReport sequence of this daemon's last report that the digest's sums include
    /// \returns the sums of other daemons, if the digest is of the primary relay
    std::optional<FleetCounts> noteDigest(const FleetDigest &digest, std::uint64_t countedReport,
                                          TimePoint now);
    /// Records this daemon's own numbers as of its next reports, which takeReports() returns.
    ///
    /// Fills in the acknowledged part of the rates.
    [[nodiscard]] std::vector<OutgoingReport> takeReports(DaemonStatus &own, TimePoint now);

    // Queries.

    /// \returns whether this daemon acts as a relay: by rank, for daemons that report to it, or
    /// because it is the leader
    [[nodiscard]] bool isRelay(TimePoint now) const;
    /// \returns whether this daemon is a relay by its rank
    [[nodiscard]] bool isRanked() const { return m_subscription.isSelfRelay(); }
    /// \returns whether this daemon reads the store's tables itself
    [[nodiscard]] bool isReader(TimePoint now) const;
    /// \returns whether a digest arrived within the time that the availability of daemons is used
    [[nodiscard]] bool knowsFleet(TimePoint now) const;
    /// \returns the relays that this daemon reports to; it may be one of them itself
    [[nodiscard]] const std::vector<VmId> &relays() const noexcept
    {
        return m_subscription.relays();
    }
    [[nodiscard]] std::vector<Subscriber> subscribers(TimePoint now) const;
    [[nodiscard]] bool isSubscriber(const VmId &vm, TimePoint now) const;
    /// \returns the relays of all groups, as far as they are known, without this daemon
    [[nodiscard]] std::set<VmId> otherRelays(TimePoint now) const;
    /// \returns the sums and the availability for a message to other relays; the caller adds its
    /// own
    ///          state
    [[nodiscard]] GroupSummary summary(TimePoint now) const;
    [[nodiscard]] RelayCounts fleetCounts(TimePoint now) const { return m_counts.fleetCounts(now); }
    /// \returns the age of the oldest summary of another relay in fleetCounts()
    [[nodiscard]] Duration countsAge(TimePoint now) const { return m_counts.oldestSummaryAge(now); }
    /// \returns the daemons that callers can't use, as last known
    [[nodiscard]] const std::set<VmId> &unavailable() const noexcept { return m_unavailable; }
    /// \returns the sums of other daemons while this daemon is its own primary relay
    [[nodiscard]] std::optional<FleetCounts> ownCounts(const DaemonStatus &own,
                                                       TimePoint now) const;

private:
    /// This daemon's numbers in a report that was sent.
    struct SentReport
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        std::map<TargetId, std::uint32_t> inFlight;
        std::map<OrganisationId, Tokens> admitted;
    };
    struct Reporter
    {
        IncarnationId incarnation;
        Duration uptime {};
        TimePoint at;
        std::uint64_t sequence = 0;
        std::uint64_t countedSequence = 0;
        bool isPrimary = false;
    };

    /// Adds the members of a group that may be its relays.
    void addRelaysOf(RelayGroups::GroupId group, TimePoint now, std::set<VmId> &relays) const;
    [[nodiscard]] bool hasSubscribers(TimePoint now) const;
    void updateRole(TimePoint now);
    void updateUnavailable(std::set<VmId> unavailable);
    /// \returns the unavailable daemons, or nothing before this daemon has heard of any
    [[nodiscard]] std::optional<std::set<VmId>> knownUnavailable() const;
    [[nodiscard]] FleetCounts countsOfOthers(IncarnationId relay, const RelayCounts &sums,
                                             const SentReport &counted) const;

    VmId m_self;
    RelayGroups m_groups;
    Subscription m_subscription;
    Availability m_availability;
    CountAggregator m_counts;
    std::map<VmId, Reporter> m_reporters;
    /// When the last summary of each other relay arrived.
    std::map<VmId, TimePoint> m_otherRelays;
    std::set<VmId> m_unavailable;
    bool m_knowsUnavailable = false;
    std::deque<SentReport> m_sentReports;
    std::uint64_t m_nextSequence = 1;
    /// Own admitted tokens that a relay has confirmed to have counted.
    std::map<OrganisationId, Tokens> m_acknowledged;
    TimePoint m_startedAt;
    TimePoint m_updatedAt;
    std::optional<TimePoint> m_relaySince;
    /// Until when this daemon reads the store in any case.
    TimePoint m_readUntil;
    bool m_isLeader = false;
};

} // namespace bluebell
