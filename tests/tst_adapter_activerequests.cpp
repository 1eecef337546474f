#include "gateway/activerequests.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace bluebell::gateway;

TEST(ActiveRequests, EntryTakesItsRequestOutWhenAnExceptionEndsIt)
{
    ActiveRequests active;
    const auto other = active.add(std::make_shared<RequestContext>());
    const auto fail = [&] {
        const auto entry = active.add(std::make_shared<RequestContext>());
        EXPECT_EQ(active.size(), 2U);
        throw std::runtime_error("no");
    };
    EXPECT_THROW(fail(), std::runtime_error);
    int visited = 0;
    active.forEach([&](RequestContext &) { ++visited; });
    EXPECT_EQ(visited, 1);
    EXPECT_EQ(active.size(), 1U);
}

TEST(ActiveRequests, EntryMayOutliveTheTablesOwner)
{
    auto active = std::make_unique<ActiveRequests>();
    auto request = std::make_shared<RequestContext>();
    const std::weak_ptr<RequestContext> watch = request;
    {
        const auto entry = active->add(std::move(request));
        active.reset();
        EXPECT_FALSE(watch.expired());
    }
    EXPECT_TRUE(watch.expired());
}
