#include "streams/eventsplitter.h"

#include <gtest/gtest.h>

using namespace bluebell;

TEST(EventSplitter, ReturnsCompleteEventsOnly)
{
    EventSplitter events;
    EXPECT_EQ(events.add("id: 1\nda"), "");
    EXPECT_EQ(events.add("ta: a\n\nid: 2\n"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(events.lastId(), "1");
    EXPECT_TRUE(events.hasPartialEvent());
    EXPECT_EQ(events.add("data: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(events.lastId(), "2");
    EXPECT_FALSE(events.hasPartialEvent());
}

TEST(EventSplitter, PreservesBytes)
{
    EventSplitter events;
    const std::string text = "id:7\r\ndata: x\r\n\r\n";
    EXPECT_EQ(events.add(text), text);
    EXPECT_EQ(events.lastId(), "7");
}

TEST(EventSplitter, EverySplitPositionGivesTheSameEvents)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (std::size_t split = 0; split <= text.size(); ++split) {
        EventSplitter events;
        auto all = events.add(text.substr(0, split));
        all += events.add(text.substr(split));
        EXPECT_EQ(all, text);
        EXPECT_EQ(events.lastId(), "3");
    }
}

TEST(EventSplitter, DiscardsThePartialEventBeforeAnotherTargetResumes)
{
    EventSplitter events;
    EXPECT_EQ(events.add("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    events.discardPartialEvent();
    EXPECT_EQ(events.add("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}
