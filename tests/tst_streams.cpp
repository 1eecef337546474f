#include "streams/streamassembler.h"

#include <gtest/gtest.h>

#include <random>

using namespace bluebell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RequestId Request("r");

TimePoint at(int ms)
{
    return TimePoint(seconds(1000)) + milliseconds(ms);
}

StreamAssembler assembler()
{
    return { Request, {}, at(60000) };
}

StreamToken token(AttemptId attempt, StreamOffset offset)
{
    return { Request, attempt, offset, std::to_string(offset) };
}

const Error Disconnected = makeError(ErrorCode::Unavailable, "cut");

template<typename T>
bool is(const StreamAction &action)
{
    return std::holds_alternative<T>(action);
}

} // namespace

TEST(Streams, EventsOfOtherRequestsAndAttemptsAreIgnored)
{
    auto it = assembler();
    (void)it.start(at(0));
    EXPECT_TRUE(is<Deliver>(it.onToken(token(1, 0), at(1))));
    EXPECT_TRUE(is<Ignore>(it.onToken({ RequestId("other"), 1, 1, "x" }, at(2))));
    ASSERT_TRUE(is<Resume>(it.onAttemptFailed(1, Disconnected, at(3))));
    EXPECT_TRUE(is<Ignore>(it.onToken(token(1, 1), at(4))));
    EXPECT_TRUE(is<Ignore>(it.onEnd({ Request, 1, 1, "stop" }, at(4))));
    EXPECT_TRUE(is<Ignore>(it.onAttemptFailed(1, Disconnected, at(4))));
    EXPECT_TRUE(is<Ignore>(it.onToken(token(2, 0), at(5))));
    EXPECT_TRUE(is<Deliver>(it.onToken(token(2, 1), at(5))));
    EXPECT_TRUE(is<Complete>(it.onEnd({ Request, 2, 2, "stop" }, at(6))));
}

TEST(Streams, ResumesAtTheOffset)
{
    auto it = assembler();
    (void)it.start(at(0));
    (void)it.onToken(token(1, 0), at(1));
    (void)it.onToken(token(1, 1), at(2));
    const auto action = it.onAttemptFailed(1, Disconnected, at(3));
    ASSERT_TRUE(is<Resume>(action));
    EXPECT_EQ(std::get<Resume>(action).offset, 2U);
    EXPECT_EQ(std::get<Resume>(action).attempt, 2U);
}

TEST(Streams, EarlyEndAndMissingTokenStartAnotherAttempt)
{
    auto it = assembler();
    (void)it.start(at(0));
    EXPECT_TRUE(is<Resume>(it.onEnd({ Request, 1, 5, "stop" }, at(1))));
    EXPECT_TRUE(is<Resume>(it.onToken(token(2, 1), at(2))));
    EXPECT_EQ(it.offset(), 0U);
}

TEST(Streams, StalledAttemptIsAbandonedAfterTheProgressTimeout)
{
    auto it = assembler();
    (void)it.start(at(0));
    (void)it.onToken(token(1, 0), at(1000));
    EXPECT_TRUE(is<Ignore>(it.onTick(at(2999))));
    EXPECT_TRUE(is<Resume>(it.onTick(at(3000))));
}

TEST(Streams, ARequestUnderWhichTwoTargetsEndedIsNotSentToAThird)
{
    auto it = assembler();
    (void)it.start(at(0));
    auto lost = Disconnected;
    lost.isConnectionLost = true;
    EXPECT_TRUE(is<Resume>(it.onAttemptFailed(1, lost, at(1))));
    EXPECT_TRUE(is<Abort>(it.onAttemptFailed(2, lost, at(2))));
}

TEST(Streams, TargetsThatEndWithinAResponseDoNotCountAgainstItsRequest)
{
    auto it = assembler();
    (void)it.start(at(0));
    auto lost = Disconnected;
    lost.isConnectionLost = true;
    EXPECT_TRUE(is<Resume>(it.onAttemptFailed(1, lost, at(1))));
    EXPECT_TRUE(is<Deliver>(it.onToken(token(2, 0), at(2))));
    EXPECT_TRUE(is<Resume>(it.onAttemptFailed(2, lost, at(3))));
    EXPECT_TRUE(is<Resume>(it.onAttemptFailed(3, lost, at(4))));
}

TEST(Streams, ResponseIsReportedTruncatedWhenNoAttemptIsLeft)
{
    auto it = assembler();
    (void)it.start(at(0));
    (void)it.onToken(token(1, 0), at(1));
    StreamAction action = Ignore {};
    for (AttemptId n = 1; n <= 4; ++n)
        action = it.onAttemptFailed(n, Disconnected, at(2));
    ASSERT_TRUE(is<Abort>(action));
    EXPECT_EQ(std::get<Abort>(action).error.code, ErrorCode::Truncated);
    EXPECT_EQ(std::get<Abort>(action).error.execution, Execution::Ran);
}

/// Random histories of broken connections, missing tokens, duplicates and events of old attempts.
TEST(Streams, ResponseIsCompleteOrFailsForAnyHistory)
{
    constexpr StreamOffset Length = 20;
    int completed = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        std::mt19937_64 random(seed);
        auto it = assembler();
        std::map<AttemptId, StreamOffset> next;
        next[it.start(at(0)).attempt] = 0;
        std::string text;
        std::string expected;
        for (StreamOffset n = 0; n < Length; ++n)
            expected += std::to_string(n);
        for (int step = 0; step < 200 && !it.hasEnded(); ++step) {
            const auto attempt = static_cast<AttemptId>(1 + random() % next.size());
            auto &offset = next[attempt];
            const auto event = random() % 40;
            StreamAction action = Ignore {};
            if (event == 0)
                action = it.onAttemptFailed(attempt, Disconnected, at(step));
            else if (event == 1)
                action = it.onEnd({ Request, attempt, Length, "stop" }, at(step));
            else if (event == 2 && offset < Length)
                ++offset;
            else if (event == 3 && offset > 0)
                --offset;
            else if (offset < Length)
                action = it.onToken(token(attempt, offset++), at(step));
            else
                action = it.onEnd({ Request, attempt, Length, "stop" }, at(step));
            if (const auto *deliver = std::get_if<Deliver>(&action))
                text += deliver->text;
            if (const auto *resume = std::get_if<Resume>(&action))
                next[resume->attempt] = resume->offset;
            if (is<Complete>(action)) {
                ++completed;
                EXPECT_EQ(text, expected) << "seed " << seed;
            }
        }
        EXPECT_TRUE(expected.starts_with(text)) << "seed " << seed;
    }
    EXPECT_GT(completed, 500);
}

TEST(RetryBudget, LimitsRetriesToAFractionOfFirstAttempts)
{
    RetryBudget budget({ 0.2, 2 });
    EXPECT_TRUE(budget.takeRetry());
    EXPECT_TRUE(budget.takeRetry());
    EXPECT_FALSE(budget.takeRetry());
    for (int n = 0; n < 5; ++n)
        budget.noteFirstAttempt();
    EXPECT_TRUE(budget.takeRetry());
    EXPECT_FALSE(budget.takeRetry());
}
