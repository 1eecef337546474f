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

/// The row of the role in a store that answers at once.
struct RoleRowStandIn
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

/// One daemon that follows the steps as long as it runs and reaches the store.
struct Contender
{
    Contender(const std::string &vm, int incarnation)
        : leadership(VmId(vm), IncarnationId(vm + std::to_string(incarnation)), {})
    {
    }

    void step(RoleRowStandIn &row, TimePoint now)
    {
        if (isFrozen)
            return;
        switch (leadership.next(now)) {
        case LeadershipStep::Wait:
            break;
        case LeadershipStep::Read:
            leadership.readSent(now);
            if (isCut)
                leadership.readFailed();
            else
                leadership.readSucceeded(row.record, row.version, now);
            break;
        case LeadershipStep::Write: {
            const auto record = leadership.record(now);
            const auto expected = leadership.version();
            leadership.writeSent(now);
            if (!isCut && row.write(record, expected))
                leadership.writeSucceeded(row.version);
            else
                leadership.writeFailed();
            break;
        }
        }
    }

    Leadership leadership;
    bool isCut = false;
    bool isFrozen = false;
};

/// Runs contenders and checks what orders the targets would see.
class World
{
public:
    void add(const std::string &vm, int incarnation = 1)
    {
        contenders.insert_or_assign(vm, Contender(vm, incarnation));
    }

    void run(Duration length)
    {
        for (const auto end = now + length; now < end; now += 20ms) {
            for (auto &[vm, it] : contenders)
                it.step(row, now);
            for (auto &[vm, it] : contenders)
                if (!it.isFrozen && it.leadership.mayOrder(now))
                    order(vm, it);
        }
    }

    void order(const std::string &vm, Contender &it)
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
    RoleRowStandIn row;
    std::map<std::string, Contender> contenders;
    std::string lastVm;
    TimePoint lastAt;
    Epoch lastEpoch = 0;
    int orders = 0;
};

} // namespace

TEST(Leadership, OneOfManyOrdersSoonAfterTheFirstStart)
{
    World world;
    for (int n = 0; n < 8; ++n)
        world.add("vm-" + std::to_string(n));
    world.run(500ms);
    EXPECT_GT(world.orders, 0);
}

TEST(Leadership, AnotherTakesOverFromACutHolderAfterItsTurn)
{
    World world;
    world.add("a");
    world.add("b");
    world.run(2s);
    const auto first = world.lastVm;
    world.contenders.at(first).isCut = true;
    world.run(7s);
    EXPECT_NE(world.lastVm, first);
}

TEST(Leadership, AFrozenHolderGivesNoOrderWhenItWakes)
{
    World world;
    world.add("a");
    world.add("b");
    world.run(2s);
    const auto first = world.lastVm;
    auto &frozen = world.contenders.at(first);
    frozen.isFrozen = true;
    world.run(7s);
    frozen.isFrozen = false;
    EXPECT_FALSE(frozen.leadership.mayOrder(world.now));
    world.run(5s);
    EXPECT_NE(world.lastVm, first);
}

TEST(Leadership, ANewIncarnationOnTheSameVmNeedsNoTurn)
{
    World world;
    world.add("a");
    world.run(1s);
    world.add("a", 2);
    const auto before = world.orders;
    world.run(200ms);
    EXPECT_GT(world.orders, before);
    EXPECT_EQ(world.lastEpoch, 2U);
}

TEST(Leadership, ARestartInsideATurnKeepsTheTurn)
{
    World world;
    world.add("a");
    world.add("b");
    world.run(2s);
    const auto first = world.lastVm;
    const std::string second = first == "a" ? "b" : "a";
    world.contenders.at(first).isCut = true;
    // The successor has claimed the role, but still waits for its turn, when it is restarted.
    world.run(2s);
    world.add(second, 2);
    world.run(8s);
    EXPECT_EQ(world.lastVm, second);
}

TEST(Leadership, AReleasedRoleIsTakenAfterTheTurn)
{
    World world;
    world.add("a");
    world.run(1s);
    world.contenders.at("a").leadership.noteReleasing();
    world.add("b");
    const auto releasedAt = world.now;
    world.run(4s);
    EXPECT_EQ(world.lastVm, "b");
    EXPECT_LT(world.now - releasedAt, 5s);
}

TEST(Leadership, RandomFaultsNeverBreakTheTurnsOrTheEpochs)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        World world;
        const std::vector<std::string> vms { "a", "b", "c" };
        for (const auto &it : vms)
            world.add(it);
        std::map<std::string, int> incarnations;
        for (int n = 0; n < 40; ++n) {
            const auto &vm = vms[random() % vms.size()];
            switch (random() % 4) {
            case 0:
                world.contenders.at(vm).isCut = !world.contenders.at(vm).isCut;
                break;
            case 1:
                world.contenders.at(vm).isFrozen = !world.contenders.at(vm).isFrozen;
                break;
            case 2:
                world.add(vm, 2 + incarnations[vm]++);
                break;
            default:
                break;
            }
            world.run(std::chrono::milliseconds(random() % 2500));
        }
        ASSERT_FALSE(HasFailure()) << "seed " << seed;
    }
}
