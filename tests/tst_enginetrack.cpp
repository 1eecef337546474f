#include "placement/enginetrack.h"

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

EngineState holding(std::set<ReplicaKey> resident, std::uint64_t sequence)
{
    EngineState state;
    state.resident = std::move(resident);
    state.sequence = sequence;
    return state;
}

EngineTrack trackOf(const EngineState &state)
{
    TargetEntry entry;
    entry.id = TargetId("t1");
    entry.born = 1;
    entry.engine = state;
    EngineTrack track;
    track.noteEntry(entry, Start);
    track.noteReport(state, Start);
    return track;
}

} // namespace

/// Regression: an adapter whose order was not answered was told to leave as soon as it was there.
TEST(EngineTrack, AnAdapterThatAReportShowsFirstIsNotTheIdlest)
{
    auto track = trackOf(holding({ Model, adapter("a1") }, 0));
    track.noteUse(adapter("a1"), Start + 1s);
    const auto order =
            track.give(IntentAction::Load, adapter("a2"), { 15ms, false, true }, Start + 2s);
    track.noteOutcome(order, OrderOutcome::Unknown, Start + 2s);
    track.noteReport(holding({ Model, adapter("a1"), adapter("a2") }, 1), Start + 3s);
    EXPECT_EQ(track.idlestAdapter(), adapter("a1"));
}

/// An adapter that leaves later keeps its place, and the one that is told is not told again at
/// once.
TEST(EngineTrack, AnAdapterInUseHoldsItsPlaceUntilAReportShowsItsEnd)
{
    auto track = trackOf(holding({ Model, adapter("a1"), adapter("a2") }, 0));
    const auto order =
            track.give(IntentAction::Unload, adapter("a1"), { 53ms, false, true }, Start);
    track.noteOutcome(order, OrderOutcome::Accepted, Start);
    EXPECT_EQ(track.adapterPlacesTaken(), 2U);
    EXPECT_FALSE(track.serves(adapter("a1")));
    EXPECT_FALSE(track.idlestAdapter());
    track.noteReport(holding({ Model, adapter("a1"), adapter("a2") }, 1), Start + 1s);
    EXPECT_EQ(track.adapterPlacesTaken(), 2U);
    track.noteReport(holding({ Model, adapter("a2") }, 1), Start + 2s);
    EXPECT_EQ(track.adapterPlacesTaken(), 1U);
}

TEST(EngineTrack, AnotherIncarnationStartsAnew)
{
    auto track = trackOf(holding({ Model, adapter("a1") }, 4));
    TargetEntry entry;
    entry.id = TargetId("t1");
    entry.born = 2;
    entry.engine = EngineState();
    track.noteEntry(entry, Start + 1s);
    EXPECT_FALSE(track.serves(Model));
    EXPECT_EQ(track.state().sequence, 0U);
    EXPECT_FALSE(track.takesOrders(ServiceId()));
}
