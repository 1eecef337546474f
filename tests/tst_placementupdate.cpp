#include "placement/placementupdate.h"

#include <gtest/gtest.h>

#include <random>

using namespace bluebell;

namespace {

const IncarnationId Leader("holder");

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

/// Drops as many messages as include one change.
void loseMessages(PlacementPublisher &publisher)
{
    for (std::size_t n = 0; n < PlacementPublisher::MessagesPerChange; ++n)
        (void)publisher.nextUpdate();
}

} // namespace

TEST(PlacementUpdate, FirstMessagesAreSnapshots)
{
    PlacementPublisher publisher;
    publisher.setResidents({ { target(1), models({ 1 }) }, { target(2), models({ 2, 3 }) } });
    PlacementView view;
    EXPECT_FALSE(view.isUsable());
    view.applyUpdate(Leader, 1, publisher.nextUpdate());
    EXPECT_FALSE(view.isIncomplete());
    EXPECT_EQ(view.residents(), publisher.residents());
}

TEST(PlacementUpdate, LaterMessagesContainOnlyChanges)
{
    PlacementPublisher publisher;
    publisher.setResidents({ { target(1), models({ 1 }) }, { target(2), models({ 2 }) } });
    loseMessages(publisher);
    publisher.setResidents({ { target(1), models({ 1 }) }, { target(2), models({ 3 }) } });
    const auto update = publisher.nextUpdate();
    EXPECT_EQ(update.changed.size(), 1U);
    loseMessages(publisher);
    EXPECT_TRUE(publisher.nextUpdate().changed.empty());
    EXPECT_EQ(publisher.nextUpdate().number, update.number);
}

TEST(PlacementUpdate, NextMessageRepeatsChangesOfALostOne)
{
    PlacementPublisher publisher;
    PlacementView view;
    publisher.setResidents({ { target(1), models({ 1 }) } });
    view.applyUpdate(Leader, 1, publisher.nextUpdate());
    publisher.setResidents({ { target(1), models({ 2 }) } });
    (void)publisher.nextUpdate();
    publisher.setResidents({ { target(1), models({ 2 }) }, { target(2), models({ 4 }) } });
    view.applyUpdate(Leader, 1, publisher.nextUpdate());
    EXPECT_FALSE(view.isIncomplete());
    EXPECT_EQ(view.residents(), publisher.residents());
}

TEST(PlacementUpdate, TooManyLostMessagesNeedASnapshot)
{
    PlacementPublisher publisher;
    PlacementView view;
    publisher.setResidents({ { target(1), models({ 1 }) }, { target(2), models({ 2 }) } });
    view.applyUpdate(Leader, 1, publisher.nextUpdate());
    publisher.setResidents({ { target(2), models({ 2 }) } });
    loseMessages(publisher);
    publisher.setResidents({ { target(2), models({ 5 }) } });
    view.applyUpdate(Leader, 1, publisher.nextUpdate());
    EXPECT_TRUE(view.isIncomplete());
    EXPECT_TRUE(view.isUsable());
    EXPECT_EQ(view.residents().at(target(2)), models({ 5 }));
    view.applyUpdate(Leader, 1, publisher.snapshot());
    EXPECT_FALSE(view.isIncomplete());
    EXPECT_EQ(view.residents(), publisher.residents());
}

TEST(PlacementUpdate, NewLeaderReplacesStateAndFormerLeaderIsIgnored)
{
    PlacementPublisher formerPublisher;
    PlacementView view;
    formerPublisher.setResidents({ { target(1), models({ 1 }) }, { target(2), models({ 2 }) } });
    view.applyUpdate(Leader, 1, formerPublisher.nextUpdate());
    PlacementPublisher publisher;
    publisher.setResidents({ { target(1), models({ 7 }) } });
    view.applyUpdate(IncarnationId("successor"), 2, publisher.nextUpdate());
    EXPECT_EQ(view.residents(), publisher.residents());
    formerPublisher.setResidents({ { target(1), models({ 9 }) } });
    view.applyUpdate(Leader, 1, formerPublisher.nextUpdate());
    EXPECT_EQ(view.residents(), publisher.residents());
}

/// Messages are lost, delayed and reordered. Whenever the view counts as complete, its state must
/// be one that the publisher had.
TEST(PlacementUpdate, RandomLossAndReorderingNeverYieldAWrongState)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        PlacementPublisher publisher;
        PlacementView view;
        std::vector<PlacementUpdate> inTransit;
        std::map<std::uint64_t, ResidentReplicas> history;
        for (int step = 0; step < 300; ++step) {
            auto residents = publisher.residents();
            const auto id = target(static_cast<int>(random() % 5));
            if (random() % 8 == 0)
                residents.erase(id);
            else if (random() % 2 == 0)
                residents[id] = models({ static_cast<int>(random() % 9) });
            publisher.setResidents(residents);
            history[publisher.snapshot().number] = publisher.residents();
            if (random() % 3 != 0)
                inTransit.push_back(publisher.nextUpdate());
            if (view.isIncomplete() && random() % 4 == 0)
                inTransit.push_back(publisher.snapshot());
            while (!inTransit.empty() && random() % 3 != 0) {
                const auto at = inTransit.begin()
                        + static_cast<std::ptrdiff_t>(random()
                                                      % std::min<std::size_t>(inTransit.size(), 2));
                view.applyUpdate(Leader, 1, *at);
                const auto number = at->number;
                inTransit.erase(at);
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
