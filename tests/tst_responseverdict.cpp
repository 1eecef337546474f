#include "core/result.h"
#include "site/responseverdict.h"

#include <gtest/gtest.h>

/// Guards against a caller that sends an order twice because a target's status let it believe that
/// the first one had not run.

using namespace bluebell;

namespace {

constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastFinalStatus = 599;

Route routeOf(RequestKind kind, bool isResumable = false)
{
    Route it;
    it.kind = kind;
    it.isResumable = isResumable;
    return it;
}

ResponseHead headOf(unsigned status)
{
    ResponseHead it;
    it.status = status;
    it.matchesAttempt = true;
    it.isSigned = true;
    return it;
}

const Route Orders = routeOf(RequestKind::NonIdempotent);
const Route Lookups = routeOf(RequestKind::Idempotent);
const Route Chats = routeOf(RequestKind::Streaming);
const Route Reviews = routeOf(RequestKind::Streaming, true);

} // namespace

TEST(ResponseVerdicts, OnlyUnfoundedPromisesAreWithheldFromCallersThatMayNotRepeat)
{
    for (unsigned status = FirstFinalStatus; status <= LastFinalStatus; ++status) {
        const auto expected =
                promisesNotRun(status) ? ResponseVerdict::Withhold : ResponseVerdict::PassOn;
        EXPECT_EQ(judgeResponse(headOf(status), Orders), expected) << status;
        EXPECT_EQ(judgeResponse(headOf(status), Chats), expected) << status;
    }
}

TEST(ResponseVerdicts, CallersThatMayRepeatGetEveryStatus)
{
    for (unsigned status = FirstFinalStatus; status <= LastFinalStatus; ++status) {
        EXPECT_EQ(judgeResponse(headOf(status), Lookups), ResponseVerdict::PassOn) << status;
        EXPECT_EQ(judgeResponse(headOf(status), Reviews), ResponseVerdict::PassOn) << status;
    }
}

TEST(ResponseVerdicts, ARefusalIsBelievedWithoutTheIdButNotWithAnother)
{
    for (const auto *route : { &Orders, &Lookups, &Chats, &Reviews }) {
        auto head = headOf(503);
        head.isNotRun = true;
        head.matchesAttempt = false;
        EXPECT_EQ(judgeResponse(head, *route), ResponseVerdict::NotRun);
        head.namesOtherAttempt = true;
        EXPECT_EQ(judgeResponse(head, *route), ResponseVerdict::Untrusted);
    }
}

TEST(ResponseVerdicts, ResponsesThatAreNotTheTargetsOwnAreUntrustedWhateverTheirStatus)
{
    for (const unsigned status : { 200U, 404U, 429U, 500U, 503U }) {
        auto encoded = headOf(status);
        encoded.isEncoded = true;
        EXPECT_EQ(judgeResponse(encoded, Orders), ResponseVerdict::Untrusted) << status;
        auto nameless = headOf(status);
        nameless.matchesAttempt = false;
        EXPECT_EQ(judgeResponse(nameless, Lookups), ResponseVerdict::Untrusted) << status;
    }
    auto unsignedSuccess = headOf(200);
    unsignedSuccess.isSigned = false;
    EXPECT_EQ(judgeResponse(unsignedSuccess, Lookups), ResponseVerdict::Untrusted);
}
