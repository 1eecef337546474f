#include "placement/storepace.h"
#include "placement/swapplanner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };
constexpr Duration LoadTime = 10200ms;

TargetId target(int n)
{
    return TargetId("t" + std::to_string(n));
}

/// A weight store that runs `fullSpeed` loads at full speed, and keeps `concurrent` loads running.
class Store
{
public:
    Store(std::size_t fullSpeed, std::size_t concurrent) : m_fullSpeed(fullSpeed)
    {
        for (std::size_t n = 0; n < concurrent; ++n)
            begin();
    }

    /// Completes `count` loads; each is replaced by another.
    void complete(int count)
    {
        while (m_completed < count)
            step();
    }
    void run(Duration time)
    {
        for (Duration t {}; t < time; t += 25ms)
            step();
    }

    [[nodiscard]] const StorePace &pace() const { return m_pace; }

private:
    void begin()
    {
        const auto id = target(m_next++);
        m_left[id] = LoadTime;
        m_pace.noteStarted(id, ModelId("m"), LoadTime, m_now);
    }
    void step()
    {
        constexpr Duration Step = 25ms;
        m_now += Step;
        m_pace.advance(m_now);
        const auto speed = std::min(1.0, double(m_fullSpeed) / double(m_left.size()));
        std::vector<TargetId> done;
        for (auto &[id, left] : m_left) {
            left -= std::chrono::duration_cast<Duration>(Step * speed);
            if (left <= Duration::zero())
                done.push_back(id);
        }
        for (const auto &id : done) {
            m_left.erase(id);
            m_pace.noteEnded(id, true, m_now);
            ++m_completed;
            begin();
        }
    }

    std::size_t m_fullSpeed;
    StorePace m_pace;
    std::map<TargetId, Duration> m_left;
    TimePoint m_now = Start;
    int m_next = 0;
    int m_completed = 0;
};

} // namespace

/// Load: 66 rare requests per second over 248 models, 2 loads at full speed, 10.2 s each. With four
/// assumed, waiting requests were told half the time that a load really took.
TEST(StorePace, LearnsThatTwoLoadsRunAtFullSpeed)
{
    Store store(2, 4);
    EXPECT_EQ(store.pace().fullSpeedLoads(), 4U);
    store.complete(4);
    EXPECT_EQ(store.pace().fullSpeedLoads(), 2U);
    EXPECT_NEAR(store.pace().slowdownOfNext(), 2.5, 0.01);
}

/// The first requests that wait for a slow load must not wait for its end to get a true estimate.
TEST(StorePace, ALoadThatTakesTooLongCorrectsTheEstimateBeforeItEnds)
{
    Store store(2, 4);
    store.run(LoadTime + 1500ms);
    EXPECT_LE(store.pace().fullSpeedLoads(), 3U);
    EXPECT_GT(store.pace().timeLeft(target(0)), 1s);
}

/// Deployments where four loads run at full speed must be served as before.
TEST(StorePace, KeepsFourWhereFourRunAtFullSpeed)
{
    Store store(4, 4);
    store.run(35s);
    EXPECT_EQ(store.pace().fullSpeedLoads(), 4U);
}

/// Urgent loads beyond the estimate show that more run at full speed.
TEST(StorePace, RaisesTheEstimateWhenMoreLoadsAreNotSlower)
{
    Store store(8, 6);
    store.complete(6);
    EXPECT_EQ(store.pace().fullSpeedLoads(), 6U);
}

/// One hung engine says nothing about the weight store.
TEST(StorePace, AStuckLoadDoesNotLowerTheEstimate)
{
    StorePace pace;
    pace.noteStarted(target(0), ModelId("m"), LoadTime, Start);
    pace.noteStarted(target(1), ModelId("n"), LoadTime, Start);
    pace.noteEnded(target(1), true, Start + LoadTime + 300ms);
    pace.advance(Start + 60s);
    EXPECT_EQ(pace.fullSpeedLoads(), 4U);
}

/// A failed load ends early; its duration must not count as a fast one.
TEST(StorePace, AFailedLoadTeachesNothing)
{
    StorePace pace;
    for (int n = 0; n < 6; ++n)
        pace.noteStarted(target(n), ModelId("m"), LoadTime, Start);
    for (int n = 0; n < 6; ++n)
        pace.noteEnded(target(n), false, Start + 1s);
    EXPECT_EQ(pace.fullSpeedLoads(), 4U);
}
