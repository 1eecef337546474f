#include "orders/orderflow.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

using namespace bluebell;
using std::chrono::seconds;

namespace {

TimePoint at(int s)
{
    return TimePoint(seconds(1000 + s));
}

OrderFlow flow(const std::string &claim = "c1")
{
    return { "digest", ChangeId(claim), at(10) };
}

const RecordedAnswer Answer { 201, "application/json", "{}" };

const Result<RecordedAnswer> &replyOf(const OrderAction &action)
{
    return std::get<Reply>(action).answer;
}

/// The table as the flow's driver sees it, and the service behind it.
struct OrderWorld
{
    std::optional<OrderRecord> row;
    int runs = 0;
};

/// Where a driver dies, or loses a reply.
enum class Crash : std::uint8_t {
    None,
    BeforeClaim,
    AfterClaim,
    ClaimReplyLost,
    BeforeDispatch,
    AfterRun,
    RunReplyLost,
    BeforeRecord,
    RecordReplyLost,
    NotStarted,
    NotStartedReleaseFails,
    Count,
};

/// Drives one call through one daemon. Gives no reply when the daemon dies.
std::optional<Result<RecordedAnswer>> drive(OrderWorld &world, const std::string &claim,
                                            Crash crash, bool holderMayRun = false)
{
    auto it = flow(claim);
    auto action = it.start();
    if (crash == Crash::BeforeClaim)
        return std::nullopt;
    for (;;) {
        if (std::holds_alternative<InsertClaim>(action)) {
            if (world.row) {
                action = it.claimExists(*world.row, holderMayRun);
                continue;
            }
            world.row = OrderRecord { OrderState::Claimed, "digest", ChangeId(claim), {} };
            if (crash == Crash::AfterClaim)
                return std::nullopt;
            action = crash == Crash::ClaimReplyLost
                    ? it.claimFailed(makeError(ErrorCode::Unavailable, "no reply"))
                    : it.claimInserted(at(0));
        } else if (std::holds_alternative<Dispatch>(action)) {
            if (crash == Crash::BeforeDispatch)
                return std::nullopt;
            if (crash == Crash::NotStarted || crash == Crash::NotStartedReleaseFails) {
                action = it.dispatched(NotStarted { makeError(ErrorCode::Unavailable, "busy") });
                continue;
            }
            ++world.runs;
            if (crash == Crash::AfterRun)
                return std::nullopt;
            if (crash == Crash::RunReplyLost)
                action = it.dispatched(Unresolved { makeError(ErrorCode::Unavailable, "cut") });
            else
                action = it.dispatched(Completed { Answer });
        } else if (std::holds_alternative<ReleaseClaim>(action)) {
            const bool succeeds = crash != Crash::NotStartedReleaseFails;
            if (succeeds && world.row && world.row->claim == ChangeId(claim))
                world.row.reset();
            action = it.released(succeeds);
        } else if (auto *write = std::get_if<WriteRecord>(&action)) {
            if (crash == Crash::BeforeRecord)
                return std::nullopt;
            world.row = write->record;
            action = it.recorded();
        } else {
            return replyOf(action);
        }
    }
}

} // namespace

TEST(Orders, RepeatGetsTheRecordedAnswer)
{
    OrderWorld world;
    EXPECT_TRUE(*drive(world, "c1", Crash::None));
    const auto repeat = drive(world, "c2", Crash::None);
    ASSERT_TRUE(repeat && *repeat);
    EXPECT_EQ(repeat->value().status, 201U);
    EXPECT_EQ(world.runs, 1);
}

TEST(Orders, SameKeyWithAnotherBodyIsAnError)
{
    const auto action =
            flow().claimExists({ OrderState::Done, "other", ChangeId("c9"), Answer }, true);
    EXPECT_EQ(replyOf(action).error().code, ErrorCode::Conflict);
    EXPECT_EQ(replyOf(action).error().execution, Execution::NotRun);
}

TEST(Orders, ClaimOfAnotherIsStillRunningThenUnknown)
{
    const OrderRecord claimed { OrderState::Claimed, "digest", ChangeId("c9"), {} };
    EXPECT_EQ(replyOf(flow().claimExists(claimed, true)).error().code, ErrorCode::StillRunning);
    EXPECT_EQ(replyOf(flow().claimExists(claimed, false)).error().code, ErrorCode::OutcomeUnknown);
    ClaimWatch watch(seconds(20));
    EXPECT_TRUE(watch.holderMayRun(ChangeId("c9"), at(0)));
    EXPECT_TRUE(watch.holderMayRun(ChangeId("c9"), at(20)));
    EXPECT_FALSE(watch.holderMayRun(ChangeId("c9"), at(21)));
}

TEST(Orders, PausedBetweenClaimAndDispatchDoesNotSend)
{
    auto it = flow();
    const auto action = it.claimInserted(at(60));
    EXPECT_TRUE(std::holds_alternative<ReleaseClaim>(action));
    EXPECT_EQ(replyOf(it.released(true)).error().execution, Execution::NotRun);
}

TEST(Orders, NotRunIsSaidOnlyAfterTheClaimIsReleased)
{
    auto it = flow();
    (void)it.claimInserted(at(0));
    const auto action = it.dispatched(NotStarted { makeError(ErrorCode::Unavailable, "busy") });
    ASSERT_TRUE(std::holds_alternative<ReleaseClaim>(action));
    EXPECT_EQ(replyOf(it.released(false)).error().execution, Execution::OutcomeUnknown);
    EXPECT_EQ(replyOf(it.released(true)).error().execution, Execution::NotRun);
}

TEST(Orders, WithoutTheTableTheCallIsRefusedAsNotRun)
{
    auto it = flow();
    (void)it.claimFailed(makeError(ErrorCode::Unavailable, "no table"));
    EXPECT_EQ(replyOf(it.released(false)).error().execution, Execution::NotRun);
}

/// Every crash point, then repeats through other daemons with further crash points.
TEST(Orders, NoSequenceOfCrashesRunsAnOrderTwice)
{
    constexpr auto Points = static_cast<int>(Crash::Count);
    for (int a = 0; a < Points; ++a) {
        for (int b = 0; b < Points; ++b) {
            for (int c = 0; c < Points; ++c) {
                OrderWorld world;
                int n = 0;
                for (const int point : { a, b, c }) {
                    const auto runsBefore = world.runs;
                    const auto reply =
                            drive(world, "c" + std::to_string(++n), static_cast<Crash>(point));
                    const bool saysNotRun =
                            reply && !*reply && reply->error().execution == Execution::NotRun;
                    if (saysNotRun) {
                        EXPECT_EQ(world.runs, runsBefore);
                    }
                    if (reply && *reply) {
                        EXPECT_EQ(world.runs, 1);
                    }
                }
                EXPECT_LE(world.runs, 1) << a << ' ' << b << ' ' << c;
            }
        }
    }
}
