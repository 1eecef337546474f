#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <array>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

/// \file
/// How many loads from the weight store run at full speed.

namespace bluebell {

/// Learns from the durations of loads how many loads from the weight store run at full speed.
///
/// The configuration does not state that number. Loads in progress beyond it share the weight
/// store's throughput, so each of them slows in proportion. For each load and each possible number,
/// the work that the load would have done by now is summed up; the number for which that sum equals
/// the configured duration when the load completes is the right one. Numbers that explain the
/// measurements equally well cannot be told apart; the one nearest to the current estimate is kept.
class StorePace
{
public:
    /// Largest number that can be learned.
    static constexpr std::size_t MaxLoads = 12;
    /// Estimate without measurements. Where fewer are right, the first load that takes too long
    /// corrects it.
    static constexpr std::size_t InitialLoads = 4;

    // Events.

    /// \param duration configured duration at full speed
    void noteStarted(const TargetId &target, const ModelId &model, Duration duration,
                     TimePoint now);
    /// Records that a load has ended.
    ///
    /// \param isComplete whether the model is resident; a failed load teaches nothing
    void noteEnded(const TargetId &target, bool isComplete, TimePoint now);
    /// Accounts for the time since the last event.
    void advance(TimePoint now);

    // Queries.

    [[nodiscard]] std::size_t fullSpeedLoads() const noexcept { return m_fullSpeedLoads; }
    /// \returns the loads in progress
    [[nodiscard]] std::vector<std::pair<TargetId, ModelId>> inProgress() const;
    /// \returns the factor by which one more load would be slower than at full speed
    [[nodiscard]] double slowdownOfNext() const;
    /// \returns the expected remaining time of a load in progress; zero for an unknown one
    [[nodiscard]] Duration timeLeft(const TargetId &target) const;

private:
    /// One value for each number of loads at full speed, from 1 to MaxLoads.
    using ByNumber = std::array<double, MaxLoads>;

    struct Load
    {
        ModelId model;
        double seconds = 0;
        /// Seconds of full speed done by now.
        ByNumber done {};
        std::size_t mostInProgress = 1;
    };

    void learn(const Load &load);
    /// \returns the largest number that does not contradict the loads in progress
    [[nodiscard]] static std::size_t boundOf(const Load &load);
    void updateEstimate();

    std::map<TargetId, Load> m_loads;
    /// Recent relative errors.
    ByNumber m_errors {};
    std::size_t m_learned = InitialLoads;
    std::size_t m_fullSpeedLoads = InitialLoads;
    TimePoint m_advancedAt;
};

} // namespace bluebell
