#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/placementupdate.h"
#include "routing/coldlimits.h"
#include "routing/holdoffs.h"
#include "site/targetregistry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// Chooses the target of a request by load, data centre and recent failures.

namespace bluebell {

/// What a request requires of its target.
struct TargetRequirements
{
    ServiceId service;
    /// The model or adapter that must be resident at the target, if any.
    std::optional<ReplicaKey> key;
    /// Targets that have been tried for this request already.
    std::set<TargetId> excluded;
    /// Differs between requests; 0 if requests need not be spread.
    std::uint64_t spread = 0;
};

/// Why and until when a target gets no request of this daemon.
struct TargetHoldOff
{
    TargetId target;
    /// The hold-off that the target asked for, or its cold period as far as this daemon may not
    /// send to it.
    HoldOff holdOff;
    bool isCold = false;
};

/// Outcome of an exchange with a target.
enum class TargetOutcome : std::uint8_t {
    /// The target responded without an error of its own.
    Answered,
    /// The target reported an error of its own.
    Failed,
    /// The target refused the request because it is full.
    Full,
    /// No response, or one that could not be parsed.
    Broken,
    /// No connection could be made.
    Unreachable,
};

/// Tracks load and health of targets, and chooses the one with the lowest cost.
///
/// Used by the gateway; Router is its counterpart in the entry daemon.
///
/// A target in backoff, after a broken exchange or because it is full, has a high cost but is still
/// chosen when there is no better one. An unreachable one is not chosen at all for a short time,
/// and one that asked for a hold-off not before its end. A cold one gets few requests, and
/// only when there is no warm one with a reasonable cost.
class TargetSelector
{
public:
    /// \param dataCentre the data centre of this daemon, whose targets are preferred
    /// \param salt name of this daemon's VM, so that daemons spread over targets of equal cost
    TargetSelector(DataCentreId dataCentre, std::string salt)
        : m_dataCentre(std::move(dataCentre)), m_salt(std::move(salt)), m_coldLimits(VmId(m_salt))
    {
    }

    // Events.

    /// Notes that a request was sent to `target`, which needs `key` if given.
    void noteStarted(const TargetId &target, const std::optional<ReplicaKey> &key);
    /// Notes that a request is sent to `target`, also one that is not counted by noteStarted() yet.
    void noteSent(const TargetEntry &target, TimePoint now) { m_coldLimits.noteSent(target, now); }
    /// Notes the end of a request that was noted by noteStarted() with the same arguments.
    ///
    /// \param lasted time since its start
    void noteEnded(const TargetId &target, const std::optional<ReplicaKey> &key, Duration lasted);
    /// Notes how an exchange with the target ended.
    void noteOutcome(const TargetId &target, TargetOutcome outcome, TimePoint now);
    /// Notes that the target does not hold `key`, although it is listed as resident there.
    void noteNotResident(const TargetId &target, const ReplicaKey &key, TimePoint now);
    /// Notes that a target asked to be sent nothing for `length`; see HoldOffs::note().
    bool noteHoldOff(const TargetId &target, std::uint64_t startTimeMs, Duration length,
                     TimePoint now)
    {
        return m_holdOffs.note(target, startTimeMs, length, now);
    }
    /// Replaces the counts of requests that another daemon has in flight, by target.
    void notePeerCounts(const VmId &vm, std::map<TargetId, std::uint32_t> counts, TimePoint now);
    /// Sets how long another daemon's counts are used when they are not renewed.
    void setPeerCountsLifetime(Duration lifetime) { m_peerCountsLifetime = lifetime; }
    /// Sets the mean time from a change of another daemon's requests in flight until it is known
    /// here.
    void setPeerCountsDelay(Duration delay) { m_peerCountsDelay = delay; }
    /// Sets the data centres whose targets get no request.
    void setEvacuated(std::set<DataCentreId> dataCentres) { m_evacuated = std::move(dataCentres); }
    [[nodiscard]] ColdLimits &coldLimits() noexcept { return m_coldLimits; }
    /// Drops the health of targets that are not in `targets` and have no request of this daemon in
    /// flight.
    void retainOnly(const std::map<TargetId, TargetEntry> &targets);

    // Queries.

    /// \param residents the models and adapters that each engine holds
    /// \returns the usable target with the lowest cost, or nothing
    [[nodiscard]] std::optional<TargetId> choose(const TargetRequirements &requirements,
                                                 const std::map<TargetId, TargetEntry> &targets,
                                                 const ResidentReplicas &residents, TimePoint now);

    /// \returns the hold-off or cold period that ends first, if these are all that keeps the
    /// targets that meet the requirements from being chosen; targets that were tried already count
    /// as well
    [[nodiscard]] std::optional<TargetHoldOff>
    soonestHoldOff(const TargetRequirements &requirements,
                   const std::map<TargetId, TargetEntry> &targets,
                   const ResidentReplicas &residents, TimePoint now) const;

    /// \returns whether the target is in a data centre that is evacuated
    [[nodiscard]] bool isEvacuated(const TargetEntry &target) const
    {
        return m_evacuated.contains(target.dataCentre);
    }
    /// \returns whether the service has targets that are not leaving, and all are in evacuated data
    /// centres
    [[nodiscard]] bool isEvacuated(const ServiceId &service,
                                   const std::map<TargetId, TargetEntry> &targets) const;

    [[nodiscard]] const HoldOffs &holdOffs() const noexcept { return m_holdOffs; }

    /// \returns whether the target has just refused or failed a request of this daemon
    [[nodiscard]] bool isInBackoff(const TargetId &target, TimePoint now) const;
    /// \returns the requests of all daemons in flight at `target`
    [[nodiscard]] std::uint32_t load(const TargetId &target) const;
    /// \returns this daemon's requests in flight by target and model
    [[nodiscard]] const std::map<std::pair<TargetId, ReplicaKey>, std::uint32_t> &
    inFlight() const noexcept
    {
        return m_inFlight;
    }

private:
    struct TargetHealth
    {
        /// Requests of this daemon in flight.
        std::uint32_t ownInFlight = 0;
        /// Moving averages of broken and of failed exchanges, 0 to 1.
        double brokenRate = 0;
        double failedRate = 0;
        /// The cost is raised before this time.
        TimePoint backoffUntil;
        /// The target gets no request before this time.
        TimePoint unreachableUntil;
        std::uint32_t failuresInRow = 0;
    };
    struct PeerCounts
    {
        std::map<TargetId, std::uint32_t> counts;
        TimePoint at;
    };

    /// \returns whether the target can serve the request, apart from its health and earlier
    /// attempts
    [[nodiscard]] bool meets(const TargetRequirements &requirements, const TargetEntry &target,
                             const ResidentReplicas &residents) const;
    /// \returns the hold-off or cold period because of which `target` gets no request now
    [[nodiscard]] std::optional<TargetHoldOff> findHoldOff(const TargetEntry &target,
                                                           TimePoint now) const;
    /// \returns the cost of sending a request to `target`, in multiples of its slots
    [[nodiscard]] double costOf(const TargetEntry &target, TimePoint now) const;
    /// \returns whether the target may be chosen now
    [[nodiscard]] bool isEligible(const TargetRequirements &requirements, const TargetEntry &target,
                                  const ResidentReplicas &residents, TimePoint now) const;
    /// \returns how many requests other daemons send to `targets` until their counts arrive here
    [[nodiscard]] double uncountedArrivals(const std::vector<const TargetEntry *> &targets) const;

    DataCentreId m_dataCentre;
    std::string m_salt;
    std::map<TargetId, TargetHealth> m_health;
    /// Drops the counts of daemons that have not renewed them in time.
    void expirePeerCounts(TimePoint now);
    void subtractPeerCounts(const std::map<TargetId, std::uint32_t> &counts);

    std::map<VmId, PeerCounts> m_peerCounts;
    /// Sum of the counts of all other daemons, by target.
    std::map<TargetId, std::uint32_t> m_peerTotals;
    Duration m_peerCountsLifetime = std::chrono::milliseconds(1400);
    Duration m_peerCountsDelay = std::chrono::milliseconds(100);
    /// Moving average of the time that a request is in flight at an engine.
    Duration m_engineTime = std::chrono::seconds(1);
    std::map<std::pair<TargetId, ReplicaKey>, std::uint32_t> m_inFlight;
    std::map<std::pair<TargetId, ReplicaKey>, TimePoint> m_notResidentUntil;
    HoldOffs m_holdOffs;
    std::set<DataCentreId> m_evacuated;
    ColdLimits m_coldLimits;
};

} // namespace bluebell
