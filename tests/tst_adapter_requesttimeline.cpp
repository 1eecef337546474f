#include "ctl/requesttimeline.h"

#include <gtest/gtest.h>

#include <sstream>

using namespace bluebell;
using namespace bluebell::ctl;

namespace {

std::string line(const std::string &time, const std::string &message, const std::string &fields)
{
    return R"({"time":"2026-08-26T19:08:)" + time + R"(Z","level":"info","program":"p","message":")"
            + message + '"' + (fields.empty() ? "" : "," + fields) + "}\n";
}

std::vector<LogLine> linesOf(const std::string &text, const std::string &source)
{
    std::istringstream in(text);
    const auto log = readLog(in, source);
    EXPECT_EQ(log.unreadable, 0U);
    return log.lines;
}

std::vector<std::string> messagesOf(const std::vector<LogLine> &timeline)
{
    std::vector<std::string> messages;
    for (const auto &it : timeline)
        messages.push_back(it.message);
    return messages;
}

} // namespace

TEST(RequestTimeline, ParsesALineWithACollectorPrefix)
{
    const auto it = parseLogLine(R"(  -9.9632 front-1 {"time":"2026-08-26T19:08:54.036Z",)"
                                 R"("message":"started","vm":"front-1","n":7})",
                                 "");
    ASSERT_TRUE(it);
    EXPECT_EQ(it.value().source, "front-1");
    EXPECT_EQ(it.value().message, "started");
    EXPECT_EQ(it.value().field("n"), "7");
    EXPECT_EQ(it.value().field("absent"), "");
}

TEST(RequestTimeline, CountsUnparsableLines)
{
    std::istringstream in("garbage\n\n{\"time\":\"soon\",\"message\":\"m\"}\n"
                          + line("54.036", "started", ""));
    const auto log = readLog(in, "a");
    EXPECT_EQ(log.lines.size(), 1U);
    EXPECT_EQ(log.unreadable, 2U);
}

TEST(RequestTimeline, IncludesEventsOfTheModelTheRoleAndTheDaemon)
{
    auto lines = linesOf(
            line("50.000", "store lost", "")
                    + line("55.000", "request",
                           R"("request":"r1","replica":"m1:a2","target":"","outcome":"overloaded",)"
                           R"("ms":"2000")")
                    + line("55.100", "request", R"("request":"r2","replica":"m1:","ms":"1")"),
            "vm-1");
    const auto others =
            linesOf(line("48.000", "order", R"("replica":"m1:","target":"t1","outcome":"conflict")")
                            + line("51.000", "order", R"("replica":"m2:","target":"t1")")
                            + line("52.000", "role gained", R"("epoch":"3")")
                            + line("52.500", "store lost", "")
                            + line("30.000", "role lost", R"("epoch":"2")"),
                    "vm-2");
    lines.insert(lines.end(), others.begin(), others.end());
    const auto timeline = requestTimeline(lines, "r1");
    EXPECT_EQ(messagesOf(timeline),
              (std::vector<std::string> { "order", "store lost", "role gained", "request" }));
    EXPECT_EQ(timeline[1].source, "vm-1");
    EXPECT_NE(toText(timeline[0], timeline.back().at).find("-7.000 s"), std::string::npos);
}

TEST(RequestTimeline, IncludesEventsOfTheTarget)
{
    const auto lines = linesOf(
            line("54.000", "target is draining", R"("target":"t1")")
                    + line("54.100", "target is draining", R"("target":"t2")")
                    + line("55.000", "request", R"("request":"r1","target":"t1","ms":"900")"),
            "vm-1");
    EXPECT_EQ(messagesOf(requestTimeline(lines, "r1")),
              (std::vector<std::string> { "target is draining", "request" }));
    EXPECT_TRUE(requestTimeline(lines, "unknown").empty());
}
