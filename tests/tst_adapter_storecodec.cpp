#include "http/client.h"
#include "io/notifier.h"
#include "platform/recordstore.h"
#include "platform/store.h"
#include "platform/storecodec.h"
#include "records/configstore.h"
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

asio::awaitable<bool> sleepForResult(Duration length)
{
    co_await sleepFor(length);
    co_return true;
}

/// Runs a RecordTable against a stand-in for the store.
class RecordTableTest : public ::testing::Test
{
protected:
    RecordTableTest()
        : store(context, {}), storeAddress(store.listen({ "127.0.0.1", 0 }).value()),
          table(platform::makeRecordStore(storeAddress), 500ms)
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

    /// Commits a change that adds `line` to what `replica` has.
    void publish(ConfigReplica &replica, const std::string &line)
    {
        ConfigDelta delta;
        delta.added = { line };
        delta.author = "test";
        delta.change = ChangeId(line);
        const auto published = run(publishConfig(table, replica.lines(), replica.version(),
                                                 std::move(delta), BootClock::now() + 2s));
        ASSERT_TRUE(published && std::holds_alternative<Published>(published.value()));
        ASSERT_TRUE(run(pullConfig(table, replica)));
    }

    asio::io_context context;
    standin::PlatformServer store;
    Endpoint storeAddress;
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

// Guards against acting on a commit whose conditions were read before the store came back from an
// older copy: their versions may have been given to other writes.
TEST_F(RecordTableTest, ACommitOnConditionsOfAnEarlierEraFails)
{
    const auto deadline = BootClock::now() + 2s;
    const auto first = run(table.commit(writing("k", "one", 0), deadline));
    ASSERT_TRUE(first);
    const auto version = std::get<Committed>(first.value()).version;
    store.rollback(0s);
    const auto second = run(table.commit(writing("k", "two", version), deadline));
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().execution, Execution::OutcomeUnknown);
    const auto row = run(table.get("k"));
    ASSERT_TRUE(row && row.value());
    EXPECT_EQ(eraOf(row.value()->version), 1U);
    const auto third = run(table.commit(writing("k", "three", row.value()->version), deadline));
    EXPECT_TRUE(third && std::holds_alternative<Committed>(third.value()));
}

TEST_F(RecordTableTest, ARollbackDiscardsWhatWasWrittenAndGivesVersionsOutAgain)
{
    platform::Store client(storeAddress);
    store.put("op", "config", "old");
    run(sleepForResult(60ms));
    const auto before = run(client.read("own", 1s)).value().version;
    EXPECT_EQ(eraOf(before), 0U);
    ASSERT_TRUE(run(client.put("own", "k", "lost", 1s)));
    store.put("op", "config", "new");
    const auto lost = run(client.read("own", 1s)).value().version;
    EXPECT_GT(lost, before);
    store.rollback(50ms, 200ms);
    EXPECT_EQ(store.value("own", "k"), "");
    EXPECT_EQ(store.value("op", "config"), "old");
    const auto after = run(client.read("own", 1s)).value().version;
    EXPECT_EQ(after, makeRowVersion(1, before));
    // The store answers 410 to the lost version, and the client tells the eras of others apart.
    const auto feeds = { lost, before };
    for (const auto version : feeds) {
        const auto feed = run(client.changes("own", version, 0s));
        EXPECT_TRUE(feed && std::holds_alternative<platform::HistoryLost>(feed.value()));
    }
    ASSERT_TRUE(run(client.put("own", "other", "x", 1s)));
    EXPECT_EQ(storeVersionOf(run(client.read("own", 1s)).value().version),
              storeVersionOf(before) + 1);
    run(sleepForResult(300ms));
    EXPECT_EQ(store.value("op", "config"), "new");
}

// Guards against a configuration that reverts, or that differs between daemons for good: without
// the lost versions, their numbers would be given to other changes.
TEST_F(RecordTableTest, VersionsOfTheConfigurationThatWereLostAreWrittenAgain)
{
    ConfigReplica replica;
    publish(replica, "class a weight=1 timeout=1s # x");
    run(sleepForResult(60ms));
    publish(replica, "class b weight=1 timeout=1s # x");
    publish(replica, "class c weight=1 timeout=1s # x");
    ASSERT_EQ(replica.version(), 3U);
    store.rollback(50ms);
    ConfigReplica starting;
    ASSERT_TRUE(run(pullConfig(table, starting)));
    ASSERT_EQ(starting.version(), 1U);
    ASSERT_TRUE(run(pullConfig(table, replica)));
    EXPECT_EQ(replica.version(), 3U);
    ASSERT_TRUE(run(pullConfig(table, starting)));
    EXPECT_EQ(starting.version(), 3U);
    EXPECT_EQ(starting.lines(), replica.lines());
}

TEST_F(RecordTableTest, LostVersionsDoNotReplaceAnotherChange)
{
    ConfigReplica replica;
    publish(replica, "class a weight=1 timeout=1s # x");
    run(sleepForResult(60ms));
    publish(replica, "class b weight=1 timeout=1s # x");
    publish(replica, "class c weight=1 timeout=1s # x");
    store.rollback(50ms);
    ConfigReplica other;
    ASSERT_TRUE(run(pullConfig(table, other)));
    publish(other, "class d weight=1 timeout=1s # x");
    ASSERT_EQ(other.version(), 2U);
    const auto pulled = run(pullConfig(table, replica));
    ASSERT_FALSE(pulled);
    EXPECT_EQ(pulled.error().code, ErrorCode::Conflict);
    EXPECT_EQ(replica.version(), 3U);
    ASSERT_TRUE(run(pullConfig(table, other)));
    EXPECT_EQ(other.version(), 2U);
}

TEST_F(RecordTableTest, TheControlCallPlaysARollback)
{
    store.put("own", "k", "lost");
    HttpCall call;
    call.endpoint = storeAddress;
    call.request = { "POST", "/control", {}, R"({"rollback_ms":1000})" };
    call.timeout = 1s;
    const auto response = run(exchange(std::move(call)));
    ASSERT_TRUE(response);
    EXPECT_NE(response.value().body.find("\"era\":1"), std::string::npos);
    EXPECT_EQ(store.value("own", "k"), "");
    EXPECT_EQ(store.era(), 1U);
}
