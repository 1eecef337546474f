#include "placement/storepace.h"

#include <algorithm>
#include <cmath>

namespace bluebell {
namespace {

/// Weight that the errors of earlier loads keep at each new one.
constexpr double ErrorMemory = 0.6;
/// Errors that differ by less do not tell two numbers apart.
constexpr double ErrorTolerance = 0.06;
/// Share of the configured duration, and a time for the report that shows the end, by which a load
/// at full speed may take longer.
constexpr double DurationTolerance = 1.05;
constexpr double ReportTolerance = 0.5;

double speedOf(std::size_t fullSpeed, std::size_t inProgress)
{
    return std::min(1.0,
                    static_cast<double>(fullSpeed)
                            / static_cast<double>(std::max<std::size_t>(inProgress, 1)));
}

} // namespace

void StorePace::noteStarted(const TargetId &target, const ModelId &model, Duration duration,
                            TimePoint now)
{
    advance(now);
    m_loads[target] = Load { model, toSeconds(duration), {}, 1 };
    for (auto &[id, load] : m_loads)
        load.mostInProgress = std::max(load.mostInProgress, m_loads.size());
}

void StorePace::noteEnded(const TargetId &target, bool isComplete, TimePoint now)
{
    advance(now);
    const auto it = m_loads.find(target);
    if (it == m_loads.end())
        return;
    const auto load = it->second;
    m_loads.erase(it);
    if (isComplete)
        learn(load);
    updateEstimate();
}

void StorePace::advance(TimePoint now)
{
    const auto seconds = toSeconds(now - m_advancedAt);
    m_advancedAt = now;
    for (auto &[id, load] : m_loads)
        for (std::size_t n = 0; n < MaxLoads; ++n)
            load.done[n] += seconds * speedOf(n + 1, m_loads.size());
    updateEstimate();
}

void StorePace::learn(const Load &load)
{
    // A load that ran alone takes the same time with every number.
    if (load.seconds <= 0 || load.mostInProgress < 2)
        return;
    for (std::size_t n = 0; n < MaxLoads; ++n) {
        const auto excess = load.done[n] - load.seconds;
        const auto error = std::max(std::abs(excess) - ReportTolerance, 0.0) / load.seconds;
        m_errors[n] = ErrorMemory * m_errors[n] + error;
    }
    const auto least = *std::min_element(m_errors.begin(), m_errors.end());
    const auto distance = [&](std::size_t n) {
        return n > m_learned ? n - m_learned : m_learned - n;
    };
    auto best = MaxLoads * 2;
    for (std::size_t n = 1; n <= MaxLoads; ++n)
        if (m_errors[n - 1] <= least + ErrorTolerance
            && (best > MaxLoads || distance(n) < distance(best)))
            best = n;
    m_learned = best;
}

std::size_t StorePace::boundOf(const Load &load)
{
    if (load.mostInProgress < 2)
        return MaxLoads;
    const auto limit = load.seconds * DurationTolerance + ReportTolerance;
    for (auto n = MaxLoads; n > 0; --n)
        if (load.done[n - 1] <= limit)
            return n;
    // Not even the slowest speed explains the duration: the engine is stuck.
    return MaxLoads;
}

void StorePace::updateEstimate()
{
    m_fullSpeedLoads = m_learned;
    for (const auto &[id, load] : m_loads)
        m_fullSpeedLoads = std::min(m_fullSpeedLoads, boundOf(load));
}

std::vector<std::pair<TargetId, ModelId>> StorePace::inProgress() const
{
    std::vector<std::pair<TargetId, ModelId>> all;
    for (const auto &[id, load] : m_loads)
        all.emplace_back(id, load.model);
    return all;
}

double StorePace::slowdownOfNext() const
{
    return 1.0 / speedOf(m_fullSpeedLoads, m_loads.size() + 1);
}

Duration StorePace::timeLeft(const TargetId &target) const
{
    const auto it = m_loads.find(target);
    if (it == m_loads.end())
        return Duration::zero();
    const auto &load = it->second;
    const auto left = std::max(load.seconds - load.done[m_fullSpeedLoads - 1], 0.0);
    const auto speed = speedOf(m_fullSpeedLoads, m_loads.size());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(left / speed));
}

} // namespace bluebell
