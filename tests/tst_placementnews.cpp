#include "placement/placementnews.h"

#include <gtest/gtest.h>

#include <random>

using namespace bluebell;

namespace {

const IncarnationId Holder("holder");

std::set<ReplicaKey> models(const std::vector<int> &numbers)
{
    std::set<ReplicaKey> keys;
    for (const auto n : numbers)
        keys.insert({ ModelId("m" + std::to_string(n)), AdapterId() });
    return keys;
}

TargetId target(int n)
{
    return TargetId("t" + std::to_string(n));
}

/// Sends as many messages as tell of one change.
void loseMessages(PlacementLog &log)
{
    for (std::size_t n = 0; n < PlacementLog::TimesTold; ++n)
        (void)log.nextNews();
}

} // namespace

TEST(PlacementNews, TheFirstMessagesTellEverything)
{
    PlacementLog log;
    log.note({ { target(1), models({ 1 }) }, { target(2), models({ 2, 3 }) } });
    PlacementView view;
    EXPECT_FALSE(view.isUsable());
    view.take(Holder, 1, log.nextNews());
    EXPECT_FALSE(view.isIncomplete());
    EXPECT_EQ(view.residents(), log.residents());
}

TEST(PlacementNews, LaterMessagesTellOnlyWhatChanged)
{
    PlacementLog log;
    log.note({ { target(1), models({ 1 }) }, { target(2), models({ 2 }) } });
    loseMessages(log);
    log.note({ { target(1), models({ 1 }) }, { target(2), models({ 3 }) } });
    const auto news = log.nextNews();
    EXPECT_EQ(news.changed.size(), 1U);
    loseMessages(log);
    EXPECT_TRUE(log.nextNews().changed.empty());
    EXPECT_EQ(log.nextNews().number, news.number);
}

TEST(PlacementNews, ALostMessageIsMadeUpForByTheNext)
{
    PlacementLog log;
    PlacementView view;
    log.note({ { target(1), models({ 1 }) } });
    view.take(Holder, 1, log.nextNews());
    log.note({ { target(1), models({ 2 }) } });
    (void)log.nextNews();
    log.note({ { target(1), models({ 2 }) }, { target(2), models({ 4 }) } });
    view.take(Holder, 1, log.nextNews());
    EXPECT_FALSE(view.isIncomplete());
    EXPECT_EQ(view.residents(), log.residents());
}

TEST(PlacementNews, AfterALongSilenceEverythingIsAskedFor)
{
    PlacementLog log;
    PlacementView view;
    log.note({ { target(1), models({ 1 }) }, { target(2), models({ 2 }) } });
    view.take(Holder, 1, log.nextNews());
    log.note({ { target(2), models({ 2 }) } });
    loseMessages(log);
    log.note({ { target(2), models({ 5 }) } });
    view.take(Holder, 1, log.nextNews());
    EXPECT_TRUE(view.isIncomplete());
    EXPECT_TRUE(view.isUsable());
    EXPECT_EQ(view.residents().at(target(2)), models({ 5 }));
    view.take(Holder, 1, log.whole());
    EXPECT_FALSE(view.isIncomplete());
    EXPECT_EQ(view.residents(), log.residents());
}

TEST(PlacementNews, AnotherHolderBeginsAnewAndAFormerOneIsNotHeard)
{
    PlacementLog former;
    PlacementView view;
    former.note({ { target(1), models({ 1 }) }, { target(2), models({ 2 }) } });
    view.take(Holder, 1, former.nextNews());
    PlacementLog log;
    log.note({ { target(1), models({ 7 }) } });
    view.take(IncarnationId("successor"), 2, log.nextNews());
    EXPECT_EQ(view.residents(), log.residents());
    former.note({ { target(1), models({ 9 }) } });
    view.take(Holder, 1, former.nextNews());
    EXPECT_EQ(view.residents(), log.residents());
}

/// Messages are lost, late and in another order; whoever believes to know all must know all.
TEST(PlacementNews, RandomLossNeverLeavesAWrongWhole)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        PlacementLog log;
        PlacementView view;
        std::vector<PlacementNews> onTheWay;
        std::map<std::uint64_t, Residents> history;
        for (int step = 0; step < 300; ++step) {
            auto residents = log.residents();
            const auto id = target(static_cast<int>(random() % 5));
            if (random() % 8 == 0)
                residents.erase(id);
            else if (random() % 2 == 0)
                residents[id] = models({ static_cast<int>(random() % 9) });
            log.note(residents);
            history[log.whole().number] = log.residents();
            if (random() % 3 != 0)
                onTheWay.push_back(log.nextNews());
            if (view.isIncomplete() && random() % 4 == 0)
                onTheWay.push_back(log.whole());
            while (!onTheWay.empty() && random() % 3 != 0) {
                const auto at = onTheWay.begin()
                        + static_cast<std::ptrdiff_t>(random()
                                                      % std::min<std::size_t>(onTheWay.size(), 2));
                view.take(Holder, 1, *at);
                const auto number = at->number;
                onTheWay.erase(at);
                if (view.isIncomplete() || number == 0)
                    continue;
                const bool isKnownState =
                        std::any_of(history.begin(), history.end(),
                                    [&](const auto &it) { return it.second == view.residents(); });
                ASSERT_TRUE(isKnownState) << "seed " << seed << " step " << step;
            }
        }
    }
}
