#include "core/memorybudget.h"

#include <gtest/gtest.h>

#include <deque>

using namespace bluebell;

namespace {

constexpr std::size_t Limit = 1000;

} // namespace

TEST(MemoryBudget, ASingleHolderGetsHalfOfIt)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    MemoryShare share(budget);
    EXPECT_TRUE(share.grow(500));
    EXPECT_FALSE(share.grow(1));
    EXPECT_EQ(budget->held(), 500U);
}

TEST(MemoryBudget, ManyLargeHoldersLeaveRoomForASmallOne)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    std::deque<MemoryShare> large;
    for (int n = 0; n < 20; ++n)
        large.emplace_back(budget);
    bool hasGrown = true;
    while (hasGrown) {
        hasGrown = false;
        for (auto &it : large)
            hasGrown = it.grow(1) || hasGrown;
    }
    EXPECT_LT(budget->held(), Limit);
    MemoryShare small(budget);
    EXPECT_TRUE(small.grow(Limit - budget->held()));
    EXPECT_EQ(budget->peak(), Limit);
}

TEST(MemoryBudget, AHolderReturnsItsBytes)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    {
        MemoryShare share(budget);
        EXPECT_TRUE(share.grow(400));
        EXPECT_TRUE(share.resize(100));
        EXPECT_EQ(budget->held(), 100U);
    }
    EXPECT_EQ(budget->held(), 0U);
}

TEST(MemoryBudget, AShareWithoutBudgetIsUnlimited)
{
    MemoryShare share(nullptr);
    EXPECT_TRUE(share.grow(Limit * Limit));
}

/// Guards against an underflow of the free bytes.
TEST(MemoryBudget, ALowerLimitAdmitsNothingUntilBytesAreReturned)
{
    const auto budget = std::make_shared<MemoryBudget>(Limit);
    MemoryShare share(budget);
    EXPECT_TRUE(share.grow(400));
    budget->setLimit(100);
    EXPECT_FALSE(share.grow(1));
    EXPECT_TRUE(share.resize(20));
    EXPECT_TRUE(share.resize(40));
    EXPECT_EQ(share.size(), 40U);
}
