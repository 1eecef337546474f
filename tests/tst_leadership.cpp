#include "membership/leadership.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 1000s };

/// The leader row in a fake store that replies at once, and that may come back from an older copy.
struct FakeLeaderRow
{
    struct State
    {
        std::optional<LeaderRecord> record;
        /// The store's own version of the row.
        std::uint64_t version = 0;
        std::uint64_t counter = 10;
    };

    [[nodiscard]] RowVersion version() const { return makeRowVersion(era, state.version); }

    /// \returns whether the writer is told that the row was written
    bool write(const LeaderRecord &it, RowVersion expected)
    {
        // The store does not compare eras, but its client does.
        if (storeVersionOf(expected) != state.version)
            return false;
        state.record = it;
        state.version = ++state.counter;
        return expected == 0 || eraOf(expected) == era;
    }

    /// Notes the state of which a copy may be made.
    void keepCopy(TimePoint now) { copies[now] = state; }
    /// Comes back from the copy that was made at `at` or just before.
    void restore(TimePoint at)
    {
        const auto later = copies.upper_bound(at);
        state = later == copies.begin() ? State() : std::prev(later)->second;
        copies.erase(later, copies.end());
        ++era;
    }

    State state;
    StoreEra era = 1;
    std::map<TimePoint, State> copies;
};

/// One daemon that performs the steps of Leadership unless it is paused. All its calls to the store
/// fail while it is partitioned.
struct CandidateDaemon
{
    CandidateDaemon(const std::string &vm, int incarnation)
        : leadership(VmId(vm), IncarnationId(vm + std::to_string(incarnation)),
                     settings(incarnation))
    {
    }

    static Leadership::Settings settings(int incarnation)
    {
        Leadership::Settings it;
        it.isFirstStart = incarnation == 1;
        return it;
    }

    void step(FakeLeaderRow &row, TimePoint now)
    {
        if (isPaused)
            return;
        switch (leadership.next(now)) {
        case LeadershipStep::Wait:
            break;
        case LeadershipStep::Read:
            leadership.readSent(now);
            if (isPartitioned)
                leadership.readFailed();
            else
                leadership.readSucceeded(row.state.record, row.version(), row.era, now);
            break;
        case LeadershipStep::Write: {
            const auto record = leadership.record(now);
            const auto expected = leadership.version();
            leadership.writeSent(now);
            if (!isPartitioned && row.write(record, expected))
                leadership.writeSucceeded(row.version());
            else
                leadership.writeFailed();
            break;
        }
        }
    }

    Leadership leadership;
    bool isPartitioned = false;
    bool isPaused = false;
};

/// Runs the candidates and checks the orders that targets would receive: epochs never decrease, and
/// orders of two VMs are at least 3 s apart.
class LeadershipSimulation
{
public:
    void add(const std::string &vm, int incarnation = 1)
    {
        candidates.insert_or_assign(vm, CandidateDaemon(vm, incarnation));
    }

    void run(Duration length)
    {
        for (const auto end = now + length; now < end; now += 20ms) {
            row.keepCopy(now);
            for (auto &[vm, it] : candidates)
                it.step(row, now);
            for (auto &[vm, it] : candidates)
                if (!it.isPaused && it.leadership.maySendOrders(now))
                    order(vm, it);
        }
    }

    void order(const std::string &vm, CandidateDaemon &it)
    {
        it.leadership.noteOrder(now);
        const auto epoch = it.leadership.epoch();
        if (!lastVm.empty() && lastVm != vm) {
            EXPECT_GE(now - lastAt, 3s) << vm << " after " << lastVm;
            EXPECT_GT(epoch, lastEpoch);
        }
        EXPECT_GE(epoch, lastEpoch);
        lastVm = vm;
        lastAt = now;
        lastEpoch = epoch;
        ++orders;
    }

    TimePoint now = Start;
    FakeLeaderRow row;
    std::map<std::string, CandidateDaemon> candidates;
    std::string lastVm;
    TimePoint lastAt;
    Epoch lastEpoch = 0;
    int orders = 0;
};

} // namespace

TEST(Leadership, LeaderIsElectedSoonAfterFirstStart)
{
    LeadershipSimulation simulation;
    for (int n = 0; n < 8; ++n)
        simulation.add("vm-" + std::to_string(n));
    simulation.run(500ms);
    EXPECT_GT(simulation.orders, 0);
}

TEST(Leadership, PartitionedLeaderIsReplacedAfterTakeoverDelay)
{
    LeadershipSimulation simulation;
    simulation.add("a");
    simulation.add("b");
    simulation.run(2s);
    const auto first = simulation.lastVm;
    simulation.candidates.at(first).isPartitioned = true;
    simulation.run(7s);
    EXPECT_NE(simulation.lastVm, first);
}

TEST(Leadership, PausedLeaderSendsNoOrderWhenItResumes)
{
    LeadershipSimulation simulation;
    simulation.add("a");
    simulation.add("b");
    simulation.run(2s);
    const auto first = simulation.lastVm;
    auto &paused = simulation.candidates.at(first);
    paused.isPaused = true;
    simulation.run(7s);
    paused.isPaused = false;
    EXPECT_FALSE(paused.leadership.maySendOrders(simulation.now));
    simulation.run(5s);
    EXPECT_NE(simulation.lastVm, first);
}

TEST(Leadership, NewIncarnationOnSameVmSkipsTakeoverDelay)
{
    LeadershipSimulation simulation;
    simulation.add("a");
    simulation.run(1s);
    simulation.add("a", 2);
    const auto before = simulation.orders;
    simulation.run(200ms);
    EXPECT_GT(simulation.orders, before);
    EXPECT_EQ(simulation.lastEpoch, firstEpochOf(1) + 2);
}

TEST(Leadership, RestartDuringTakeoverDelayKeepsTheDelay)
{
    LeadershipSimulation simulation;
    simulation.add("a");
    simulation.add("b");
    simulation.run(2s);
    const auto first = simulation.lastVm;
    const std::string second = first == "a" ? "b" : "a";
    simulation.candidates.at(first).isPartitioned = true;
    // The successor has claimed the role and is restarted while it waits for the takeover delay.
    simulation.run(2s);
    simulation.add(second, 2);
    simulation.run(8s);
    EXPECT_EQ(simulation.lastVm, second);
}

TEST(Leadership, ReleasedRoleIsTakenOverAfterTakeoverDelay)
{
    LeadershipSimulation simulation;
    simulation.add("a");
    simulation.run(1s);
    simulation.candidates.at("a").leadership.noteReleasing();
    simulation.add("b");
    const auto releasedAt = simulation.now;
    simulation.run(4s);
    EXPECT_EQ(simulation.lastVm, "b");
    EXPECT_LT(simulation.now - releasedAt, 5s);
}

TEST(Leadership, RecordWithAnAbsurdDelayIsTakenOverAfterTakeoverDelay)
{
    for (const auto delay : { Duration::max(), Duration::min() }) {
        FakeLeaderRow row;
        row.era = 0;
        row.write({ VmId("odd"), IncarnationId("odd1"), 3, delay, true }, 0);
        CandidateDaemon daemon("a", 1);
        auto now = Start;
        while (!daemon.leadership.maySendOrders(now) && now < Start + 10s) {
            daemon.step(row, now);
            now += 10ms;
        }
        EXPECT_LT(now, Start + 4s);
        EXPECT_EQ(daemon.leadership.epoch(), 4U);
    }
}

// Guards against a fencing number that is given out twice: the copy of the store does not know of
// the second holder, so the next one would count on from the first.
TEST(Leadership, EpochsRiseWhenTheStoreForgetsAHolder)
{
    LeadershipSimulation simulation;
    simulation.add("a");
    simulation.run(2s);
    const auto beforeTakeover = simulation.now;
    simulation.candidates.at("a").isPartitioned = true;
    simulation.add("b");
    simulation.run(8s);
    ASSERT_EQ(simulation.lastVm, "b");
    simulation.candidates.erase("b");
    simulation.row.restore(beforeTakeover);
    simulation.add("c");
    simulation.run(8s);
    EXPECT_EQ(simulation.lastVm, "c");
    EXPECT_EQ(eraOf(simulation.row.version()), 2U);
}

// Guards against a former holder that finds itself in the copy and goes on beside its successor.
TEST(Leadership, FormerHolderInAnOlderCopyDoesNotResume)
{
    LeadershipSimulation simulation;
    simulation.add("a");
    simulation.run(2s);
    const auto beforeTakeover = simulation.now;
    simulation.candidates.at("a").isPartitioned = true;
    simulation.add("b");
    simulation.run(8s);
    ASSERT_EQ(simulation.lastVm, "b");
    simulation.row.restore(beforeTakeover);
    simulation.candidates.at("a").isPartitioned = false;
    const auto orders = simulation.orders;
    simulation.run(1s);
    EXPECT_EQ(simulation.lastVm, "b");
    EXPECT_GT(simulation.orders, orders);
}

// Guards against a version that is given out again after a restore and looks like one row that was
// not renewed, so that the role is taken from a live leader.
TEST(Leadership, AVersionGivenOutAgainIsNotObservedAsUnchanged)
{
    LeaseObserver observer({ 1300ms, 100ms, 400ms, 1000ms });
    observer.noteRead(makeRowVersion(1, 20), Start);
    observer.noteRead(makeRowVersion(1, 20), Start + 800ms);
    observer.noteRead(makeRowVersion(2, 20), Start + 1500ms);
    EXPECT_FALSE(observer.hasExpired(Start + 1500ms));
}

TEST(Leadership, RandomFaultsNeverViolateTakeoverDelayOrEpochs)
{
    for (unsigned seed = 1; seed <= 100; ++seed) {
        std::mt19937 random(seed);
        LeadershipSimulation simulation;
        const std::vector<std::string> vms { "a", "b", "c" };
        for (const auto &it : vms)
            simulation.add(it);
        std::map<std::string, int> incarnations;
        for (int n = 0; n < 40; ++n) {
            const auto &vm = vms[random() % vms.size()];
            switch (random() % 5) {
            case 0:
                simulation.candidates.at(vm).isPartitioned =
                        !simulation.candidates.at(vm).isPartitioned;
                break;
            case 1:
                simulation.candidates.at(vm).isPaused = !simulation.candidates.at(vm).isPaused;
                break;
            case 2:
                simulation.add(vm, 2 + incarnations[vm]++);
                break;
            case 3:
                simulation.row.restore(simulation.now - std::chrono::milliseconds(random() % 6000));
                break;
            default:
                break;
            }
            simulation.run(std::chrono::milliseconds(random() % 2500));
        }
        ASSERT_FALSE(HasFailure()) << "seed " << seed;
    }
}
