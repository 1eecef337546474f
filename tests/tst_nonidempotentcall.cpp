#include "idempotency/nonidempotentcall.h"

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

NonIdempotentCall newCall(const std::string &claim = "c1")
{
    return { "digest", ChangeId(claim), at(10) };
}

const RecordedResponse TestResponse { 201, "application/json", "{}" };

const Result<RecordedResponse> &replyOf(const CallAction &action)
{
    return std::get<Reply>(action).response;
}

/// The stored record of one key, and the service that the calls are sent to.
struct Environment
{
    std::optional<IdempotencyRecord> row;
    /// How often the service has executed the call.
    int runs = 0;
};

/// Where a daemon crashes, loses a reply or meets an error.
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

/// Runs one call on one daemon.
///
/// \returns the reply, or nothing when the daemon crashes
std::optional<Result<RecordedResponse>> drive(Environment &environment, const std::string &claim,
                                              Crash crash, bool holderMayBeRunning = false)
{
    auto it = newCall(claim);
    auto action = it.start();
    if (crash == Crash::BeforeClaim)
        return std::nullopt;
    for (;;) {
        if (std::holds_alternative<InsertClaim>(action)) {
            if (environment.row) {
                action = it.claimExists(*environment.row, holderMayBeRunning);
                continue;
            }
            environment.row =
                    IdempotencyRecord { IdempotencyState::Claimed, "digest", ChangeId(claim), {} };
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
            ++environment.runs;
            if (crash == Crash::AfterRun)
                return std::nullopt;
            if (crash == Crash::RunReplyLost)
                action = it.dispatched(Unresolved { makeError(ErrorCode::Unavailable, "cut") });
            else
                action = it.dispatched(Completed { TestResponse });
        } else if (std::holds_alternative<ReleaseClaim>(action)) {
            const bool succeeds = crash != Crash::NotStartedReleaseFails;
            if (succeeds && environment.row && environment.row->claim == ChangeId(claim))
                environment.row.reset();
            action = it.released(succeeds);
        } else if (auto *write = std::get_if<WriteRecord>(&action)) {
            if (crash == Crash::BeforeRecord)
                return std::nullopt;
            environment.row = write->record;
            action = it.recorded();
        } else {
            return replyOf(action);
        }
    }
}

} // namespace

TEST(NonIdempotentCalls, RepeatGetsTheRecordedResponse)
{
    Environment environment;
    EXPECT_TRUE(*drive(environment, "c1", Crash::None));
    const auto repeat = drive(environment, "c2", Crash::None);
    ASSERT_TRUE(repeat && *repeat);
    EXPECT_EQ(repeat->value().status, 201U);
    EXPECT_EQ(environment.runs, 1);
}

/// Regression: callers place an order again after a status that promises that it has not run.
TEST(NonIdempotentCalls, AStatusThatPromisesThatNothingRanIsOutcomeUnknown)
{
    for (const unsigned status : { 408U, 421U, 429U, 503U }) {
        const RecordedResponse response { status, "text/plain", "come again" };
        auto it = newCall();
        (void)it.claimInserted(at(0));
        const auto action = it.dispatched(Completed { response });
        ASSERT_TRUE(std::holds_alternative<WriteRecord>(action));
        EXPECT_EQ(replyOf(it.recorded()).error().code, ErrorCode::OutcomeUnknown) << status;
        // Also from a record that an earlier version has written.
        const auto repeat = newCall("c2").claimExists(
                { IdempotencyState::Done, "digest", ChangeId("c1"), response }, true);
        EXPECT_EQ(replyOf(repeat).error().execution, Execution::OutcomeUnknown) << status;
    }
}

TEST(NonIdempotentCalls, OtherFailuresOfTheServiceAreReplayed)
{
    for (const unsigned status : { 404U, 409U, 500U, 504U }) {
        const RecordedResponse response { status, "text/plain", "no" };
        const auto repeat = newCall("c2").claimExists(
                { IdempotencyState::Done, "digest", ChangeId("c1"), response }, true);
        EXPECT_EQ(replyOf(repeat).value().status, status);
    }
}

TEST(NonIdempotentCalls, SameKeyWithAnotherBodyIsAConflict)
{
    const auto action = newCall().claimExists(
            { IdempotencyState::Done, "other", ChangeId("c9"), TestResponse }, true);
    EXPECT_EQ(replyOf(action).error().code, ErrorCode::Conflict);
    EXPECT_EQ(replyOf(action).error().execution, Execution::NotRun);
}

TEST(NonIdempotentCalls, ClaimOfAnotherDaemonIsStillRunningThenUnknown)
{
    const IdempotencyRecord claimed { IdempotencyState::Claimed, "digest", ChangeId("c9"), {} };
    EXPECT_EQ(replyOf(newCall().claimExists(claimed, true)).error().code, ErrorCode::StillRunning);
    EXPECT_EQ(replyOf(newCall().claimExists(claimed, false)).error().code,
              ErrorCode::OutcomeUnknown);
    ClaimTracker watch(seconds(20));
    EXPECT_TRUE(watch.holderMayBeRunning(ChangeId("c9"), at(0)));
    EXPECT_TRUE(watch.holderMayBeRunning(ChangeId("c9"), at(20)));
    EXPECT_FALSE(watch.holderMayBeRunning(ChangeId("c9"), at(21)));
}

TEST(NonIdempotentCalls, DoesNotDispatchWhenPausedPastTheDeadline)
{
    auto it = newCall();
    const auto action = it.claimInserted(at(60));
    EXPECT_TRUE(std::holds_alternative<ReleaseClaim>(action));
    EXPECT_EQ(replyOf(it.released(true)).error().execution, Execution::NotRun);
}

TEST(NonIdempotentCalls, NotRunIsReportedOnlyAfterTheClaimIsReleased)
{
    auto it = newCall();
    (void)it.claimInserted(at(0));
    const auto action = it.dispatched(NotStarted { makeError(ErrorCode::Unavailable, "busy") });
    ASSERT_TRUE(std::holds_alternative<ReleaseClaim>(action));
    EXPECT_EQ(replyOf(it.released(false)).error().execution, Execution::OutcomeUnknown);
    EXPECT_EQ(replyOf(it.released(true)).error().execution, Execution::NotRun);
}

TEST(NonIdempotentCalls, UnavailableTableRefusesTheCallAsNotRun)
{
    auto it = newCall();
    (void)it.claimFailed(makeError(ErrorCode::Unavailable, "no table"));
    EXPECT_EQ(replyOf(it.released(false)).error().execution, Execution::NotRun);
}

/// Fails a call at every crash point, then repeats it twice through other daemons with every
/// combination of crash points.
TEST(NonIdempotentCalls, NoSequenceOfCrashesRunsACallTwice)
{
    constexpr auto Points = static_cast<int>(Crash::Count);
    for (int a = 0; a < Points; ++a) {
        for (int b = 0; b < Points; ++b) {
            for (int c = 0; c < Points; ++c) {
                Environment environment;
                int n = 0;
                for (const int point : { a, b, c }) {
                    const auto runsBefore = environment.runs;
                    const auto reply = drive(environment, "c" + std::to_string(++n),
                                             static_cast<Crash>(point));
                    const bool isReportedNotRun =
                            reply && !*reply && reply->error().execution == Execution::NotRun;
                    if (isReportedNotRun) {
                        EXPECT_EQ(environment.runs, runsBefore);
                    }
                    if (reply && *reply) {
                        EXPECT_EQ(environment.runs, 1);
                    }
                }
                EXPECT_LE(environment.runs, 1) << a << ' ' << b << ' ' << c;
            }
        }
    }
}
