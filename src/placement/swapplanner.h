#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/ledger.h"
#include "placement/placementnews.h"
#include "site/siteconfig.h"
#include "site/targetregistry.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// Which model is loaded on which engine, and what makes way for it.

namespace bluebell {

/// What one daemon tells of one model or adapter.
struct ModelDemand
{
    ServiceId service;
    ReplicaKey key;
    /// Requests that wait for it to be loaded.
    std::uint32_t waiting = 0;
    /// Sum of the urgency of those requests; see urgencyOf().
    double urgency = 0;
    /// How long the first of them has waited.
    Duration oldestWait {};
    /// Requests a second in the last seconds, whether they waited or not.
    double arrivalsPerSecond = 0;
};

/// Requests of one model that one daemon has at one target.
struct ModelInFlight
{
    TargetId target;
    ReplicaKey key;
    std::uint32_t count = 0;
};

/// When a model that is being loaded can serve.
struct LoadEstimate
{
    ServiceId service;
    ModelId model;
    Duration readyIn {};
};

/// An order for a target. It takes effect only if no other order was accepted in between, so that a
/// late order cannot overcommit the target's memory.
struct PlacementOrder
{
    TargetId target;
    std::uint64_t born = 0;
    IntentAction action = IntentAction::Load;
    ReplicaKey key;
    /// Orders that the target must have accepted before.
    std::uint64_t expectedSequence = 0;
};

/// What became of an order.
enum class OrderOutcome : std::uint8_t {
    /// It is being carried out.
    Accepted,
    /// It is done, or there was nothing to do.
    Done,
    /// Another order is under way or was accepted before.
    Conflict,
    /// The target does not take it, or another target has the address.
    Refused,
    /// The connection was not established; the order was not sent.
    NotSent,
    /// No answer: it may have been accepted, or be accepted seconds later.
    Unknown,
};

/// \returns the weight of a waiting request by its rank; rank 0 is the most urgent
[[nodiscard]] double urgencyOf(int priority);

/// Decides on loads and unloads of all engines.
///
/// Works on what targets report and on what daemons want. At one target one order is under way at a
/// time. Memory counts as used from the moment when a load is decided; since an order names the
/// number of orders before it, a lost one is repeated as it was until the number has moved on.
class SwapPlanner
{
public:
    // Events.

    void setServices(const std::map<ServiceId, Service> &services);
    /// Takes in the entries of all targets. What a target holds is taken from its reports, which
    /// are newer; no order is given to a target before its first report.
    void noteTargets(const std::map<TargetId, TargetEntry> &targets, TimePoint now);
    /// Takes in a report that was asked for.
    void noteReport(const TargetId &target, std::uint64_t born, const EngineState &state,
                    TimePoint now);
    /// Notes that a target did not answer; after a few times it counts as away.
    void noteReportFailed(const TargetId &target);
    /// Takes in what one daemon wants and has under way.
    void noteDemand(const VmId &vm, std::vector<ModelDemand> demand,
                    std::vector<ModelInFlight> inFlight, TimePoint now);
    void noteOutcome(const PlacementOrder &order, OrderOutcome outcome, TimePoint now);
    /// Sets how long a daemon's demand counts that is not renewed.
    void setDemandLifetime(Duration lifetime) { m_demandLifetime = lifetime; }

    // Decisions.

    /// \returns the orders to send now; each is under way until its outcome is noted
    [[nodiscard]] std::vector<PlacementOrder> plan(TimePoint now);
    /// \returns the targets whose report is needed now
    [[nodiscard]] std::vector<TargetId> reportsDue(TimePoint now);

    // Questions.

    /// \returns what can serve requests at each target, without what is about to leave
    [[nodiscard]] Residents residents() const;
    /// \returns when the models can serve that are being loaded
    [[nodiscard]] std::vector<LoadEstimate> estimates(TimePoint now) const;

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
        Phase phase = Phase::Sent;
        /// How long the target should take.
        Duration duration {};
        TimePoint expectedEnd;
        TimePoint repeatAt;
        bool isFromStore = false;
        /// Whether the end is known from the time alone, without a report.
        bool endsOnTime = false;
    };

    struct TargetState
    {
        TargetEntry entry;
        EngineState engine;
        std::optional<Pending> pending;
        /// No order before this time.
        TimePoint pausedUntil;
        /// When a report is wanted; nothing while none is.
        std::optional<TimePoint> reportAt;
        TimePoint reportedAt;
        bool isKnown = false;
        /// Reports in a row that did not come.
        unsigned missedReports = 0;
        /// A model with its adapters that is taken as gone by the time alone. It holds its memory
        /// and places against adapters, whose orders the target accepts while a model is leaving.
        std::set<ReplicaKey> leavingModel;
        /// Adapters that were told to leave while requests use them, and when to tell them again.
        std::map<ReplicaKey, TimePoint> leavingAdapters;
        std::map<ReplicaKey, TimePoint> lastUsed;
    };

    struct VmDemand
    {
        std::vector<ModelDemand> demand;
        std::vector<ModelInFlight> inFlight;
        TimePoint at;
    };

    struct Wanted
    {
        ServiceId service;
        ReplicaKey key;
        std::uint32_t waiting = 0;
        double urgency = 0;
        Duration oldestWait {};
        double arrivalsPerSecond = 0;
        /// Urgency that grows with the time waited.
        [[nodiscard]] double pressure() const;
    };

    struct Candidate
    {
        TargetId target;
        Duration readyIn {};
        bool isFromStore = false;
        std::vector<ReplicaKey> victims;
    };

    void gather(TimePoint now);
    void applyState(TargetState &it, const EngineState &state, TimePoint now);
    /// Takes over a report of a target that has no order under way.
    static void settle(TargetState &it, const EngineState &state, TimePoint now);
    static void finish(TargetState &it, TimePoint now);
    static void noteAccepted(TargetState &it, const PlacementOrder &order, TimePoint now);
    [[nodiscard]] const EngineSpec *engineOf(const ServiceId &service) const;
    [[nodiscard]] const ModelSpec *specOf(const ServiceId &service, const ModelId &model) const;
    [[nodiscard]] Megabytes sizeOf(const ServiceId &service, const ReplicaKey &key) const;
    [[nodiscard]] Megabytes freeOf(const TargetState &it) const;
    /// \returns memory that is free for adapters, whose orders no unload under way holds up
    [[nodiscard]] Megabytes freeForAdapters(const TargetState &it) const;
    /// \returns places that adapters hold or may still hold
    [[nodiscard]] static std::size_t adapterPlacesTaken(const TargetState &it);
    [[nodiscard]] std::size_t copiesOf(const ReplicaKey &key, const ServiceId &service) const;
    [[nodiscard]] std::size_t comingOf(const ReplicaKey &key, const ServiceId &service) const;
    [[nodiscard]] bool isPlacedOrComing(const ReplicaKey &key, const ServiceId &service) const;
    [[nodiscard]] std::uint32_t inFlightAt(const TargetId &target, const ModelId &model) const;
    [[nodiscard]] std::uint32_t loadOf(const TargetId &target) const;
    [[nodiscard]] const Wanted *wantOf(const ServiceId &service, const ReplicaKey &key) const;
    [[nodiscard]] std::size_t storeLoadsUnderWay() const;
    [[nodiscard]] bool mayLoadFromStore(const EngineSpec &engine, TimePoint now) const;
    [[nodiscard]] double lossOf(const TargetState &it, const ReplicaKey &key) const;
    [[nodiscard]] std::optional<std::vector<ReplicaKey>>
    victimsFor(const TargetState &it, Megabytes needed, double gain) const;
    [[nodiscard]] std::optional<Candidate> bestTarget(const Wanted &wanted, TimePoint now) const;
    /// \returns whether requests can be served there
    [[nodiscard]] static bool isUsable(const TargetState &it, const ServiceId &service);
    /// \returns whether an order may be decided for the target, now or when it is free
    [[nodiscard]] static bool takesOrders(const TargetState &it, const ServiceId &service);
    /// Asks for the reports of targets that should serve what is waited for.
    void checkHolders(const Wanted &wanted, TimePoint now);
    void planAdapter(const Wanted &wanted, TimePoint now, std::vector<PlacementOrder> &orders);
    void planModel(const Wanted &wanted, TimePoint now, std::vector<PlacementOrder> &orders);
    /// Keeps more than one copy of models that are asked for often.
    void planSpares(TimePoint now, std::vector<PlacementOrder> &orders);
    /// Unloads the first victim or, when there is none, loads.
    void makeRoomOrLoad(const Candidate &candidate, const ReplicaKey &key, TimePoint now,
                        std::vector<PlacementOrder> &orders);
    void planPrefetch(TimePoint now, std::vector<PlacementOrder> &orders);
    void planRepeats(TimePoint now, std::vector<PlacementOrder> &orders);
    void order(TargetState &it, IntentAction action, const ReplicaKey &key, TimePoint now,
               std::vector<PlacementOrder> &orders);
    [[nodiscard]] Duration loadTime(const TargetState &it, const ModelId &model,
                                    bool &isFromStore) const;

    std::map<ServiceId, Service> m_services;
    std::map<TargetId, TargetState> m_targets;
    std::map<VmId, VmDemand> m_demand;
    Duration m_demandLifetime = std::chrono::milliseconds(1400);
    std::vector<Wanted> m_wanted;
    std::map<std::pair<TargetId, ModelId>, std::uint32_t> m_inFlight;
    std::map<TargetId, std::uint32_t> m_load;
    /// Targets kept free for a more urgent model during one plan.
    std::set<TargetId> m_reserved;
    /// When the latest loads from the weight store began.
    std::deque<TimePoint> m_storeLoads;
};

} // namespace bluebell
