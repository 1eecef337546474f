#include "placement/enginetracker.h"

#include <gtest/gtest.h>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };
const ReplicaKey Model { ModelId("m0"), AdapterId() };

ReplicaKey adapter(const std::string &name)
{
    return { ModelId("m0"), AdapterId(name) };
}

EngineState stateWith(std::set<ReplicaKey> resident, std::uint64_t sequence)
{
    EngineState state;
    state.resident = std::move(resident);
    state.sequence = sequence;
    return state;
}

EngineTracker trackerWith(const EngineState &state)
{
    TargetEntry entry;
    entry.id = TargetId("t1");
    entry.startTimeMs = 1;
    entry.engine = state;
    EngineTracker tracker;
    tracker.noteEntry(entry, Start);
    tracker.noteReport(state, Start);
    return tracker;
}

} // namespace

/// Regression: an adapter whose load order got no response was unloaded as soon as it was resident,
/// because it had no time of last use.
TEST(EngineTracker, AdapterFirstSeenInAReportIsNotLeastRecentlyUsed)
{
    auto tracker = trackerWith(stateWith({ Model, adapter("a1") }, 0));
    tracker.noteUse(adapter("a1"), Start + 1s);
    const auto order = tracker.beginOrder(IntentAction::Load, adapter("a2"), { 15ms, false, true },
                                          Start + 2s);
    tracker.noteOutcome(order, OrderOutcome::Unknown, Start + 2s);
    tracker.noteReport(stateWith({ Model, adapter("a1"), adapter("a2") }, 1), Start + 3s);
    EXPECT_EQ(tracker.leastRecentlyUsedAdapter(), adapter("a1"));
}

/// An adapter whose unload was accepted but not completed keeps its slot. While it is unloading, no
/// adapter is chosen for another unload.
TEST(EngineTracker, AdapterInUseKeepsItsSlotUntilAReportShowsItUnloaded)
{
    auto tracker = trackerWith(stateWith({ Model, adapter("a1"), adapter("a2") }, 0));
    const auto order =
            tracker.beginOrder(IntentAction::Unload, adapter("a1"), { 53ms, false, true }, Start);
    tracker.noteOutcome(order, OrderOutcome::Accepted, Start);
    EXPECT_EQ(tracker.adapterSlotsTaken(), 2U);
    EXPECT_FALSE(tracker.serves(adapter("a1")));
    EXPECT_FALSE(tracker.leastRecentlyUsedAdapter());
    tracker.noteReport(stateWith({ Model, adapter("a1"), adapter("a2") }, 1), Start + 1s);
    EXPECT_EQ(tracker.adapterSlotsTaken(), 2U);
    tracker.noteReport(stateWith({ Model, adapter("a2") }, 1), Start + 2s);
    EXPECT_EQ(tracker.adapterSlotsTaken(), 1U);
}

TEST(EngineTracker, NewIncarnationResetsState)
{
    auto tracker = trackerWith(stateWith({ Model, adapter("a1") }, 4));
    TargetEntry entry;
    entry.id = TargetId("t1");
    entry.startTimeMs = 2;
    entry.engine = EngineState();
    tracker.noteEntry(entry, Start + 1s);
    EXPECT_FALSE(tracker.serves(Model));
    EXPECT_EQ(tracker.state().sequence, 0U);
    EXPECT_FALSE(tracker.acceptsOrders(ServiceId()));
}
