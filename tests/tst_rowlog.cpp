#include "core/rowlog.h"
#include "core/rowversion.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

using namespace bluebell;

namespace {

struct Value
{
    int number = 0;

    Value(int n) : number(n) { }
    friend bool operator==(const Value &, const Value &) = default;
};

std::uint64_t contentHash(const std::string &key, const Value &value)
{
    return std::hash<std::string>()(key + std::to_string(value.number));
}

using Log = RowLog<std::string, Value>;
using Changes = Log::Changes;

} // namespace

TEST(RowLog, PassesOnChangesAndRemovals)
{
    Log source;
    source.put("a", 1, 3);
    source.put("b", 2, 4);
    source.advanceTo(5);
    Log replica;
    EXPECT_EQ(replica.apply(source.changesSince(0)), (std::set<std::string> { "a", "b" }));
    EXPECT_EQ(replica.version(), 5U);
    source.put("a", std::nullopt, 6);
    source.advanceTo(6);
    EXPECT_EQ(replica.apply(source.changesSince(5)), std::set<std::string> { "a" });
    EXPECT_EQ(replica.find("a"), nullptr);
    ASSERT_NE(replica.find("b"), nullptr);
    EXPECT_EQ(replica.find("b")->number, 2);
}

TEST(RowLog, NotesAGapAndClosesItWithASnapshot)
{
    Log replica;
    replica.apply(Changes { 0, 2, { { "a", 1 } } });
    replica.apply(Changes { 4, 6, { { "b", 7 } } });
    EXPECT_TRUE(replica.isBehind());
    EXPECT_EQ(replica.version(), 2U);
    ASSERT_NE(replica.find("b"), nullptr);
    // The snapshot is older than the changes that were applied already.
    replica.apply(Changes { 0, 5, { { "a", 3 }, { "b", 5 } } });
    EXPECT_FALSE(replica.isBehind());
    EXPECT_EQ(replica.version(), 6U);
    EXPECT_EQ(replica.find("a")->number, 3);
    EXPECT_EQ(replica.find("b")->number, 7);
}

/// A row is removed and returns. One source has seen both, the other one neither.
TEST(RowLog, AChecksumShowsChangesThatWereUndone)
{
    Log first;
    Log second;
    for (auto *it : { &first, &second })
        it->replaceAll({ { "a", 1 }, { "b", 1 } }, 4);
    Log replica;
    replica.apply(first.changesSince(0));
    second.replaceAll({ { "a", 1 } }, 7);
    replica.apply(second.changesSince(4));
    first.replaceAll({ { "a", 1 }, { "b", 1 } }, 9);
    replica.apply(first.changesSince(4));
    EXPECT_TRUE(replica.isBehind());
    replica.apply(first.changesSince(0));
    EXPECT_FALSE(replica.isBehind());
    EXPECT_NE(replica.find("b"), nullptr);
}

TEST(RowLog, UnchangedRowsAreNotPassedOnAgain)
{
    Log log;
    EXPECT_TRUE(log.put("a", 1, 3));
    EXPECT_FALSE(log.put("a", 1, 9));
    log.advanceTo(9);
    EXPECT_TRUE(log.changesSince(3).rows.empty());
}

TEST(RowLog, OldRemovalsAreForgottenAndThenNeedASnapshot)
{
    Log log;
    const auto removals = static_cast<std::uint64_t>(Log::MaxRemovedRows) + 10;
    for (std::uint64_t n = 1; n <= removals; ++n) {
        log.put("key" + std::to_string(n), 1, 2 * n);
        log.put("key" + std::to_string(n), std::nullopt, 2 * n + 1);
    }
    log.advanceTo(2 * removals + 1);
    EXPECT_TRUE(log.changesSince(2).isSnapshot());
    EXPECT_FALSE(log.changesSince(2 * removals).isSnapshot());
}

/// Changes from two sources are lost, delayed and reordered. A replica that does not count as
/// behind must have the rows that the table had at the replica's version.
TEST(RowLog, RandomLossAndReorderingNeverYieldAWrongState)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        std::map<std::string, Value> table;
        std::map<std::uint64_t, std::map<std::string, Value>> history { { 0, {} } };
        std::uint64_t version = 0;
        std::vector<Log> sources(2);
        std::vector<std::uint64_t> bases(2, 0);
        std::vector<Changes> inTransit;
        Log replica;
        for (int step = 0; step < 200; ++step) {
            const auto key = std::string(1, static_cast<char>('a' + random() % 5));
            ++version;
            if (random() % 4 == 0)
                table.erase(key);
            else
                table.insert_or_assign(key, static_cast<int>(random() % 3));
            history[version] = table;
            for (std::size_t n = 0; n < sources.size(); ++n) {
                if (random() % 2 == 0)
                    continue;
                sources[n].replaceAll(table, version);
                inTransit.push_back(sources[n].changesSince(random() % 9 == 0 ? 0 : bases[n]));
                bases[n] = sources[n].version();
            }
            while (!inTransit.empty() && random() % 3 != 0) {
                const auto at = inTransit.begin()
                        + static_cast<std::ptrdiff_t>(random()
                                                      % std::min<std::size_t>(inTransit.size(), 3));
                if (random() % 5 != 0)
                    replica.apply(*at);
                inTransit.erase(at);
                if (replica.isBehind())
                    continue;
                std::map<std::string, Value> rows;
                for (const auto &[name, row] : replica.changesSince(0).rows)
                    if (row)
                        rows.emplace(name, *row);
                ASSERT_EQ(rows, history.at(replica.version()))
                        << "seed " << seed << " step " << step;
            }
        }
    }
}

namespace {

/// A table of the store that can come back from an older copy.
struct StoredTable
{
    struct Write
    {
        std::string key;
        std::optional<Value> row;
    };

    /// All writes; the n-th has version n.
    std::vector<Write> writes;
    StoreEra era = 0;

    [[nodiscard]] RowVersion version() const { return makeRowVersion(era, writes.size()); }
    [[nodiscard]] std::map<std::string, Value> rows() const
    {
        std::map<std::string, Value> all;
        for (const auto &it : writes) {
            all.erase(it.key);
            if (it.row)
                all.emplace(it.key, *it.row);
        }
        return all;
    }
};

/// Brings `log` up to date, as a daemon does that reads the table itself.
void readTable(Log &log, const StoredTable &table)
{
    const auto known = storeVersionOf(log.version());
    if (log.version() == 0 || eraOf(log.version()) != table.era || known > table.writes.size()) {
        log.replaceAll(table.rows(), table.version());
        return;
    }
    for (auto n = known; n < table.writes.size(); ++n)
        log.putWritten(table.writes[n].key, table.writes[n].row, table.version());
    log.advanceTo(table.version());
}

} // namespace

// Guards against rows that stay different for good between daemons of which one has seen the store
// come back from an older copy, and another one what was lost.
TEST(RowLog, ReplicasOfReadersThatHaveSeenDifferentErasBecomeEqual)
{
    for (unsigned seed = 1; seed <= 500; ++seed) {
        std::mt19937 random(seed);
        const auto chance = [&](unsigned percent) {
            return random() % 100 < percent;
        };
        StoredTable table;
        std::vector<Log> readers(2);
        Log replica;
        const auto update = [&](const Log &reader) {
            replica.apply(reader.changesSince(replica.version()));
            if (replica.isBehind())
                replica.apply(reader.changesSince(0));
        };
        for (int step = 0; step < 60; ++step) {
            const auto key = std::string(1, static_cast<char>('a' + random() % 4));
            const auto row = chance(30) ? std::nullopt : std::optional<Value>(random() % 3);
            table.writes.push_back({ key, row });
            if (chance(10)) {
                table.writes.resize(table.writes.size() - random() % table.writes.size());
                ++table.era;
            }
            for (auto &it : readers)
                if (chance(40))
                    readTable(it, table);
            if (chance(50))
                update(readers[random() % readers.size()]);
        }
        for (auto &it : readers)
            readTable(it, table);
        update(readers[0]);
        for (const auto *log : { &replica, &readers[0], &readers[1] }) {
            EXPECT_EQ(log->version(), table.version()) << seed;
            std::map<std::string, Value> rows;
            for (const auto &[key, it] : log->changesSince(0).rows)
                rows.emplace(key, *it);
            EXPECT_EQ(rows, table.rows()) << seed;
        }
    }
}
