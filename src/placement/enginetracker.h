#pragma once

#include "core/time.h"
#include "placement/placementorder.h"
#include "site/siteconfig.h"
#include "site/targetregistry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// State of one engine as the leader knows it.

namespace bluebell {

/// \returns the memory that a model or an adapter takes; infinite if the engine's configuration
/// does not contain the model
[[nodiscard]] Megabytes sizeOf(const EngineSpec &engine, const ReplicaKey &key);

/// Expected duration of an order.
struct OrderTiming
{
    Duration duration {};
    /// Whether the order loads from the weight store.
    bool isFromStore = false;
    /// Whether the order counts as completed after `duration`, without waiting for a report.
    bool hasFixedDuration = false;
    /// Shortest possible duration; reports before it are of no use.
    Duration leastDuration {};
};

/// Tracks one engine: its resident replicas, the order in progress and when the next report is due.
///
/// At most one order is in progress. Memory counts as used from the decision to load until the
/// unload has completed. An order carries the number of orders that the engine must have accepted
/// before, so that an order without a response can be resent unchanged until that number has
/// increased.
class EngineTracker
{
public:
    // Events.

    /// Updates the registry entry. All state is reset when the entry is of another run of the
    /// target.
    void noteEntry(const TargetEntry &entry, TimePoint now);
    /// Applies a report. One with a lower sequence than already known only shows that the engine
    /// responds.
    void noteReport(const EngineState &state, TimePoint now);
    /// Records that a report request got no response.
    ///
    /// \param isRefused whether the engine's machine has refused the connection
    void noteReportFailed(bool isRefused) noexcept;
    /// Records that another run of an engine responds at the address.
    void noteOtherRun() noexcept { m_refusals = EndedAfterRefusals; }
    /// Notes for how long the engine wants to be sent nothing; zero for no hold-off.
    void noteHoldOff(Duration left) noexcept { m_holdOffLeft = left; }
    /// Notes whether the engine's data centre is evacuated. When that has ended, orders are sent
    /// only after a new report.
    void noteEvacuated(bool isEvacuated, TimePoint now);
    /// Records that requests use a model or an adapter.
    void noteUse(const ReplicaKey &key, TimePoint now) { m_lastUsed[key] = now; }
    /// Applies the outcome of the order in progress; outcomes of other orders are ignored.
    void noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now);
    /// Completes the order in progress if it has a fixed duration and that has elapsed.
    void completeTimedOrder(TimePoint now);
    /// Corrects the expected remaining time of the order in progress.
    void noteTimeLeft(Duration left, TimePoint now);
    /// Makes a report due now, unless one is scheduled or arrived within the last 300 ms.
    void requestReport(TimePoint now);

    // Actions.

    /// Starts an order; it stays in progress until it completes or its outcome ends it.
    [[nodiscard]] PlacementOrder beginOrder(IntentAction action, const ReplicaKey &key,
                                            const OrderTiming &timing, TimePoint now);
    /// \returns an order without a response that is due to be resent
    [[nodiscard]] std::optional<PlacementOrder> takeOrderToResend(TimePoint now);
    /// Notes that a report is requested now; it is due again if it does not arrive.
    void noteReportRequested(TimePoint now);

    // Queries.

    [[nodiscard]] const TargetEntry &entry() const noexcept { return m_entry; }
    [[nodiscard]] const EngineState &state() const noexcept { return m_state; }
    /// \returns the order in progress, or null
    [[nodiscard]] const PlacementOrder *order() const noexcept;
    /// \returns since when a report is due, or nothing if none is
    ///
    /// \param idleInterval time after which a report of an engine without orders is due
    [[nodiscard]] std::optional<TimePoint> reportDueSince(Duration idleInterval,
                                                          TimePoint now) const;
    /// \returns whether an order or waiting requests depend on the next report
    [[nodiscard]] bool isReportUrgent() const noexcept { return m_pending || m_isReportWanted; }
    [[nodiscard]] bool isLoading(const ReplicaKey &key) const;
    [[nodiscard]] bool isLoadingFromStore() const noexcept;
    /// \returns the expected remaining time of the order in progress, or zero
    [[nodiscard]] Duration timeLeft(TimePoint now) const;
    /// \returns the replicas that can serve requests, without those being unloaded
    [[nodiscard]] std::set<ReplicaKey> serving() const;
    [[nodiscard]] bool serves(const ReplicaKey &key) const;
    [[nodiscard]] TimePoint lastUsedAt(const ReplicaKey &key) const;
    [[nodiscard]] bool isEvacuated() const noexcept { return m_isEvacuated; }
    /// \returns whether the engine belongs to the service, is not draining and not evacuated,
    /// responds to report requests and has no long hold-off
    [[nodiscard]] bool isUsable(const ServiceId &service) const;
    /// \returns whether the engine accepts orders, now or after the order in progress
    [[nodiscard]] bool acceptsOrders(const ServiceId &service) const;
    /// \returns whether the process of this run has ended, although its entry is still listed
    [[nodiscard]] bool hasEnded() const noexcept { return m_refusals >= EndedAfterRefusals; }
    /// \returns whether the latest report request got a response
    [[nodiscard]] bool isResponding() const noexcept { return m_missedReports == 0; }
    /// \returns whether no order is in progress and no backoff is active
    [[nodiscard]] bool isFree(TimePoint now) const { return !m_pending && now >= m_backoffUntil; }
    /// \returns whether the engine has asked to be sent nothing
    [[nodiscard]] bool isHeldOff() const noexcept { return m_holdOffLeft > Duration::zero(); }
    /// \returns the expected time until isFree()
    [[nodiscard]] Duration timeUntilFree(TimePoint now) const;
    [[nodiscard]] Megabytes freeMemory(const EngineSpec &engine) const;
    /// \returns the memory that is free for adapters
    ///
    /// The engine accepts adapter orders while a model is unloading, so the memory of that model
    /// does not count as free yet.
    [[nodiscard]] Megabytes freeForAdapters(const EngineSpec &engine) const;
    /// \returns the models that would have no copy left on this engine once it has loaded `model`
    ///
    /// The engine's memory and disk evict the least recently used copies. Copies whose last use is
    /// not known are all taken to be the next ones. Where the configuration does not state the room
    /// for copies, nothing is evicted.
    [[nodiscard]] std::vector<ModelId> copiesLostByLoading(const EngineSpec &engine,
                                                           const ModelId &model) const;
    /// \returns the number of adapter slots that are, or may still be, in use
    [[nodiscard]] std::size_t adapterSlotsTaken() const;
    /// \returns the least recently used adapter; nothing while a model or an adapter is unloading
    [[nodiscard]] std::optional<ReplicaKey> leastRecentlyUsedAdapter() const;

private:
    /// Consecutive refused connections after which the process has ended: a partition and a full
    /// queue of connections show as timeouts.
    static constexpr unsigned EndedAfterRefusals = 2;

    enum class Phase : std::uint8_t {
        /// Sent, no response yet.
        Sent,
        /// Accepted, being executed.
        InProgress,
        /// No response in time; to be resent.
        Unknown,
    };

    struct Pending
    {
        PlacementOrder order;
        OrderTiming timing;
        Phase phase = Phase::Sent;
        TimePoint expectedEnd;
        /// No report before this time can show the end.
        TimePoint earliestEnd;
        TimePoint resendAt;
    };

    /// \returns the copies that a place with this room evicts for another model
    [[nodiscard]] std::set<ModelId> evictedCopies(const std::set<ModelId> &copies,
                                                  const EngineSpec &engine, Megabytes room,
                                                  const ModelId &model) const;
    void noteAccepted(TimePoint now);
    /// Replaces the tracked state by a report while no order is in progress.
    void adoptReport(const EngineState &state, TimePoint now);
    [[nodiscard]] TimePoint nextReportOfOrder(TimePoint now) const;
    void finish(TimePoint now);
    void finishUnload(const ModelId &model);

    TargetEntry m_entry;
    EngineState m_state;
    std::optional<Pending> m_pending;
    /// No order is started before this time, after a failed or rejected one.
    TimePoint m_backoffUntil;
    /// When the next report is due; empty while none is scheduled.
    std::optional<TimePoint> m_reportAt;
    TimePoint m_reportedAt;
    /// Whether waiting requests depend on the report that is due.
    bool m_isReportWanted = false;
    /// Whether this run of the engine has sent a report.
    bool m_hasReport = false;
    /// Consecutive report requests without a response.
    unsigned m_missedReports = 0;
    /// Those of them in a row whose connection was refused.
    unsigned m_refusals = 0;
    /// Time until the end of the engine's hold-off.
    Duration m_holdOffLeft {};
    bool m_isEvacuated = false;
    std::map<ReplicaKey, TimePoint> m_lastUsed;
    /// When a model was last loaded or unloaded, which uses its copies in memory and on disk.
    std::map<ModelId, TimePoint> m_copyUsed;
    /// A model with its adapters whose unload counts as completed by its duration, without a
    /// report. Its memory and adapter slots stay unavailable to adapters, because the engine
    /// accepts adapter orders while a model is unloading.
    std::set<ReplicaKey> m_unloadingModel;
    /// Adapters whose unload was accepted while requests use them, with the time after which an
    /// adapter that is still reported counts as resident again, so that it can be unloaded once
    /// more.
    std::map<ReplicaKey, TimePoint> m_unloadingAdapters;
};

} // namespace bluebell
