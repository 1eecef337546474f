#include "core/clockwatch.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr Duration Interval = 500ms;

/// Advances each clock independently.
struct ClockWatchTest : public ::testing::Test
{
    ClockWatchTest() { EXPECT_TRUE(watch.note(reading).empty()); }

    std::vector<ClockEvent> advance(Duration boot, Duration steady, Duration timeOfDay)
    {
        reading.boot += boot;
        reading.steady += steady;
        reading.timeOfDay +=
                std::chrono::duration_cast<std::chrono::system_clock::duration>(timeOfDay);
        return watch.note(reading);
    }

    ClockWatch watch { Interval };
    ClockReading reading { TimePoint(100s), {}, {} };
};

} // namespace

TEST_F(ClockWatchTest, ReportsNothingWhileAllClocksAdvanceEqually)
{
    for (int n = 0; n < 10; ++n)
        EXPECT_TRUE(advance(520ms, 520ms, 521ms).empty());
}

TEST_F(ClockWatchTest, ReportsTheLengthOfAVmSuspension)
{
    const auto events = advance(7500ms, 500ms, 7500ms);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].kind, ClockEventKind::VmSuspended);
    EXPECT_EQ(events[0].amount, 7s);
    EXPECT_TRUE(advance(500ms, 500ms, 500ms).empty());
}

TEST_F(ClockWatchTest, DistinguishesASchedulingDelayFromAVmSuspension)
{
    const auto events = advance(2500ms, 2500ms, 2500ms);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].kind, ClockEventKind::DaemonStalled);
    EXPECT_EQ(events[0].amount, 2s);
}

TEST_F(ClockWatchTest, ReportsStepsOfTheTimeOfDayInBothDirections)
{
    const auto ahead = advance(500ms, 500ms, 2500ms);
    ASSERT_EQ(ahead.size(), 1U);
    EXPECT_EQ(ahead[0].kind, ClockEventKind::TimeOfDayJumped);
    EXPECT_EQ(ahead[0].amount, 2s);
    const auto back = advance(500ms, 500ms, -1500ms);
    ASSERT_EQ(back.size(), 1U);
    EXPECT_EQ(back[0].amount, -2s);
}
