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
/// What the holder of the role knows of one engine.

namespace bluebell {

/// \returns memory that a model or an adapter takes; infinite when the engine does not name the
/// model
[[nodiscard]] Megabytes sizeOf(const EngineSpec &engine, const ReplicaKey &key);

/// How long an order should take.
struct OrderTiming
{
    Duration duration {};
    bool isFromStore = false;
    /// Whether the end is known from the time alone, without a report.
    bool endsOnTime = false;
};

/// Keeps the books of one engine: what it holds, the order under way, when to ask for a report.
///
/// One order is under way at a time. Memory counts as used from the moment when a load is decided,
/// and until the end of an unload has been seen. Since an order names the number of orders before
/// it, a lost one is repeated as it was until that number has moved on.
class EngineTrack
{
public:
    // Events.

    /// Takes in the engine's entry; another incarnation starts the books anew.
    void noteEntry(const TargetEntry &entry, TimePoint now);
    void noteReport(const EngineState &state, TimePoint now);
    void noteReportFailed() noexcept { ++m_missedReports; }
    /// Notes that requests use a model or an adapter.
    void noteUse(const ReplicaKey &key, TimePoint now) { m_lastUsed[key] = now; }
    void noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now);
    /// Ends the order under way when its time alone tells that it is done.
    void noteTime(TimePoint now);
    /// Asks for a report unless there was one lately.
    void checkSoon(TimePoint now);

    // Actions.

    /// Decides an order; it is under way until its outcome is noted.
    [[nodiscard]] PlacementOrder give(IntentAction action, const ReplicaKey &key,
                                      const OrderTiming &timing, TimePoint now);
    /// \returns the order to send again, if it is time
    [[nodiscard]] std::optional<PlacementOrder> takeRepeat(TimePoint now);
    /// \returns whether to ask for a report now
    [[nodiscard]] bool takeReportDue(TimePoint now);

    // Questions.

    [[nodiscard]] const TargetEntry &entry() const noexcept { return m_entry; }
    [[nodiscard]] const EngineState &state() const noexcept { return m_state; }
    /// \returns the order under way, or null
    [[nodiscard]] const PlacementOrder *order() const noexcept;
    [[nodiscard]] bool isLoading(const ReplicaKey &key) const;
    [[nodiscard]] bool isLoadingFromStore() const noexcept;
    /// \returns how long the order under way still takes
    [[nodiscard]] Duration timeLeft(TimePoint now) const;
    /// \returns what can serve requests, without what was told to leave
    [[nodiscard]] std::set<ReplicaKey> serving() const;
    [[nodiscard]] bool serves(const ReplicaKey &key) const;
    [[nodiscard]] TimePoint usedAt(const ReplicaKey &key) const;
    /// \returns whether requests can be served there
    [[nodiscard]] bool isUsable(const ServiceId &service) const;
    /// \returns whether an order may be decided, now or when the engine is free
    [[nodiscard]] bool takesOrders(const ServiceId &service) const;
    /// \returns whether an order may be decided now
    [[nodiscard]] bool isFree(TimePoint now) const { return !m_pending && now >= m_pausedUntil; }
    /// \returns the time until an order may be decided
    [[nodiscard]] Duration freeIn(TimePoint now) const;
    [[nodiscard]] Megabytes freeMemory(const EngineSpec &engine) const;
    /// \returns memory that is free for adapters, whose orders no unload under way holds up
    [[nodiscard]] Megabytes freeForAdapters(const EngineSpec &engine) const;
    /// \returns places that adapters hold or may still hold
    [[nodiscard]] std::size_t adapterPlacesTaken() const;
    /// \returns the adapter that was not used for the longest time, if one can leave now
    [[nodiscard]] std::optional<ReplicaKey> idlestAdapter() const;

private:
    enum class Phase : std::uint8_t {
        /// Sent, no answer yet.
        Sent,
        /// Being carried out.
        Carried,
        /// Not answered; to be repeated.
        Unknown,
    };

    struct Pending
    {
        PlacementOrder order;
        OrderTiming timing;
        Phase phase = Phase::Sent;
        TimePoint expectedEnd;
        TimePoint repeatAt;
    };

    void noteAccepted(TimePoint now);
    /// Takes over a report while no order is under way.
    void settle(const EngineState &state, TimePoint now);
    void finish(TimePoint now);
    void finishUnload(const ModelId &model);

    TargetEntry m_entry;
    EngineState m_state;
    std::optional<Pending> m_pending;
    /// No order before this time.
    TimePoint m_pausedUntil;
    /// When a report is wanted; nothing while none is.
    std::optional<TimePoint> m_reportAt;
    TimePoint m_reportedAt;
    /// Whether there was a report since the engine's start.
    bool m_isKnown = false;
    /// Reports in a row that did not come.
    unsigned m_missedReports = 0;
    std::map<ReplicaKey, TimePoint> m_lastUsed;
    /// A model with its adapters that is taken as gone by the time alone. It holds its memory and
    /// places against adapters, whose orders the engine accepts while a model is leaving.
    std::set<ReplicaKey> m_leavingModel;
    /// Adapters that were told to leave while requests use them, and when to tell them again.
    std::map<ReplicaKey, TimePoint> m_leavingAdapters;
};

} // namespace bluebell
