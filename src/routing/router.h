#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

/// \file
/// Chooses the target of a request on one daemon.

namespace bluebell {

/// State of one target as seen by one daemon.
struct TargetView
{
    /// Requests of all daemons that run or wait at the target, from its last report.
    std::uint32_t reportedLoad = 0;
    std::uint32_t slots = 1;
    bool isLeaving = false;
    TimePoint reportedAt;
    /// Requests of this daemon in flight at the target.
    std::uint32_t inFlight = 0;
    /// `inFlight` when the last report arrived; estimates this daemon's part of reportedLoad.
    std::uint32_t inFlightAtReport = 0;
    /// No new request is sent before this time, after failures.
    TimePoint backoffUntil;
    /// Consecutive failures.
    std::uint32_t failures = 0;
};

/// Picks the target with the least reported load. It is the baseline for comparison: all daemons
/// send to the same target until its next report (herding).
struct LeastReported
{
};

/// Picks the less loaded of two random targets by reported load, corrected by this daemon's own
/// requests since the report.
struct TwoChoices
{
};

using RoutingPolicy = std::variant<TwoChoices, LeastReported>;

/// Decides which of the candidate targets gets a request.
///
/// Used by the entry daemon; TargetSelector is its counterpart in the gateway.
///
/// A target whose report is older than `reportLifetime` gets no new request until a new report has
/// been fetched. So even a daemon that has just started never uses a target that is leaving.
class Router
{
public:
    struct Settings
    {
        /// How long a report counts as current.
        Duration reportLifetime = std::chrono::milliseconds(2500);
        /// Backoff after the first failure of a target; doubles with each consecutive one.
        Duration initialBackoff = std::chrono::milliseconds(200);
        /// Upper bound of the backoff.
        Duration maxBackoff = std::chrono::seconds(5);
        /// The most requests that one daemon has in flight at one target, as a multiple of its
        /// slots.
        double inFlightPerSlot = 1.0;
    };

    /// A new report of this target must be fetched before the request can be sent.
    struct NeedsReport
    {
        TargetId target;
    };
    /// The request should be sent to this target.
    struct Chosen
    {
        TargetId target;
    };
    /// No candidate can take the request now.
    struct NoneAvailable
    {
    };
    using Choice = std::variant<Chosen, NeedsReport, NoneAvailable>;

    Router(RoutingPolicy policy, Settings settings, std::uint64_t seed);

    // Events.

    void noteReport(const TargetId &target, std::uint32_t load, std::uint32_t slots, bool isLeaving,
                    TimePoint now);
    void noteStarted(const TargetId &target);
    void noteFinished(const TargetId &target);
    /// Notes that the target could not be reached or refused a request, and starts or doubles its
    /// backoff.
    void noteFailure(const TargetId &target, TimePoint now);
    /// Ends the backoff of the target.
    void noteSuccess(const TargetId &target);

    // Decision.

    [[nodiscard]] Choice choose(const std::set<TargetId> &candidates, TimePoint now);

    // Queries.

    [[nodiscard]] const TargetView *find(const TargetId &target) const;

private:
    [[nodiscard]] bool isAvailable(const TargetView &view, TimePoint now) const;
    [[nodiscard]] bool isFresh(const TargetView &view, TimePoint now) const;
    [[nodiscard]] static double relativeLoad(const TargetView &view);

    RoutingPolicy m_policy;
    Settings m_settings;
    std::mt19937_64 m_random;
    std::map<TargetId, TargetView> m_views;
};

} // namespace bluebell
