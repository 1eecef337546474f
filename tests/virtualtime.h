#pragma once

#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

/// \file
/// Virtual clock, task scheduler and seeded random numbers for simulations.

namespace bluebell::tests {

/// Base class of simulations.
class VirtualTime
{
public:
    explicit VirtualTime(std::uint64_t seed) : m_random(seed) { }

protected:
    /// \returns a uniformly distributed number in [0, 1)
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    /// \returns whether an event with a mean rate of `perSecond` occurs within `step`
    bool happens(double perSecond, Duration step)
    {
        return uniform() < perSecond * toSeconds(step);
    }

    /// Schedules `work` to run when `d` has passed.
    void runAfter(Duration d, std::function<void()> work)
    {
        m_due.emplace(m_now + d, std::move(work));
    }

    /// Runs the tasks that are due, in the order of their times.
    void runDueTasks()
    {
        while (!m_due.empty() && m_due.begin()->first <= m_now) {
            auto work = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            work();
        }
    }

    std::mt19937_64 m_random;
    TimePoint m_now { std::chrono::seconds(1000) };

private:
    std::multimap<TimePoint, std::function<void()>> m_due;
};

} // namespace bluebell::tests
