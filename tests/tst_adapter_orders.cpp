#include "platform/engineclient.h"
#include "rawtarget.h"

#include <gtest/gtest.h>

#include <optional>

/// Guards against an order to an engine that is taken for refused, and replaced by another one,
/// though the engine has not said so.

namespace asio = boost::asio;

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

/// Makes a call to an engine that responds with `head` to everything.
///
/// \returns what the call returns
template<typename T>
T callAnsweredWith(const std::string &head, asio::awaitable<T> (*call)(TargetEntry engine))
{
    asio::io_context context;
    RawTarget engine(context, [&head](const std::string &) {
        return "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n";
    });
    TargetEntry target;
    target.id = TargetId("e1");
    target.address = engine.address();
    std::optional<T> result;
    const auto callInto = [&result, call](TargetEntry it) -> asio::awaitable<void> {
        result = co_await call(std::move(it));
    };
    asio::co_spawn(context, callInto(target), asio::detached);
    const auto end = BootClock::now() + 5s;
    while (!result && BootClock::now() < end)
        context.run_one_for(50ms);
    return result.value();
}

asio::awaitable<platform::OrderResponse> sendLoad(TargetEntry engine)
{
    PlacementOrder order;
    order.target = engine.id;
    order.key.model = ModelId("m0");
    return platform::sendOrder(std::move(engine), std::move(order), VmId("vm-1"), 1, 2s);
}

asio::awaitable<platform::ReportResponse> fetchReport(TargetEntry engine)
{
    return platform::fetchReport(std::move(engine), 2s);
}

OrderOutcome orderAnsweredWith(const std::string &head)
{
    return callAnsweredWith(head, sendLoad).outcome;
}

/// \returns whether a report that is answered with `head` tells that the engine has ended
bool reportTellsOfAnEnd(const std::string &head)
{
    return callAnsweredWith(head, fetchReport).report.error().execution == Execution::NotRun;
}

} // namespace

/// Regression: 429 and 503, which the protocol of orders does not name, counted as refusals.
TEST(EngineOrders, AStatusThatStatesNothingLeavesTheOutcomeUnknown)
{
    for (const auto *head : { "429 Too Many Requests", "503 Service Unavailable",
                              "503 Service Unavailable\r\nRetry-After: 1", "500 Error" })
        EXPECT_EQ(orderAnsweredWith(head), OrderOutcome::Unknown) << head;
}

TEST(EngineOrders, AStatementThatNothingRanIsARefusal)
{
    for (const auto *head : { "429 Too Many Requests\r\nX-Not-Executed: 1",
                              "503 Service Unavailable\r\nX-Not-Executed: 1", "400 Bad Request",
                              "412 Precondition Failed", "421 Misdirected Request" })
        EXPECT_EQ(orderAnsweredWith(head), OrderOutcome::Refused) << head;
    EXPECT_EQ(orderAnsweredWith("202 Accepted"), OrderOutcome::Accepted);
    EXPECT_EQ(orderAnsweredWith("409 Conflict"), OrderOutcome::Conflict);
}

/// Regression: an engine that answered reports with a failure counted as one that has ended, and
/// lost its models in the plans.
TEST(EngineReports, OnlyAnotherProcessAtTheAddressTellsThatTheEngineHasEnded)
{
    for (const auto *head : { "429 Too Many Requests", "500 Error", "503 Service Unavailable" })
        EXPECT_FALSE(reportTellsOfAnEnd(head)) << head;
    EXPECT_TRUE(reportTellsOfAnEnd("421 Misdirected Request"));
}
