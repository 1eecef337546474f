#include "core/readprogress.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

const TimePoint Now = TimePoint() + 100s;

} // namespace

TEST(ReadProgress, TheLongestStalledRequestIsChosen)
{
    const std::vector<ReadProgress> requests = { { Now - 2s, 10 },
                                                 { Now - 5s, 20 },
                                                 { Now, 9000 } };
    EXPECT_EQ(chooseStalled(requests, Now), 1U);
    EXPECT_EQ(chooseForMemory(requests, 0, Now), 1U);
}

TEST(ReadProgress, RequestsWithProgressAreNotClosedForAnotherConnection)
{
    EXPECT_EQ(chooseStalled({ { Now, 10 }, { Now - StallTime / 2, 20 } }, Now), std::nullopt);
    EXPECT_EQ(chooseStalled({}, Now), std::nullopt);
}

/// Guards against small requests that are refused while large ones hold the memory.
TEST(ReadProgress, AMuchLargerRequestGivesWayToASmallOne)
{
    const std::vector<ReadProgress> requests = { { Now, 5000 }, { Now, 9000 }, { Now, 4000 } };
    EXPECT_EQ(chooseForMemory(requests, 1000, Now), 1U);
    EXPECT_EQ(chooseForMemory(requests, 4500, Now), std::nullopt);
}
