#include "gateway/requestadmission.h"
#include "platform/documents.h"
#include "platformstandin.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };

class RequestAdmissionTest : public ::testing::Test
{
protected:
    RequestAdmissionTest() : state(context.get_executor(), GatewaySettings())
    {
        auto config = platform::decodeConfig(siteConfig(1).dump());
        state.index = std::make_shared<const SiteIndex>(std::move(config.value()));
    }

    /// \returns the time that a request for `path` has, if its caller waits for `timeLeft`
    Duration timeOf(const std::string &path, Duration timeLeft)
    {
        gateway::RequestContext it;
        it.caller.host = "shop.example";
        it.caller.path = path;
        it.caller.key = "key-1";
        it.caller.timeLeft = timeLeft;
        it.receivedAt = Start;
        gateway::RequestAdmission admission(state);
        EXPECT_TRUE(admission.resolve(it));
        return it.deadline - Start;
    }

    boost::asio::io_context context;
    gateway::GatewayState state;
};

} // namespace

/// Regression: streams were cut 20 ms before their callers' time was over.
TEST_F(RequestAdmissionTest, AStreamHasAllOfItsCallersTime)
{
    EXPECT_EQ(timeOf("/chat/x", 3s), 3s);
    EXPECT_EQ(timeOf("/review/x", 3s), 3s);
}

TEST_F(RequestAdmissionTest, OtherResponsesLeaveTimeForTheWayToTheCaller)
{
    EXPECT_LT(timeOf("/look/x", 3s), 3s);
    EXPECT_GE(timeOf("/look/x", 3s), 2900ms);
}

TEST_F(RequestAdmissionTest, TheRoutesTimeoutBoundsTheTimeOfARequest)
{
    EXPECT_EQ(timeOf("/chat/x", 60s), 5s);
    EXPECT_EQ(timeOf("/look/x", 60s), 5s);
}
