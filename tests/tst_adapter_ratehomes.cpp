#include "controller/ratehomes.h"

#include <gtest/gtest.h>

using namespace bluebell;
using std::chrono::seconds;

namespace {

const OrganisationId Organisation("shop");

TimePoint at(int s)
{
    return TimePoint(seconds(1000 + s));
}

/// RateHomes of a daemon with a role row that the test can set and remove.
struct Homes
{
    std::optional<RoleRow> row;
    controller::RateHomes homes;

    Homes()
        : row(RoleRow { homeRole(Organisation), {}, 1, 1, {} }),
          homes([this](const RoleId &, TimePoint) { return row ? &*row : nullptr; }, {})
    {
        auto rules = std::make_shared<RuleSet>();
        rules->organisations[Organisation] = { Organisation, 100, 1000, ClassId("c") };
        homes.noteRules(std::move(rules), at(0));
    }

    /// \returns the granted tokens, or 0 if there is no grant
    Tokens ask(const std::string &id, Tokens tokens, TimePoint now)
    {
        const auto answer =
                homes.answer({ Organisation, { GrantId(id), tokens, tokens }, {}, 0 }, now);
        const auto *granted = std::get_if<Granted>(&answer);
        return granted == nullptr ? 0 : granted->amount;
    }
};

} // namespace

TEST(RateHomes, FirstEpochStartsWithFullBurst)
{
    Homes it;
    EXPECT_EQ(it.ask("a", 800, at(0)), 800);
}

/// Regression test: a home whose lease expired during an outage restarted with the full burst, or
/// with the level of the old handover, although it had already made grants in the same epoch.
TEST(RateHomes, RestartInSameEpochStartsEmpty)
{
    Homes it;
    EXPECT_EQ(it.ask("a", 800, at(0)), 800);
    const auto row = std::exchange(it.row, std::nullopt);
    EXPECT_EQ(it.ask("b", 100, at(1)), 0);
    it.row = row;
    EXPECT_EQ(it.ask("c", 100, at(2)), 0);
    EXPECT_EQ(it.ask("d", 100, at(10)), 100);
}

TEST(RateHomes, HandoverIsUsedOnlyOnce)
{
    Homes it;
    it.row->epoch = 5;
    it.row->handover = RateHandover { 500, 0 };
    EXPECT_EQ(it.ask("a", 500, at(0)), 500);
    const auto row = std::exchange(it.row, std::nullopt);
    EXPECT_EQ(it.ask("b", 100, at(0)), 0);
    it.row = row;
    EXPECT_EQ(it.ask("c", 100, at(0)), 0);
}

TEST(RateHomes, ClosedHomeGrantsNothing)
{
    Homes it;
    EXPECT_EQ(it.ask("a", 300, at(0)), 300);
    const auto handover = it.homes.close(homeRole(Organisation), at(0));
    ASSERT_TRUE(handover);
    EXPECT_EQ(handover->level, 500);
    EXPECT_EQ(it.ask("b", 100, at(0)), 0);
}
