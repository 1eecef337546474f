#include "queue/requestqueue.h"
#include "tests/placementsimulation.h"
#include "tests/ratesimulation.h"
#include "tests/swapsimulation.h"

#include <fmt/core.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <random>
#include <string>

/// \file
/// Compares policies with their baselines on the same generated load, in virtual time.
///
/// usage: bluebell-experiment rate|placement|queue|swaps|largeswaps [FIRST_SEED [SEEDS]]

namespace {

using namespace bluebell;
using namespace bluebell::tests;

struct Seeds
{
    std::uint64_t first = 1;
    std::uint64_t count = 10;
};

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    return values[index];
}

// Rates

void runRate(std::string_view name, const RateMechanism &mechanism, RateScenario scenario,
             const Seeds &seeds)
{
    RateOutcome sum;
    for (std::uint64_t n = 0; n < seeds.count; ++n) {
        scenario.seed = seeds.first + n;
        const auto it = runRateSimulation(mechanism, scenario);
        sum.offered += it.offered;
        sum.admitted += it.admitted;
        sum.wrongfullyRefused += it.wrongfullyRefused;
        sum.messages += it.messages;
        sum.overAdmitted = std::max(sum.overAdmitted, it.overAdmitted);
    }
    fmt::print("  {:<26} offered {:>7} admitted {:>7} wrongly refused {:>6} ({:>5.2f}%) "
               "over-admitted {:>6} messages {:>7}\n",
               name, sum.offered, sum.admitted, sum.wrongfullyRefused,
               100.0 * static_cast<double>(sum.wrongfullyRefused)
                       / static_cast<double>(sum.offered),
               sum.overAdmitted, sum.messages);
}

void runRates(const Seeds &seeds)
{
    HomeGrants pausing;
    pausing.home.displacesCredit = false;
    const auto runAllMechanisms = [&](const RateScenario &scenario) {
        runRate("home grants", HomeGrants {}, scenario, seeds);
        runRate("home, refill pauses at cap", pausing, scenario, seeds);
        runRate("even split", EvenSplit {}, scenario, seeds);
        runRate("local counting, gossip 1 s", LocalCount {}, scenario, seeds);
    };
    RateScenario scenario;
    scenario.load = 0.9;
    fmt::print("even traffic, 0.9 of the rate\n");
    runAllMechanisms(scenario);
    scenario.skew = 0.8;
    fmt::print("four fifths of the traffic at one daemon, 0.9 of the rate\n");
    runAllMechanisms(scenario);
    scenario.moves = true;
    fmt::print(
            "four fifths of the traffic at one daemon that changes every 10 s, 0.9 of the rate\n");
    runAllMechanisms(scenario);
    auto large = scenario;
    large.limit = { 200'000, 800'000 };
    large.length = std::chrono::seconds(10);
    fmt::print("a hundred times the rate and burst, over 10 s\n");
    runAllMechanisms(large);
    scenario.load = 4;
    fmt::print("the same at 4 times the rate\n");
    runAllMechanisms(scenario);
    scenario.load = 0.9;
    scenario.faults = { true, true, true, true, true, true, false };
    fmt::print("the same at 0.9 with all faults (home grants only)\n");
    runRate("home grants", HomeGrants {}, scenario, seeds);
}

// Placement

void printPlacement(std::string_view name, const std::vector<PlacementOutcome> &outcomes)
{
    std::vector<double> cold;
    PlacementOutcome sum;
    for (const auto &it : outcomes) {
        for (const auto &wait : it.coldStarts)
            cold.push_back(toSeconds(wait));
        sum.requests += it.requests;
        sum.served += it.served;
        sum.loads += it.loads;
        sum.overcommitted += it.overcommitted;
        sum.tooManyReplicas += it.tooManyReplicas;
        sum.idleSeconds += it.idleSeconds;
    }
    fmt::print(
            "  {:<24} served {:>5} of {:>5}, loads {:>5}, cold p50 {:>5.1f} s p95 {:>5.1f} s "
            "p99 {:>5.1f} s, idle {:>7.0f} replica-s, overcommitted {:>5}, excess replicas {:>5}\n",
            name, sum.served, sum.requests, sum.loads, quantile(cold, 0.5), quantile(cold, 0.95),
            quantile(cold, 0.99), sum.idleSeconds, sum.overcommitted, sum.tooManyReplicas);
}

void runPlacements(const Seeds &seeds)
{
    for (const double rate : { 0.5, 1.0, 2.0 }) {
        PlacementScenario scenario;
        scenario.targets = 9;
        scenario.models = 50;
        scenario.requests = rate;
        scenario.length = std::chrono::seconds(300);
        std::vector<PlacementOutcome> planned;
        std::vector<PlacementOutcome> leastLoaded;
        std::vector<PlacementOutcome> uncoordinated;
        for (std::uint64_t n = 0; n < seeds.count; ++n) {
            scenario.seed = seeds.first + n;
            scenario.placement = PlacementKind::TierAware;
            planned.push_back(runPlacementSimulation(scenario));
            uncoordinated.push_back(runUncoordinatedLoads(scenario));
            scenario.placement = PlacementKind::LeastLoaded;
            leastLoaded.push_back(runPlacementSimulation(scenario));
        }
        fmt::print("9 targets, 50 models, {} requests/s in bursts, load 2 s\n", rate);
        printPlacement("planned, tier-aware", planned);
        printPlacement("planned, least loaded", leastLoaded);
        printPlacement("uncoordinated daemons", uncoordinated);
    }
}

// Queue

struct QueueLoad
{
    /// Requests per second of each small organisation; the total capacity is 10 per second.
    double small = 1.5;
    /// Requests per second of the large organisation, before `largeFactor`.
    double large = 3;
    double largeFactor = 1;
};

struct QueueOutcome
{
    /// Waits in seconds of the small organisation with the longest p99 wait.
    std::vector<double> worstWaits;
    std::uint64_t worstRefused = 0;
    std::uint64_t worstOffered = 0;
};

/// Simulates one target that takes ten requests per second from five organisations, of which the
/// first is large.
QueueOutcome runQueue(QueueKind kind, const QueueLoad &load, std::uint64_t seed)
{
    constexpr int Organisations = 5;
    constexpr auto Step = std::chrono::milliseconds(100);
    constexpr auto Length = std::chrono::seconds(300);
    constexpr auto Timeout = std::chrono::seconds(10);
    RequestQueue queue(makeQueueOrder(kind), QueueLimits {});
    std::mt19937_64 random(seed);
    std::vector<std::vector<double>> waits(Organisations);
    std::vector<std::uint64_t> refused(Organisations);
    std::vector<std::uint64_t> offered(Organisations);
    TicketId ticket = 0;
    const TimePoint begin(std::chrono::seconds(1000));
    const auto indexOf = [](const QueuedRequest &it) {
        return static_cast<std::size_t>(std::stoi(it.organisation.value()));
    };
    for (auto now = begin; now < begin + Length; now += Step) {
        for (std::size_t n = 0; n < Organisations; ++n) {
            const auto rate = n == 0 ? load.large * load.largeFactor : load.small;
            const auto count = std::poisson_distribution<int>(rate * 0.1)(random);
            for (int k = 0; k < count; ++k) {
                ++offered[n];
                const auto pushed = queue.push({ ++ticket, OrganisationId(std::to_string(n)), 1,
                                                 100, 100, now, now + Timeout },
                                               now);
                refused[n] += pushed ? 0 : 1;
            }
        }
        for (const auto &it : queue.expire(now))
            ++refused[indexOf(it)];
        if (const auto next = queue.pop(now)) {
            waits[indexOf(*next)].push_back(toSeconds(now - next->arrival));
            queue.noteServed(next->tokens, now);
        }
    }
    QueueOutcome outcome;
    double worst = -1;
    for (std::size_t n = 1; n < Organisations; ++n) {
        const auto p99 = quantile(waits[n], 0.99);
        if (p99 <= worst)
            continue;
        worst = p99;
        outcome = { waits[n], refused[n], offered[n] };
    }
    return outcome;
}

void runQueues(const Seeds &seeds)
{
    const auto run = [&](std::string_view name, QueueKind kind, double factor) {
        std::vector<double> p99;
        std::uint64_t refused = 0;
        std::uint64_t offered = 0;
        for (std::uint64_t n = 0; n < seeds.count; ++n) {
            const auto it = runQueue(kind, { 1.5, 3, factor }, seeds.first + n);
            p99.push_back(quantile(it.worstWaits, 0.99));
            refused += it.worstRefused;
            offered += it.worstOffered;
        }
        fmt::print("  {:<28} worst small organisation: p99 wait {:>5.2f} s (median of seeds), "
                   "refused {:>5} of {:>6}\n",
                   name, quantile(p99, 0.5), refused, offered);
    };
    fmt::print("five organisations, load at nine tenths of the capacity\n");
    run("fair", QueueKind::Fair, 1);
    run("first come, first served", QueueKind::FirstCome, 1);
    fmt::print("the large organisation at ten times its rate\n");
    run("fair", QueueKind::Fair, 10);
    run("first come, first served", QueueKind::FirstCome, 10);
}

// Swaps

void printSwaps(std::string_view policy, const std::vector<SwapSimulationReport> &reports)
{
    SwapSimulationReport sum;
    for (const auto &it : reports) {
        for (const auto &[total, part] :
             { std::pair(&sum.chat, &it.chat), std::pair(&sum.second, &it.second),
               std::pair(&sum.rare, &it.rare) }) {
            total->requestCount += part->requestCount;
            total->onTime += part->onTime;
            total->late += part->late;
            total->timedOut += part->timedOut;
        }
        sum.orders += it.orders;
        sum.storeLoads += it.storeLoads;
        sum.overcommitted += it.overcommitted;
        sum.maxStoreLoads = std::max(sum.maxStoreLoads, it.maxStoreLoads);
        sum.uncovered += it.uncovered;
    }
    const auto share = [](int n, const CallerReport &of) {
        return 100.0 * n / std::max(of.requestCount, 1);
    };
    fmt::print("  {:<14} chat on time {:5.1f}% timed out {:4.1f}%  second on time {:5.1f}%  rare "
               "on time {:5.1f}% "
               "late {:4.1f}% timed out {:4.1f}%  orders {:5} store loads {:4} (at most {} in 5 s) "
               "overcommitted {} "
               "uncovered {}\n",
               policy, share(sum.chat.onTime, sum.chat), share(sum.chat.timedOut, sum.chat),
               share(sum.second.onTime, sum.second), share(sum.rare.onTime, sum.rare),
               share(sum.rare.late, sum.rare), share(sum.rare.timedOut, sum.rare), sum.orders,
               sum.storeLoads, sum.maxStoreLoads, sum.overcommitted, sum.uncovered);
}

/// Runs the load profile of the target deployment: live chat whose set of models changes over time,
/// and bursts of requests for rare models.
void runSwaps(const Seeds &seeds)
{
    for (const double rarePerSecond : { 2.0, 4.47, 7.0 }) {
        std::vector<SwapSimulationReport> planned;
        std::vector<SwapSimulationReport> leastLoaded;
        for (std::uint64_t n = 0; n < seeds.count; ++n) {
            SwapSimulationSettings settings;
            settings.seed = static_cast<unsigned>(seeds.first + n);
            settings.rarePerSecond = rarePerSecond;
            planned.push_back(simulatePlanner(settings));
            leastLoaded.push_back(simulateLeastLoaded(settings));
        }
        fmt::print("9 engines, 50 models, 29.6 chats/s, {} rare requests/s\n", rarePerSecond);
        printSwaps("planner", planned);
        printSwaps("least loaded", leastLoaded);
    }
}

/// Runs the load profile of the larger deployment, with as many engines as rare models need, and
/// with a start from a weight store that has far more models than the engines.
void runLargeSite(const Seeds &seeds)
{
    for (const int storeOnly : { 12, 60 }) {
        std::vector<SwapSimulationReport> planned;
        for (std::uint64_t n = 0; n < seeds.count; ++n) {
            auto settings = largeSite();
            settings.seed = static_cast<unsigned>(seeds.first + n);
            settings.storeOnlyModels = storeOnly;
            planned.push_back(simulatePlanner(settings));
        }
        fmt::print("90 engines, 274 models, 66 rare requests/s, {} models only in the store\n",
                   storeOnly);
        printSwaps("planner", planned);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string_view experiment = argc > 1 ? argv[1] : "";
    Seeds seeds;
    if (argc > 2)
        seeds.first = std::strtoull(argv[2], nullptr, 10);
    if (argc > 3)
        seeds.count = std::strtoull(argv[3], nullptr, 10);
    if (experiment == "rate")
        runRates(seeds);
    else if (experiment == "placement")
        runPlacements(seeds);
    else if (experiment == "queue")
        runQueues(seeds);
    else if (experiment == "swaps")
        runSwaps(seeds);
    else if (experiment == "largeswaps")
        runLargeSite(seeds);
    else {
        fmt::print(stderr,
                   "usage: bluebell-experiment rate|placement|queue|swaps|largeswaps [FIRST_SEED "
                   "[SEEDS]]\n");
        return 2;
    }
    return 0;
}
