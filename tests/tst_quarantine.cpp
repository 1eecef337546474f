#include "quarantine/quarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

/// Guards against requests with a deadly prompt part that end one target after the other, and
/// against sound requests that are refused because targets end for other reasons.

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

using Parts = std::vector<PromptPartId>;

const PromptPartId Common("c0");
const PromptPartId Session("5e");
const PromptPartId Deadly("dead");

TargetRun run(int n)
{
    return { TargetId("t" + std::to_string(n)), 1000 };
}

TimePoint at(Duration d)
{
    return TimePoint(1h) + d;
}

/// \returns an attempt that was sent 90 ms before its target ended at `end`
CrashedAttempt attempt(int n, ResponseStage stage, Duration end)
{
    return { run(n), stage, at(end - 90ms) };
}

/// Ends three runs while a response to a request with these parts is about to begin.
void crashThreeTimes(Quarantine &quarantine, const Parts &parts, Duration from = 0ms)
{
    for (int n = 0; n < 3; ++n)
        quarantine.noteCrash(attempt(n, ResponseStage::Starting, from + n * 300ms), parts,
                             at(from + n * 300ms));
}

/// Decides at `when` and again after the settle time.
void decide(Quarantine &quarantine, Duration when)
{
    quarantine.update(at(when));
    quarantine.update(at(when + Quarantine::SettleTime));
}

bool isQuarantined(const Quarantine &quarantine, const PromptPartId &part, Duration when)
{
    return quarantine.find({ part }, at(when)).has_value();
}

} // namespace

TEST(Quarantine, TakesAPartThatCrashesEveryTarget)
{
    Quarantine quarantine;
    crashThreeTimes(quarantine, { Common, Deadly });
    quarantine.noteSurvival({ Common, Session }, at(650ms), at(800ms));
    decide(quarantine, 800ms);
    EXPECT_TRUE(isQuarantined(quarantine, Deadly, 1s));
    EXPECT_FALSE(isQuarantined(quarantine, Common, 1s));
    const auto found = quarantine.find({ Common, Deadly }, at(1s));
    ASSERT_TRUE(found);
    EXPECT_EQ(found->part, Deadly);
    EXPECT_TRUE(found->isProvisional);
    EXPECT_FALSE(quarantine.find({ Common, Deadly }, at(10s))->isProvisional);
}

TEST(Quarantine, DoesNotTakeAPartAfterTwoCrashes)
{
    Quarantine quarantine;
    quarantine.noteCrash(attempt(1, ResponseStage::Starting, 0ms), { Deadly }, at(0ms));
    quarantine.noteCrash(attempt(2, ResponseStage::Starting, 300ms), { Deadly }, at(300ms));
    decide(quarantine, 300ms);
    EXPECT_FALSE(isQuarantined(quarantine, Deadly, 1s));
    EXPECT_TRUE(quarantine.forbidsRetry({ Deadly }));
}

TEST(Quarantine, TakesTargetsThatEndTogetherForOneCrash)
{
    Quarantine quarantine;
    for (int n = 0; n < 9; ++n)
        quarantine.noteCrash(attempt(n, ResponseStage::Starting, n * 4ms), { Common }, at(n * 4ms));
    decide(quarantine, 100ms);
    EXPECT_FALSE(isQuarantined(quarantine, Common, 1s));
    EXPECT_FALSE(quarantine.forbidsRetry({ Common }));
}

TEST(Quarantine, CountsTheTargetsThatRetriesOfOneRequestEnd)
{
    Quarantine quarantine;
    for (int n = 0; n < 3; ++n)
        quarantine.noteCrash({ run(n), ResponseStage::Starting, at(n * 5ms + 1ms) }, { Deadly },
                             at(n * 5ms + 4ms));
    decide(quarantine, 50ms);
    EXPECT_TRUE(isQuarantined(quarantine, Deadly, 1s));
}

TEST(Quarantine, GivesRequestsThatWaitedLessWeightThanTheOneThatBegan)
{
    Quarantine quarantine;
    for (int n = 0; n < 3; ++n) {
        quarantine.noteCrash(attempt(n, ResponseStage::Begun, n * 300ms), { Common, Session },
                             at(n * 300ms));
        quarantine.noteCrash(attempt(n, ResponseStage::Starting, n * 300ms), { Common, Deadly },
                             at(n * 300ms));
    }
    quarantine.noteSurvival({ Common }, at(650ms), at(800ms));
    decide(quarantine, 800ms);
    EXPECT_TRUE(isQuarantined(quarantine, Deadly, 1s));
    EXPECT_FALSE(isQuarantined(quarantine, Session, 1s));
}

TEST(Quarantine, TakesTheRarerOfTwoPartsThatWereInEveryCrash)
{
    Quarantine quarantine;
    crashThreeTimes(quarantine, { Common, Session, Deadly });
    quarantine.noteArrival({ Common, Session });
    decide(quarantine, 700ms);
    decide(quarantine, 2s);
    EXPECT_TRUE(isQuarantined(quarantine, Deadly, 3s));
    EXPECT_FALSE(isQuarantined(quarantine, Session, 3s));
    EXPECT_FALSE(isQuarantined(quarantine, Common, 3s));
}

/// Guards against sound requests that are refused for good: crashes by a deadly part that comes
/// with a sound one put the sound one into quarantine, and no response could show that it is sound.
TEST(Quarantine, IsTriedSoonByRequestsWithoutAnEquallySuspectedPart)
{
    Quarantine quarantine;
    crashThreeTimes(quarantine, { Common, Deadly, Session });
    decide(quarantine, 700ms);
    ASSERT_TRUE(isQuarantined(quarantine, Session, 1s));
    const Parts sound { Common, Session };
    EXPECT_TRUE(quarantine.find(sound, at(2s))->mayBeSound);
    EXPECT_FALSE(quarantine.find({ Common, Deadly, Session }, at(2s))->mayBeSound);
    EXPECT_TRUE(quarantine.startTrialOf(sound, {}, at(2s)));
    EXPECT_FALSE(quarantine.startTrialOf(sound, {}, at(2s + 100ms)));
    quarantine.noteSurvival(sound, at(2s + 100ms), at(2s + 200ms));
    decide(quarantine, 2s + 200ms);
    EXPECT_FALSE(quarantine.needsTrial(sound));
    EXPECT_TRUE(isQuarantined(quarantine, Deadly, 3s));
    EXPECT_FALSE(quarantine.find({ Deadly }, at(3s))->mayBeSound);
}

TEST(Quarantine, IsTriedByOneDaemonAtATime)
{
    Quarantine quarantine;
    crashThreeTimes(quarantine, { Common, Deadly, Session });
    decide(quarantine, 700ms);
    constexpr std::size_t Daemons = 5;
    std::vector<std::size_t> trials(Daemons);
    for (auto when = 2s + 0ms; when < 2s + Daemons * Quarantine::TrialTurnTime; when += 50ms) {
        std::size_t allowed = 0;
        for (std::size_t n = 0; n < Daemons; ++n) {
            // The part that stands out no more than the one in quarantine.
            const bool mayStart = quarantine.mayStartTrialOf({ Deadly }, { n, Daemons }, at(when));
            allowed += mayStart ? 1 : 0;
            trials[n] += mayStart ? 1 : 0;
        }
        EXPECT_LE(allowed, 1U);
    }
    EXPECT_TRUE(std::all_of(trials.begin(), trials.end(), [](auto n) { return n > 0; }));
}

TEST(Quarantine, IsNotTriedAgainOnceATrialHasToldThePartsApart)
{
    Quarantine quarantine;
    crashThreeTimes(quarantine, { Common, Session, Deadly });
    decide(quarantine, 700ms);
    ASSERT_TRUE(quarantine.startTrialOf({ Common, Deadly }, {}, at(2s)));
    quarantine.noteCrash(attempt(7, ResponseStage::Starting, 2s + 100ms), { Common, Deadly },
                         at(2s + 100ms));
    EXPECT_FALSE(quarantine.find({ Common, Deadly }, at(5s))->mayBeSound);
}

TEST(Quarantine, TakesAPartThatExplainsMoreThanTheOneInQuarantine)
{
    Quarantine quarantine;
    crashThreeTimes(quarantine, { Common, Deadly, Session });
    decide(quarantine, 700ms);
    ASSERT_TRUE(isQuarantined(quarantine, Session, 1s));
    quarantine.noteCrash(attempt(7, ResponseStage::Starting, 2s), { Deadly }, at(2s));
    decide(quarantine, 2s);
    EXPECT_TRUE(isQuarantined(quarantine, Deadly, 3s));
}

TEST(Quarantine, IsLiftedAlthoughAnotherDaemonHasRenewedItMeanwhile)
{
    Quarantine one;
    Quarantine other;
    crashThreeTimes(one, { Common, Deadly, Session });
    decide(one, 700ms);
    other.merge(one.message(at(950ms)), at(950ms));
    const Parts sound { Common, Session };
    ASSERT_TRUE(one.startTrialOf(sound, {}, at(2s)));
    ASSERT_TRUE(other.startTrialOf(sound, {}, at(2s)));
    // Its target ends for another reason.
    other.noteCrash(attempt(8, ResponseStage::Starting, 2s + 150ms), sound, at(2s + 150ms));
    one.noteSurvival(sound, at(2s + 100ms), at(2s + 200ms));
    const auto renewed = other.message(at(2s + 250ms));
    const auto lifted = one.message(at(2s + 250ms));
    one.merge(renewed, at(2s + 300ms));
    other.merge(lifted, at(2s + 300ms));
    for (auto *it : { &one, &other }) {
        decide(*it, 2s + 300ms);
        EXPECT_FALSE(isQuarantined(*it, Session, 3s));
        EXPECT_TRUE(isQuarantined(*it, Deadly, 3s));
    }
}

TEST(Quarantine, TellsItsEvidenceToADaemonThatKnowsOnlyTheStoredVerdict)
{
    Quarantine quarantine;
    Quarantine restarted;
    crashThreeTimes(quarantine, { Common, Deadly, Session });
    decide(quarantine, 700ms);
    restarted.merge(QuarantineVerdict { Session, 1, false, 0, {} }, at(10s));
    ASSERT_FALSE(restarted.find({ Common, Session }, at(10s))->mayBeSound);
    quarantine.merge(restarted.message(at(10s)), at(10s));
    restarted.merge(quarantine.message(at(10s)), at(10s));
    EXPECT_TRUE(restarted.find({ Common, Session }, at(10s))->mayBeSound);
    EXPECT_EQ(restarted.message(at(10s)).checksum, quarantine.message(at(10s)).checksum);
}

TEST(Quarantine, IsTriedSoonByTheLeaderIfNoDaemonHasItsEvidence)
{
    Quarantine quarantine;
    quarantine.merge(QuarantineVerdict { Session, 1, false, 0, {} }, at(0s));
    EXPECT_FALSE(quarantine.startTrial(Session, at(1s)));
    EXPECT_TRUE(quarantine.startTrial(Session, at(Quarantine::UnprovenTrialDelay)));
    quarantine.noteCrash(attempt(1, ResponseStage::Starting, 3s), { Session }, at(3s));
    EXPECT_FALSE(quarantine.startTrial(Session, at(Quarantine::TrialInterval)));
}

TEST(Quarantine, CountsSurvivorsOnlyAgainstEarlierCrashes)
{
    Quarantine quarantine;
    // The part was sound when this response began, and it ends after the crashes.
    crashThreeTimes(quarantine, { Deadly }, 1s);
    quarantine.noteSurvival({ Deadly }, at(900ms), at(2s));
    decide(quarantine, 2s);
    EXPECT_TRUE(isQuarantined(quarantine, Deadly, 3s));
}

TEST(Quarantine, ForgetsTheEndOfARunThatResponds)
{
    Quarantine quarantine;
    crashThreeTimes(quarantine, { Common });
    for (int n = 0; n < 3; ++n)
        quarantine.noteSignOfLife(run(n), at(n * 300ms + 50ms), at(700ms));
    decide(quarantine, 700ms);
    EXPECT_FALSE(isQuarantined(quarantine, Common, 1s));
}

TEST(Quarantine, DoesNotTakeTheNextRunUnderTheSameIdForASignOfLife)
{
    Quarantine quarantine;
    crashThreeTimes(quarantine, { Deadly });
    for (int n = 0; n < 3; ++n)
        quarantine.noteSignOfLife(run(n), at(n * 300ms + 3s), at(4s));
    decide(quarantine, 4s);
    EXPECT_TRUE(isQuarantined(quarantine, Deadly, 5s));
}

TEST(Quarantine, IsLiftedByAResponseThatGoesOnEverywhere)
{
    Quarantine one;
    Quarantine other;
    crashThreeTimes(one, { Common });
    decide(one, 700ms);
    other.merge(one.message(at(950ms)), at(950ms));
    ASSERT_TRUE(isQuarantined(other, Common, 1s));
    other.noteSurvival({ Common }, at(1s), at(1100ms));
    EXPECT_FALSE(isQuarantined(other, Common, 1200ms));
    one.merge(other.message(at(1200ms)), at(1200ms));
    EXPECT_FALSE(isQuarantined(one, Common, 1200ms));
    // An old message does not restore it.
    one.merge(QuarantineUpdate { 7, {}, { { Common, 1, false, 0, 300ms } } }, at(1300ms));
    EXPECT_FALSE(isQuarantined(one, Common, 1300ms));
}

TEST(Quarantine, AllowsOneTrialAfterALongTime)
{
    Quarantine quarantine;
    crashThreeTimes(quarantine, { Deadly });
    decide(quarantine, 700ms);
    const auto due = 600ms + Duration(Quarantine::TrialInterval);
    EXPECT_FALSE(quarantine.startTrial(Deadly, at(due - 1s)));
    EXPECT_TRUE(quarantine.startTrial(Deadly, at(due)));
    EXPECT_FALSE(quarantine.startTrial(Deadly, at(due + 1s)));
    quarantine.noteCrash(attempt(9, ResponseStage::Starting, due + 1s), { Deadly }, at(due + 1s));
    EXPECT_FALSE(quarantine.startTrial(Deadly, at(due + 1s + Quarantine::TrialInterval)));
    EXPECT_TRUE(quarantine.startTrial(Deadly, at(due + 1s + 2 * Quarantine::TrialInterval)));
    EXPECT_TRUE(isQuarantined(quarantine, Deadly, due + 3h));
    quarantine.noteSurvival({ Deadly }, at(due + 2h), at(due + 2h));
    EXPECT_FALSE(isQuarantined(quarantine, Deadly, due + 2h));
}

TEST(Quarantine, RepeatsItsVerdictsForADaemonThatLacksThem)
{
    Quarantine quarantine;
    Quarantine starting;
    crashThreeTimes(quarantine, { Deadly });
    decide(quarantine, 700ms);
    ASSERT_TRUE(quarantine.message(at(5s)).verdicts.empty());
    quarantine.merge(starting.message(at(5s)), at(5s));
    starting.merge(quarantine.message(at(5s)), at(5s));
    EXPECT_TRUE(isQuarantined(starting, Deadly, 5s));
    EXPECT_EQ(starting.message(at(5s)).checksum, quarantine.message(at(5s)).checksum);
}

TEST(Quarantine, DecidesTheSameWhateverTheOrderOfTheMessages)
{
    std::vector<QuarantineUpdate> updates;
    for (int n = 0; n < 3; ++n) {
        Quarantine witness;
        witness.noteCrash(attempt(n, ResponseStage::Starting, n * 300ms), { Common, Deadly },
                          at(n * 300ms));
        updates.push_back(witness.message(at(n * 300ms)));
        Quarantine other;
        other.noteCrash(attempt(n, ResponseStage::Awaited, n * 300ms), { Common, Session },
                        at(n * 300ms));
        updates.push_back(other.message(at(n * 300ms)));
    }
    Quarantine survivor;
    survivor.merge(updates[0], at(1ms));
    survivor.merge(updates[2], at(301ms));
    survivor.merge(updates[4], at(601ms));
    survivor.noteSurvival({ Common }, at(700ms), at(800ms));
    updates.push_back(survivor.message(at(800ms)));
    for (unsigned seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        auto order = updates;
        order.insert(order.end(), updates.begin(), updates.end());
        std::shuffle(order.begin(), order.end(), random);
        Quarantine quarantine;
        for (auto it : order) {
            // All arrive at one moment; what they tell is older.
            for (auto &crash : it.crashes)
                crash.age = at(1s) - at((crash.run.target.value().back() - '0') * 300ms);
            quarantine.merge(it, at(1s));
        }
        decide(quarantine, 1s);
        EXPECT_TRUE(isQuarantined(quarantine, Deadly, 2s)) << "seed " << seed;
        EXPECT_FALSE(isQuarantined(quarantine, Common, 2s)) << "seed " << seed;
    }
}

TEST(Quarantine, BoundsWhatItRemembersOfInventedParts)
{
    Quarantine quarantine;
    for (int n = 0; n < 2000; ++n) {
        Parts parts;
        for (int m = 0; m < 300; ++m)
            parts.emplace_back(std::to_string(n) + "-" + std::to_string(m));
        quarantine.noteCrash(attempt(n, ResponseStage::Starting, n * 60ms), parts, at(n * 60ms));
        quarantine.merge(QuarantineVerdict { parts.front(), 1, false, 0, {} }, at(n * 60ms));
    }
    const auto message = quarantine.message(at(2000 * 60ms));
    std::size_t suspects = 0;
    for (const auto &it : message.crashes)
        suspects += it.suspects.size();
    EXPECT_LE(suspects, CrashEvidence::MaxSuspectsPerRun);
    EXPECT_EQ(quarantine.verdicts(at(2h)).size(), Quarantine::MaxVerdicts);
}
