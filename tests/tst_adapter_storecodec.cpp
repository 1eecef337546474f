#include "platform/storecodec.h"
#include "records/table.h"
#include "standin/platformserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

template<typename Call>
Call roundTrip(const Call &call)
{
    const auto back = platform::decodeCall(platform::encodeCall(call));
    EXPECT_TRUE(back);
    return std::get<Call>(back.value());
}

/// Runs a RecordTable against a stand-in for the store.
class RecordTableTest : public ::testing::Test
{
protected:
    RecordTableTest() : store(context, {}), table(store.listen({ "127.0.0.1", 0 }).value(), 500ms)
    {
    }

    template<typename Value>
    Value run(asio::awaitable<Value> work)
    {
        std::optional<Value> value;
        auto keep = [](asio::awaitable<Value> running,
                       std::optional<Value> &result) -> asio::awaitable<void> {
            result.emplace(co_await std::move(running));
        };
        asio::co_spawn(context, keep(std::move(work), value), asio::detached);
        context.restart();
        while (!value && context.run_one_for(5s) > 0) { }
        EXPECT_TRUE(value);
        return std::move(*value);
    }

    /// \returns a transaction that writes `value` to `key` if its row has `version`
    static Transaction writing(const std::string &key, const std::string &value, RowVersion version)
    {
        return { ChangeId(value), { { key, version } }, { { key, value } } };
    }

    asio::io_context context;
    standin::PlatformServer store;
    RecordTable table;
};

} // namespace

TEST(StoreCodec, RoundTripsAllCalls)
{
    const auto read = roundTrip(platform::ReadRows { "a table", "from/&=%", "to", 7 });
    EXPECT_EQ(read.table, "a table");
    EXPECT_EQ(read.from, "from/&=%");
    EXPECT_EQ(read.to, "to");
    EXPECT_EQ(read.limit, 7U);
    const auto follow = roundTrip(platform::FollowRows { "t", 12, 1500ms });
    EXPECT_EQ(follow.after, 12U);
    EXPECT_EQ(follow.wait, 1500ms);
    const std::string bytes("\0\xff\n", 3);
    const auto write = roundTrip(
            platform::Transact { { { "t", "k", 3 } }, { { "t", "k", bytes }, { "u", "l", {} } } });
    ASSERT_EQ(write.conditions.size(), 1U);
    EXPECT_EQ(write.conditions[0].version, 3U);
    ASSERT_EQ(write.changes.size(), 2U);
    EXPECT_EQ(write.changes[0].value, bytes);
    EXPECT_FALSE(write.changes[1].value);
    EXPECT_EQ(roundTrip(platform::PutObject { "a/b", bytes }).value, bytes);
    EXPECT_EQ(roundTrip(platform::GetObject { "a/b" }).name, "a/b");
}

TEST(StoreCodec, RoundTripsResponsesAndRejectsMalformedInput)
{
    platform::StoreSnapshot snapshot;
    snapshot.version = 9;
    snapshot.hasMore = true;
    snapshot.rows = { { "t", "k", "v", 4, false }, { "t", "l", "", 5, true } };
    const auto back = platform::decodeSnapshot(platform::encodeSnapshot(snapshot), 0);
    ASSERT_TRUE(back);
    EXPECT_EQ(back.value().version, 9U);
    EXPECT_TRUE(back.value().hasMore);
    ASSERT_EQ(back.value().rows.size(), 2U);
    EXPECT_EQ(back.value().rows[0].value, "v");
    EXPECT_TRUE(back.value().rows[1].isDeleted);
    EXPECT_EQ(platform::decodeWritten(platform::encodeWritten(8), 0).value(), 8U);
    EXPECT_FALSE(platform::decodeSnapshot("[]", 0));
    EXPECT_FALSE(platform::decodeSnapshot("{", 0));
    EXPECT_FALSE(platform::decodeWritten("", 0));
    EXPECT_FALSE(platform::decodeCall({ "POST", "/-/rows-tx", {}, "garbage" }));
    EXPECT_FALSE(platform::decodeCall({ "GET", "/elsewhere", {}, {} }));
}

// Guards against versions that go back: the store gives them out again after it has come back from
// an older copy.
TEST(StoreCodec, VersionsOfALaterEraAreNewer)
{
    platform::StoreSnapshot snapshot;
    snapshot.version = 9;
    snapshot.rows = { { "t", "k", "v", 4, false } };
    const auto text = platform::encodeSnapshot(snapshot);
    const auto before = platform::decodeSnapshot(text, 1).value();
    snapshot.version = 5;
    snapshot.rows[0].version = 3;
    const auto after = platform::decodeSnapshot(platform::encodeSnapshot(snapshot), 2).value();
    EXPECT_GT(after.version, before.version);
    EXPECT_GT(after.rows[0].version, before.rows[0].version);
    const auto call = roundTrip(platform::Transact { { { "t", "k", after.rows[0].version } }, {} });
    EXPECT_EQ(call.conditions[0].version, 3U);
    EXPECT_EQ(roundTrip(platform::FollowRows { "t", after.version, {} }).after, 5U);
}

TEST(StoreCodec, MalformedErasAreNoEra)
{
    EXPECT_EQ(platform::decodeEra("7"), 7U);
    for (const auto *text : { "", "-1", "1.5", "x", "7 ", "18446744073709551616", "4294967296" })
        EXPECT_FALSE(platform::decodeEra(text)) << text;
}

TEST_F(RecordTableTest, ReadsARangeOfSeveralPages)
{
    for (int n = 0; n < 1200; ++n)
        store.put("bluebell-records", "row/" + std::to_string(10000 + n), "v");
    store.put("bluebell-records", "rox", "not of the range");
    const auto all = run(table.range("row/"));
    ASSERT_TRUE(all);
    EXPECT_EQ(all.value().size(), 1200U);
    const auto rest = run(table.range("row/", "row/11100"));
    ASSERT_TRUE(rest);
    EXPECT_EQ(rest.value().size(), 99U);
}

TEST_F(RecordTableTest, ResolvesTheOutcomeOfATransactionWhoseResponseWasLost)
{
    store.faults().lostReplies = 1;
    const auto mine = run(table.commit(writing("k", "change-1", 0), BootClock::now() + 5s));
    ASSERT_TRUE(mine);
    EXPECT_TRUE(std::holds_alternative<Committed>(mine.value()));
    const auto late = run(table.commit(writing("k", "change-2", 0), BootClock::now() + 5s));
    ASSERT_TRUE(late);
    EXPECT_TRUE(std::holds_alternative<Conflicted>(late.value()));
    EXPECT_EQ(run(table.get("k")).value()->value, "change-1");
}

TEST_F(RecordTableTest, ReportsNotRunDuringAnOutage)
{
    store.faults().outage = true;
    const auto outcome = run(table.commitOnce(writing("k", "change-1", 0)));
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().execution, Execution::NotRun);
    store.faults().outage = false;
    EXPECT_FALSE(run(table.get("k")).value());
}

TEST_F(RecordTableTest, ListsTheVms)
{
    store.setVm(VmId("vm-1"), VmState::Live);
    store.setVm(VmId("vm-2"), VmState::Leaving);
    const auto vms = run(table.listVms());
    ASSERT_TRUE(vms);
    ASSERT_EQ(vms.value().size(), 2U);
    EXPECT_EQ(vms.value()[0].state, VmState::Live);
    EXPECT_EQ(vms.value()[1].state, VmState::Leaving);
}
