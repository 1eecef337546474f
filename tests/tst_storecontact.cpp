#include "site/storecontact.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint() + 100s;

} // namespace

TEST(StoreContact, AReplyToALaterCallEndsAnOutage)
{
    StoreContact contact;
    EXPECT_FALSE(contact.isLost());
    contact.noteFailure(Start);
    EXPECT_TRUE(contact.isLost());
    EXPECT_TRUE(contact.noteReply(Start + 1s));
    EXPECT_FALSE(contact.isLost());
    EXPECT_FALSE(contact.noteReply(Start + 2s));
}

TEST(StoreContact, AReplyToAnEarlierCallProvesNothing)
{
    StoreContact contact;
    contact.noteFailure(Start + 1s);
    EXPECT_FALSE(contact.noteReply(Start));
    EXPECT_TRUE(contact.isLost());
}

TEST(StoreContact, ACallMayBeLostAfterALaterOneWasAnswered)
{
    StoreContact contact;
    EXPECT_FALSE(contact.noteReply(Start + 1s));
    contact.noteFailure(Start);
    EXPECT_TRUE(contact.isLost());
    EXPECT_TRUE(contact.noteReply(Start + 2s));
}

TEST(StoreContact, AFailureOfACallThatIsRepeatedAnywayProvesNothing)
{
    StoreContact contact;
    contact.noteFailure(Start);
    EXPECT_TRUE(contact.noteReply(Start + 2s));
    contact.noteFailure(Start + 1s);
    EXPECT_FALSE(contact.isLost());
}

TEST(StoreContact, TheTimeOfAFailedCallCountsForThePauseAfterIt)
{
    EXPECT_EQ(pauseBeforeRetry(Start, 800ms, Start + 100ms), 700ms);
    EXPECT_EQ(pauseBeforeRetry(Start, 800ms, Start + 900ms), 0ms);
}
