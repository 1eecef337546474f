#include "queue/requestqueue.h"

#include <gtest/gtest.h>

using namespace bluebell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(double s)
{
    return TimePoint(seconds(1000)) + milliseconds(static_cast<std::int64_t>(s * 1000));
}

QueuedRequest request(TicketId ticket, const std::string &organisation, std::uint32_t weight = 1,
                      double deadline = 100)
{
    return { ticket, OrganisationId(organisation), weight, 100, 10, at(0), at(deadline) };
}

RequestQueue fairQueue(QueueLimits limits = {})
{
    return { FairOrder {}, limits };
}

} // namespace

TEST(Queue, BacklogOfOneOrganisationDoesNotDelayAnother)
{
    auto queue = fairQueue();
    for (TicketId n = 1; n <= 50; ++n)
        ASSERT_TRUE(queue.push(request(n, "loud"), at(0)));
    ASSERT_TRUE(queue.push(request(99, "small"), at(0)));
    EXPECT_EQ(queue.pop(at(0))->ticket, 1U);
    EXPECT_EQ(queue.pop(at(0))->ticket, 99U);
}

TEST(Queue, FifoBaselineDelaysOtherOrganisations)
{
    RequestQueue queue(FifoOrder {}, {});
    for (TicketId n = 1; n <= 50; ++n)
        ASSERT_TRUE(queue.push(request(n, "loud"), at(0)));
    ASSERT_TRUE(queue.push(request(99, "small"), at(0)));
    for (TicketId n = 1; n <= 50; ++n)
        EXPECT_EQ(queue.pop(at(0))->ticket, n);
}

TEST(Queue, HeavierClassIsServedMoreButTheLighterIsNotStarved)
{
    auto queue = fairQueue({ 1000, 1U << 30U });
    for (TicketId n = 0; n < 90; ++n) {
        ASSERT_TRUE(queue.push(request(n, "counter", 8), at(0)));
        ASSERT_TRUE(queue.push(request(1000 + n, "overnight", 1), at(0)));
    }
    int counter = 0;
    for (int n = 0; n < 90; ++n)
        counter += queue.pop(at(0))->organisation == OrganisationId("counter") ? 1 : 0;
    EXPECT_EQ(counter, 80);
}

TEST(Queue, BoundsByCountAndBytesForEachOrganisation)
{
    auto queue = fairQueue({ 3, 25 });
    EXPECT_TRUE(queue.push(request(1, "a"), at(0)));
    EXPECT_TRUE(queue.push(request(2, "a"), at(0)));
    const auto full = queue.push(request(3, "a"), at(0));
    ASSERT_FALSE(full);
    EXPECT_EQ(full.error().code, ErrorCode::Overloaded);
    EXPECT_EQ(full.error().execution, Execution::NotRun);
    EXPECT_TRUE(queue.push(request(4, "b"), at(0)));
}

TEST(Queue, EveryRequestIsServedOrExpiresAtItsDeadline)
{
    auto queue = fairQueue();
    ASSERT_TRUE(queue.push(request(1, "a", 1, 5), at(0)));
    ASSERT_TRUE(queue.push(request(2, "a", 1, 50), at(0)));
    EXPECT_TRUE(queue.expire(at(4.9)).empty());
    EXPECT_FALSE(queue.pop(at(5)));
    const auto expired = queue.expire(at(5));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].ticket, 1U);
    EXPECT_EQ(queue.pop(at(5))->ticket, 2U);
    EXPECT_EQ(queue.size(), 0U);
    EXPECT_EQ(queue.tokens(), 0);
}

TEST(Queue, RefusesEarlyWithAnAccurateRetryAfter)
{
    auto queue = fairQueue();
    queue.noteServed(0, at(-1));
    queue.noteServed(100, at(0));
    for (TicketId n = 1; n <= 20; ++n)
        ASSERT_TRUE(queue.push(request(n, "a"), at(0)));
    const auto refused = queue.push(request(99, "a", 1, 10), at(0));
    ASSERT_FALSE(refused);
    // 20 requests of 100 tokens at 100 tokens/s take 20 s, 10 s more than the deadline allows.
    EXPECT_NEAR(toSeconds(*refused.error().retryAfter), 10, 0.01);
    // The backlog does not delay another organisation, whose request is therefore accepted.
    EXPECT_TRUE(queue.push(request(100, "b", 1, 10), at(0)));
}

TEST(Queue, RemovedRequestFreesItsSlot)
{
    auto queue = fairQueue({ 1, 100 });
    ASSERT_TRUE(queue.push(request(1, "a"), at(0)));
    EXPECT_TRUE(queue.remove(1));
    EXPECT_FALSE(queue.remove(1));
    EXPECT_TRUE(queue.push(request(2, "a"), at(0)));
}
