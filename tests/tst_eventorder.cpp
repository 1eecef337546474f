#include "streams/eventsplitter.h"

#include <gtest/gtest.h>

using namespace bluebell;

namespace {

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

/// A stream that broke off after the events 1 and 2.
EventSplitter brokenStream()
{
    EventSplitter it;
    EXPECT_EQ(it.add(event(1) + event(2) + "id: 3\nda"), event(1) + event(2));
    it.discardPartialEvent();
    return it;
}

void expectRejected(const std::string &text)
{
    auto it = brokenStream();
    EXPECT_EQ(it.add(text), "") << text;
    EXPECT_TRUE(it.isOutOfOrder()) << text;
    EXPECT_EQ(it.lastId(), "2");
    it.discardPartialEvent();
    EXPECT_EQ(it.add(event(3)), event(3)) << text;
    EXPECT_FALSE(it.isOutOfOrder());
}

} // namespace

TEST(EventOrder, AResumedStreamMayNotRepeatOrSkipEvents)
{
    expectRejected(event(1));
    expectRejected(event(2) + event(3));
    expectRejected(event(4));
}

TEST(EventOrder, AResumedStreamMayNotContinueWithOtherBytes)
{
    expectRejected("HTTP/1.1 500 Internal Server Error\r\n\r\n");
    expectRejected("{\"error\":\"failed\"}\n\n");
    expectRejected("data: without an id\n\n");
}

TEST(EventOrder, CommentsDoNotCountAsEvents)
{
    auto it = brokenStream();
    EXPECT_EQ(it.add(": comment\n\n"), ": comment\n\n");
    EXPECT_EQ(it.add(event(4)), "");
    EXPECT_TRUE(it.isOutOfOrder());
}

TEST(EventOrder, IrregularIdsOnlyHaveToIncrease)
{
    EventSplitter it;
    EXPECT_FALSE(it.add(event(3) + event(5) + event(9)).empty());
    it.discardPartialEvent();
    EXPECT_EQ(it.add(event(20)), event(20));
    it.discardPartialEvent();
    EXPECT_EQ(it.add(event(20)), "");
}

TEST(EventOrder, TheFirstTargetsEventsAreNotChecked)
{
    EventSplitter it;
    EXPECT_EQ(it.add(event(2) + event(2) + event(7)), event(2) + event(2) + event(7));
    EXPECT_EQ(it.lastId(), "7");
}

TEST(EventOrder, EventsWithoutAnIdCannotBeResumedAfter)
{
    EventSplitter it;
    EXPECT_TRUE(it.canResume());
    (void)it.add(event(1));
    EXPECT_TRUE(it.canResume());
    (void)it.add("data: t\n\n");
    EXPECT_FALSE(it.canResume());
}
