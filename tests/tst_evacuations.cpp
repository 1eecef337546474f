#include "site/evacuations.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };
const DataCentreId Leicester("leicester");
const DataCentreId Derby("derby");
using DataCentres = std::set<DataCentreId>;

} // namespace

/// Guards against an evacuation or its end that takes effect late.
TEST(Evacuations, FollowTheListOfTheStore)
{
    Evacuations it;
    EXPECT_TRUE(it.noteListed({ Leicester }, 5, Start));
    EXPECT_EQ(it.dataCentres(), DataCentres({ Leicester }));
    EXPECT_FALSE(it.noteListed({ Leicester }, 6, Start));
    EXPECT_TRUE(it.noteListed({}, 7, Start));
    EXPECT_TRUE(it.dataCentres().empty());
}

/// Guards against a slow relay that ends an evacuation, or brings back one that has ended.
TEST(Evacuations, TheNewerVersionWinsInAnyOrder)
{
    Evacuations it;
    it.noteListed({ Leicester }, 8, Start);
    EXPECT_FALSE(it.note({ 7, {}, {} }, Start));
    EXPECT_EQ(it.dataCentres(), DataCentres({ Leicester }));
    EXPECT_TRUE(it.note({ 9, { Derby }, {} }, Start));
    EXPECT_FALSE(it.noteListed({ Leicester }, 8, Start));
    EXPECT_EQ(it.dataCentres(), DataCentres({ Derby }));
}

/// Guards against a daemon of the previous build, whose messages have no list, ending evacuations.
TEST(Evacuations, AMessageWithoutAVersionIsIgnored)
{
    Evacuations it;
    it.noteListed({ Leicester }, 1, Start);
    EXPECT_FALSE(it.note({}, Start));
    EXPECT_EQ(it.dataCentres(), DataCentres({ Leicester }));
}

/// Guards against requests to an evacuated data centre while the store lacks the row that was lost
/// in a restore.
TEST(Evacuations, AListOfANewEraEndsAKnownEvacuationOnlyAfterAWhile)
{
    Evacuations it;
    it.noteListed({ Leicester }, makeRowVersion(0, 90), Start);
    EXPECT_FALSE(it.noteListed({}, makeRowVersion(1, 40), Start + 1s));
    EXPECT_FALSE(it.noteListed({}, makeRowVersion(1, 45), Start + 4s));
    EXPECT_FALSE(it.expire(Start + 4900ms));
    EXPECT_EQ(it.dataCentres(), DataCentres({ Leicester }));
    EXPECT_TRUE(it.expire(Start + 5s));
    EXPECT_TRUE(it.dataCentres().empty());
}

TEST(Evacuations, ARowWrittenAgainAndThenRemovedEndsAtOnce)
{
    Evacuations it;
    it.noteListed({ Leicester }, makeRowVersion(0, 90), Start);
    it.noteListed({}, makeRowVersion(1, 40), Start);
    it.noteListed({ Leicester }, makeRowVersion(1, 41), Start + 1s);
    EXPECT_TRUE(it.noteListed({}, makeRowVersion(1, 42), Start + 2s));
    EXPECT_TRUE(it.dataCentres().empty());
    EXPECT_FALSE(it.note({ makeRowVersion(1, 40), {}, { { Leicester, 3s } } }, Start + 2s));
}

/// Guards against a second restore within the grace of the first one.
TEST(Evacuations, AnEvacuationOutlivesTwoRestoresInARow)
{
    Evacuations it;
    it.noteListed({ Leicester }, makeRowVersion(0, 90), Start);
    it.noteListed({}, makeRowVersion(1, 40), Start);
    it.noteListed({}, makeRowVersion(2, 30), Start + 1s);
    it.expire(Start + 3900ms);
    EXPECT_EQ(it.dataCentres(), DataCentres({ Leicester }));
    EXPECT_TRUE(it.expire(Start + 4s));
}

/// Guards against a daemon that never saw the lost row, because it heard only of the new era.
TEST(Evacuations, ADaemonThatMissedTheLostRowHearsOfItFromOthers)
{
    Evacuations reader;
    reader.noteListed({ Leicester }, makeRowVersion(0, 90), Start);
    reader.noteListed({}, makeRowVersion(1, 40), Start);
    Evacuations late;
    late.noteListed({}, makeRowVersion(1, 41), Start);
    EXPECT_TRUE(late.note(reader.message(Start + 1s), Start + 1s));
    EXPECT_EQ(late.dataCentres(), DataCentres({ Leicester }));
    EXPECT_TRUE(late.expire(Start + 4s));
}

/// Guards against daemons that renew an ended evacuation by telling each other of it.
TEST(Evacuations, DaemonsDoNotProlongAnEvacuationInACircle)
{
    Evacuations a;
    Evacuations b;
    a.noteListed({ Leicester }, makeRowVersion(0, 90), Start);
    a.noteListed({}, makeRowVersion(1, 40), Start);
    b.noteListed({}, makeRowVersion(1, 40), Start);
    for (auto now = Start; now < Start + 5s; now += 100ms) {
        b.note(a.message(now), now + 50ms);
        a.note(b.message(now + 50ms), now + 100ms);
    }
    EXPECT_TRUE(a.dataCentres().empty());
    EXPECT_TRUE(b.dataCentres().empty());
}

TEST(Evacuations, AVersionOfAFormerEraIsOlder)
{
    Evacuations it;
    it.noteListed({ Leicester }, makeRowVersion(1, 10), Start);
    EXPECT_FALSE(it.note({ makeRowVersion(0, 900), {}, { { Derby, 3s } } }, Start));
    EXPECT_EQ(it.dataCentres(), DataCentres({ Leicester }));
}
