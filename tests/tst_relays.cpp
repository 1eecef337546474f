#include "relaysimulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

/// Bounds of the users' large deployment.
constexpr Duration DrainBound = 4s;
constexpr Duration StableWindow = 5s;
constexpr Duration DirectoryBound = StableWindow + 3s;

/// Checks after each step that all daemons which have been undisturbed for the stable window know
/// every write that is older than the bound.
class PropagationCheck
{
public:
    explicit PropagationCheck(RelaySimulation &fleet) : m_fleet(fleet) { }

    /// Runs the simulation and writes a row now and then.
    void run(Duration length)
    {
        const auto end = m_fleet.now() + length;
        while (m_fleet.now() < end) {
            m_fleet.run(100ms);
            if (++m_steps % 7 == 0)
                m_writes.emplace_back(m_fleet.now(), m_fleet.writeRow());
            while (m_writes.size() > 1 && m_fleet.now() - m_writes[1].first >= DrainBound)
                m_writes.pop_front();
            if (!m_writes.empty() && m_fleet.now() - m_writes.front().first >= DrainBound)
                check(m_writes.front().second);
        }
    }

    [[nodiscard]] std::size_t violations() const noexcept { return m_violations; }
    [[nodiscard]] std::size_t checks() const noexcept { return m_checks; }

private:
    void check(std::uint64_t version)
    {
        for (std::size_t n = 0; n < m_fleet.size(); ++n) {
            if (!m_fleet.isRunning(n) || m_fleet.calmSince(n) > m_fleet.now() - StableWindow)
                continue;
            ++m_checks;
            m_violations += m_fleet.versionAt(n) < version ? 1 : 0;
        }
    }

    RelaySimulation &m_fleet;
    std::deque<std::pair<TimePoint, std::uint64_t>> m_writes;
    std::size_t m_steps = 0;
    std::size_t m_violations = 0;
    std::size_t m_checks = 0;
};

} // namespace

TEST(Relays, FewDaemonsReadTheStoreAndAllKnowItsRows)
{
    RelaySimulation fleet({});
    fleet.run(12s);
    EXPECT_EQ(fleet.relayCount(), 10U);
    EXPECT_EQ(fleet.readerCount(), 10U);
    const auto version = fleet.writeRow();
    fleet.run(DrainBound);
    for (std::size_t n = 0; n < fleet.size(); ++n)
        EXPECT_GE(fleet.versionAt(n), version);
}

/// The number of messages that a daemon receives must not grow with the fleet.
TEST(Relays, MessagesOfADaemonDoNotGrowWithTheFleet)
{
    std::map<std::size_t, std::uint64_t> medians;
    std::map<std::size_t, std::uint64_t> most;
    for (const std::size_t size : { 100U, 200U, 400U }) {
        RelayScenario scenario;
        scenario.daemons = size;
        // The target has 13 data centres with 31 daemons each.
        scenario.dataCentres = size / 31;
        RelaySimulation fleet(scenario);
        fleet.run(10s);
        std::vector<std::uint64_t> received;
        for (std::size_t n = 0; n < fleet.size(); ++n)
            received.push_back(fleet.received(n));
        std::nth_element(received.begin(), received.begin() + size / 2, received.end());
        medians[size] = received[size / 2];
        most[size] = fleet.mostSent();
    }
    EXPECT_LE(medians.at(400), medians.at(100) * 11 / 10);
    // A relay also sends a summary to each other relay.
    EXPECT_LE(most.at(400), most.at(100) * 2);
}

TEST(Relays, ADeadDaemonIsKnownEverywhereInTime)
{
    RelaySimulation fleet({});
    fleet.run(10s);
    fleet.kill(17);
    fleet.run(DirectoryBound);
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        if (n != 17) {
            EXPECT_TRUE(fleet.isUnavailable(n, 17)) << n;
        }
    }
}

/// Guards against an address lookup that names a daemon that has been gone for more than
/// StableWindowMs + 3 s, also when other daemons, relays among them, fail at the same time and
/// afterwards.
TEST(Relays, ADaemonThatIsGoneIsNotListedAfterSevenSeconds)
{
    constexpr std::size_t Gone = 17;
    RelaySimulation fleet({});
    fleet.run(10s);
    for (std::size_t n = Gone; n < fleet.size(); n += 10)
        fleet.kill(n);
    fleet.run(7s);
    std::size_t listed = 0;
    for (int step = 0; step < 100; ++step) {
        if (step == 20)
            for (std::size_t n = 0; n < fleet.size(); n += 4)
                fleet.kill(n);
        fleet.run(50ms);
        for (std::size_t n = 0; n < fleet.size(); ++n) {
            const bool isRunning = n % 10 != Gone % 10 && (step < 20 || n % 4 != 0);
            if (isRunning && fleet.knowsFleet(n))
                listed += fleet.isUnavailable(n, Gone) ? 0 : 1;
        }
    }
    EXPECT_EQ(listed, 0U);
}

/// Regression: after all daemons had been killed, a VM that was lost long before was listed until
/// the new relays had missed its reports, since its row was still in the store.
TEST(Relays, ALostDaemonIsNotListedAfterARestartOfTheOthers)
{
    constexpr std::size_t Lost = 17;
    RelaySimulation fleet({});
    fleet.run(10s);
    for (std::size_t n = 0; n < fleet.size(); ++n)
        fleet.kill(n);
    fleet.run(500ms);
    for (std::size_t n = 0; n < fleet.size(); ++n)
        if (n != Lost)
            fleet.restart(n);
    std::size_t listed = 0;
    for (int step = 0; step < 80; ++step) {
        fleet.run(50ms);
        for (std::size_t n = 0; n < fleet.size(); ++n)
            if (n != Lost && fleet.knowsFleet(n))
                listed += fleet.isUnavailable(n, Lost) ? 0 : 1;
    }
    EXPECT_EQ(listed, 0U);
    std::size_t missing = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n)
        for (std::size_t other = 0; n != Lost && other < fleet.size(); ++other)
            missing += other != Lost && fleet.isUnavailable(n, other) ? 1 : 0;
    EXPECT_EQ(missing, 0U);
}

TEST(Relays, RunningDaemonsAreAvailableDespiteLostDatagrams)
{
    RelayScenario scenario;
    scenario.loss = 0.1;
    RelaySimulation fleet(scenario);
    fleet.run(10s);
    std::size_t missing = 0;
    for (int step = 0; step < 40; ++step) {
        fleet.run(500ms);
        for (std::size_t observer = 0; observer < fleet.size(); observer += 20)
            for (std::size_t n = 0; n < fleet.size(); ++n)
                missing += fleet.isUnavailable(observer, n) ? 1 : 0;
    }
    // Of 80,000 pairs of observer and daemon.
    EXPECT_LE(missing, 80U);
}

TEST(Relays, DaemonsWithoutRelaysReadTheStoreThemselves)
{
    RelaySimulation fleet({});
    fleet.run(10s);
    fleet.cut(40, false);
    fleet.run(4s);
    const auto version = fleet.writeRow();
    fleet.run(DrainBound);
    EXPECT_GE(fleet.versionAt(40), version);
}

/// A crowd that reads the store at once while it is down is of no use.
TEST(Relays, NobodyElseReadsWhenTheRelaysAreCutOffFromTheStore)
{
    RelaySimulation fleet({});
    fleet.run(12s);
    for (std::size_t n = 0; n < fleet.size(); ++n)
        fleet.cutFromStore(n);
    fleet.run(10s);
    EXPECT_LE(fleet.readerCount(), 12U);
}

TEST(Relays, AllDaemonsServeAgainSoonAfterAllWereKilled)
{
    RelaySimulation fleet({});
    fleet.run(10s);
    for (std::size_t n = 0; n < fleet.size(); ++n)
        fleet.kill(n);
    fleet.run(500ms);
    const auto version = fleet.writeRow();
    for (std::size_t n = 0; n < fleet.size(); ++n)
        fleet.restart(n);
    fleet.run(3s);
    for (std::size_t n = 0; n < fleet.size(); ++n)
        EXPECT_GE(fleet.versionAt(n), version) << n;
}

/// Kills of single daemons and of herds, suspensions and cuts, in random order. Every daemon that
/// is undisturbed for the stable window must know what was acknowledged the drain bound ago.
TEST(Relays, UndisturbedDaemonsKnowEveryChangeInTimeUnderFaults)
{
    for (unsigned seed = 1; seed <= 6; ++seed) {
        RelayScenario scenario;
        scenario.daemons = seed % 2 == 0 ? 200 : 90;
        scenario.loss = 0.02;
        scenario.seed = seed;
        RelaySimulation fleet(scenario);
        std::mt19937 random(seed);
        PropagationCheck check(fleet);
        check.run(8s);
        const auto any = [&] {
            return random() % fleet.size();
        };
        std::vector<std::pair<TimePoint, std::size_t>> restarts;
        std::vector<std::pair<TimePoint, std::size_t>> heals;
        for (int event = 0; event < 25; ++event) {
            switch (random() % 5) {
            case 0:
                // A herd.
                for (std::size_t n = 0; n < fleet.size(); ++n)
                    if (random() % 3 == 0 && fleet.isRunning(n)) {
                        fleet.kill(n);
                        restarts.emplace_back(fleet.now() + 500ms, n);
                    }
                break;
            case 1:
                if (const auto n = any(); fleet.isRunning(n)) {
                    fleet.kill(n);
                    restarts.emplace_back(fleet.now() + 2s, n);
                }
                break;
            case 2:
                fleet.freeze(any(), 3s);
                break;
            case 3: {
                const auto n = any();
                fleet.cut(n, random() % 2 == 0);
                heals.emplace_back(fleet.now() + 3s, n);
                break;
            }
            default: {
                const auto n = any();
                fleet.cutFromStore(n);
                heals.emplace_back(fleet.now() + 5s, n);
                break;
            }
            }
            check.run(std::chrono::milliseconds(300 + random() % 1200));
            std::erase_if(restarts, [&](const auto &it) {
                const bool isDue = it.first <= fleet.now();
                if (isDue)
                    fleet.restart(it.second);
                return isDue;
            });
            std::erase_if(heals, [&](const auto &it) {
                const bool isDue = it.first <= fleet.now();
                if (isDue)
                    fleet.heal(it.second);
                return isDue;
            });
        }
        EXPECT_EQ(check.violations(), 0U) << "seed " << seed << ", of " << check.checks();
    }
}

namespace {

/// Load of one organisation on a fleet.
struct RateLoad
{
    RateLimit limit;
    /// Tokens asked for per second, at daemons chosen at random.
    double demand = 0;
    Tokens tokensPerRequest = 1000;
    bool withKills = false;
    /// Fraction of the admitted requests that don't run; their tokens are returned after 400 ms.
    double refunded = 0;
};

/// \returns the most tokens that the fleet admits in any window
Tokens mostAdmittedInAWindow(std::size_t size, const RateLoad &load, Duration window)
{
    constexpr Duration Step = 10ms;
    RelayScenario scenario;
    scenario.daemons = size;
    scenario.dataCentres = size / 31;
    scenario.seed = static_cast<unsigned>(size);
    RelaySimulation fleet(scenario);
    fleet.setLimit(load.limit);
    fleet.run(8s);
    std::mt19937 random(7);
    std::poisson_distribution<int> arrivals(load.demand * toSeconds(Step)
                                            / static_cast<double>(load.tokensPerRequest));
    std::deque<std::pair<TimePoint, Tokens>> admitted;
    Tokens inWindow = 0;
    Tokens most = 0;
    std::vector<std::pair<TimePoint, std::size_t>> restarts;
    std::deque<std::pair<TimePoint, std::size_t>> refunds;
    for (int step = 0; step < 2400; ++step) {
        fleet.run(Step);
        for (int n = arrivals(random); n > 0; --n)
            if (const auto daemon = random() % size; fleet.admit(daemon, load.tokensPerRequest)) {
                if (std::uniform_real_distribution<>(0, 1)(random) < load.refunded) {
                    refunds.emplace_back(fleet.now() + 400ms, daemon);
                    continue;
                }
                admitted.emplace_back(fleet.now(), load.tokensPerRequest);
                inWindow += load.tokensPerRequest;
            }
        while (!refunds.empty() && refunds.front().first <= fleet.now()) {
            fleet.refund(refunds.front().second, load.tokensPerRequest);
            refunds.pop_front();
        }
        if (load.withKills && step % 300 == 150)
            for (std::size_t n = 0; n < size; ++n)
                if (random() % 10 == 0 && fleet.isRunning(n)) {
                    fleet.kill(n);
                    restarts.emplace_back(fleet.now() + 500ms, n);
                }
        std::erase_if(restarts, [&](const auto &it) {
            const bool isDue = it.first <= fleet.now();
            if (isDue)
                fleet.restart(it.second);
            return isDue;
        });
        while (!admitted.empty() && fleet.now() - admitted.front().first > window) {
            inWindow -= admitted.front().second;
            admitted.pop_front();
        }
        most = std::max(most, inWindow);
    }
    return most;
}

constexpr Duration QuotaWindow = 8s;

/// \returns the users' bound on the tokens admitted in a window
Tokens quotaBound(RateLimit limit)
{
    constexpr double Excess = 0.1;
    constexpr Tokens Slack = 17000;
    const auto granted = static_cast<double>(limit.rate) * toSeconds(QuotaWindow)
            + static_cast<double>(limit.burst);
    return static_cast<Tokens>(granted * (1 + Excess)) + Slack;
}

} // namespace

/// An organisation asks for twice its rate everywhere, and relays die.
TEST(Relays, TheRateBoundHoldsWhileRelaysDie)
{
    const RateLoad load { { 60000, 60000 }, 120000, 1000, true };
    for (const std::size_t size : { 200U, 400U }) {
        const auto most = mostAdmittedInAWindow(size, load, QuotaWindow);
        EXPECT_LE(most, quotaBound(load.limit)) << size;
        EXPECT_GE(most, load.limit.rate * 7) << size;
    }
}

/// Regression: an organisation that asked for three times its rate was admitted a fifth too much,
/// since sums reached the daemons twice a second only and refunds were counted twice.
TEST(Relays, TheRateBoundHoldsForALargeOrganisationUnderOverload)
{
    const RateLoad load { { 135000, 135000 }, 450000, 1000, false, 0.3 };
    for (const std::size_t size : { 200U, 400U }) {
        const auto most = mostAdmittedInAWindow(size, load, QuotaWindow);
        EXPECT_LE(most, quotaBound(load.limit)) << size;
        EXPECT_GE(most, load.limit.rate * 7) << size;
    }
}
