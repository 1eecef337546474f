#include "http/server.h"
#include "platform/requests.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

/// Guards against errors of requests that may have run whose status promises callers that nothing
/// ran.

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr std::array<unsigned, 4> PromisingStatuses { 408, 421, 429, 503 };

bool isPromise(const HttpResponse &response)
{
    return std::find(PromisingStatuses.begin(), PromisingStatuses.end(), response.status)
            != PromisingStatuses.end();
}

std::vector<ErrorCode> allCodes()
{
    std::vector<ErrorCode> codes;
    for (int n = 0; n <= static_cast<int>(ErrorCode::Internal); ++n)
        codes.push_back(static_cast<ErrorCode>(n));
    return codes;
}

} // namespace

/// Regression: a rate that was used up before a request was sent again brought 429, and errors of
/// entry daemons brought 503.
TEST(ErrorStatus, OnlyARequestThatDidNotRunGetsAPromise)
{
    for (const auto code : allCodes())
        for (const auto execution : { Execution::Ran, Execution::OutcomeUnknown }) {
            const Error error { code, "failed", execution, 1s };
            EXPECT_FALSE(isPromise(errorResponse(error, "r"))) << toString(code);
            const auto response = platform::encodeError(error, RequestId("r"));
            EXPECT_FALSE(isPromise(response)) << toString(code);
            EXPECT_EQ(response.header("Retry-After"), "") << toString(code);
        }
}

TEST(ErrorStatus, RefusalsBeforeARunKeepTheirStatus)
{
    const auto statusOf = [](ErrorCode code) {
        return platform::encodeError(makeError(code, "refused"), RequestId("r")).status;
    };
    EXPECT_EQ(statusOf(ErrorCode::RateLimited), 429U);
    EXPECT_EQ(statusOf(ErrorCode::Overloaded), 503U);
    EXPECT_EQ(statusOf(ErrorCode::Unavailable), 503U);
    EXPECT_EQ(statusOf(ErrorCode::DeadlineExceeded), 503U);
    EXPECT_EQ(statusOf(ErrorCode::NotFound), 404U);
    EXPECT_EQ(statusOf(ErrorCode::KeyWithdrawn), 401U);
}
