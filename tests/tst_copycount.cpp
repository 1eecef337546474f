#include "placement/copycount.h"

#include <gtest/gtest.h>

using namespace bluebell;

// Load: a model that takes a fifth of 160 requests a second, each of which runs for two seconds.
// Guards against a fixed number of copies, at which the batches overflow and every stream is late.
TEST(CopyCount, CopiesFollowTheRequestsAtEngines)
{
    EXPECT_EQ(wantedCopies({ 32, 64, 16 }), 8U);
    EXPECT_EQ(wantedCopies({ 32, 96, 16 }), 12U);
    EXPECT_EQ(wantedCopies({ 32, 64, 64 }), 3U);
}

TEST(CopyCount, ShortRequestsAtAHighRateStillHaveSpareCopies)
{
    EXPECT_EQ(wantedCopies({ 1.9, 1, 16 }), 1U);
    EXPECT_EQ(wantedCopies({ 2, 1, 16 }), 2U);
    EXPECT_EQ(wantedCopies({ 10, 1, 16 }), 3U);
}

// Load: a rare model. Guards against second copies that take the room of other rare models.
TEST(CopyCount, ARareModelHasOneCopy)
{
    EXPECT_EQ(wantedCopies({ 0.3, 2, 16 }), 1U);
    EXPECT_EQ(wantedCopies({ 0, 0, 1 }), 1U);
}
