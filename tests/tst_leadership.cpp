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

/// The leader row in a fake store that replies at once.
struct FakeLeaderRow
{
    std::optional<LeaderRecord> record;
    RowVersion version = 0;
    RowVersion counter = 10;

    bool write(const LeaderRecord &it, RowVersion expected)
    {
        if (expected != version)
            return false;
        record = it;
        version = ++counter;
        return true;
    }
};

/// One daemon that performs the steps of Leadership unless it is paused. All its calls to the store
/// fail while it is partitioned.
struct CandidateDaemon
{
    CandidateDaemon(const std::string &vm, int incarnation)
        : leadership(VmId(vm), IncarnationId(vm + std::to_string(incarnation)), {})
    {
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
                leadership.readSucceeded(row.record, row.version, now);
            break;
        case LeadershipStep::Write: {
            const auto record = leadership.record(now);
            const auto expected = leadership.version();
            leadership.writeSent(now);
            if (!isPartitioned && row.write(record, expected))
                leadership.writeSucceeded(row.version);
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
    EXPECT_EQ(simulation.lastEpoch, 2U);
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

TEST(Leadership, RandomFaultsNeverViolateTakeoverDelayOrEpochs)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        LeadershipSimulation simulation;
        const std::vector<std::string> vms { "a", "b", "c" };
        for (const auto &it : vms)
            simulation.add(it);
        std::map<std::string, int> incarnations;
        for (int n = 0; n < 40; ++n) {
            const auto &vm = vms[random() % vms.size()];
            switch (random() % 4) {
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
            default:
                break;
            }
            simulation.run(std::chrono::milliseconds(random() % 2500));
        }
        ASSERT_FALSE(HasFailure()) << "seed " << seed;
    }
}
