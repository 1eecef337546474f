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
/// Chooses the target of a request at one daemon.

namespace bluebell {

/// What one daemon knows of one target.
struct TargetView
{
    /// Requests that the target says it runs and queues, over all daemons, seen with a lag.
    std::uint32_t reportedLoad = 0;
    std::uint32_t slots = 1;
    bool isLeaving = false;
    TimePoint reportedAt;
    /// Requests of this daemon that are under way.
    std::uint32_t inFlight = 0;
    /// This daemon's part of reportedLoad when the report was taken.
    std::uint32_t inFlightAtReport = 0;
    /// No new work is sent before this time, after failures.
    TimePoint avoidUntil;
    std::uint32_t failures = 0;
};

/// Picks the target with the least reported load; the baseline, which herds.
struct LeastReported
{
};

/// Picks the better of two random targets by reported load, corrected by this daemon's own
/// requests.
struct TwoChoices
{
};

using RoutingPolicy = std::variant<TwoChoices, LeastReported>;

/// Decides which of the targets that can serve a request gets it.
///
/// A target whose report is older than `reportLifetime` is not sent new work before it has been
/// asked whether it is leaving, so that also a daemon that has just started never uses a leaving
/// target.
class Router
{
public:
    struct Settings
    {
        Duration reportLifetime = std::chrono::milliseconds(2500);
        Duration firstAvoidance = std::chrono::milliseconds(200);
        Duration longestAvoidance = std::chrono::seconds(5);
        /// Requests that one daemon has under way at one target, as a multiple of its slots.
        double inFlightPerSlot = 1.0;
    };

    /// The report of this target must be fetched first.
    struct NeedsReport
    {
        TargetId target;
    };
    /// Send the request to this target.
    struct Chosen
    {
        TargetId target;
    };
    /// No target can take the request now.
    struct NoneFree
    {
    };
    using Choice = std::variant<Chosen, NeedsReport, NoneFree>;

    Router(RoutingPolicy policy, Settings settings, std::uint64_t seed);

    // Events.

    void noteReport(const TargetId &target, std::uint32_t load, std::uint32_t slots, bool isLeaving,
                    TimePoint now);
    void noteStarted(const TargetId &target);
    void noteFinished(const TargetId &target);
    /// Notes that the target could not be reached or refused work.
    void noteFailure(const TargetId &target, TimePoint now);
    void noteSuccess(const TargetId &target);

    // Decision.

    [[nodiscard]] Choice choose(const std::set<TargetId> &candidates, TimePoint now);

    // Questions.

    [[nodiscard]] const TargetView *find(const TargetId &target) const;

private:
    [[nodiscard]] bool mayTake(const TargetView &view, TimePoint now) const;
    [[nodiscard]] bool isFresh(const TargetView &view, TimePoint now) const;
    [[nodiscard]] static double loadOf(const TargetView &view);

    RoutingPolicy m_policy;
    Settings m_settings;
    std::mt19937_64 m_random;
    std::map<TargetId, TargetView> m_views;
};

} // namespace bluebell
