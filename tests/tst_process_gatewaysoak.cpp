#include "gatewaysoak.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

using namespace bluebell::testing;

namespace {

constexpr std::uint64_t FirstSeed = 71;
constexpr std::uint64_t SecondSeed = 72;
/// With it the store comes back from an older copy, 2.6 s after the start.
constexpr std::uint64_t RestoreSeed = 67;
constexpr std::chrono::seconds Length { 9 };

std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

void soak(std::uint64_t seed, std::chrono::seconds length)
{
    const auto result = runGatewaySoak(seed, length);
    std::cout << "seed " << seed << ": " << result.requests << " requests, " << result.reused
              << " on kept connections, " << result.violations.size() << " violations; statuses";
    for (const auto &[status, count] : result.statuses)
        std::cout << ' ' << status << 'x' << count;
    std::cout << "; notes:";
    for (const auto &[note, count] : result.notes)
        std::cout << ' ' << note << " x" << count << ',';
    std::cout << std::endl;
    constexpr std::size_t MinRequests = 30;
    EXPECT_GT(result.requests, MinRequests);
    for (const auto &it : result.violations)
        ADD_FAILURE() << it;
}

} // namespace

TEST(GatewaySoak, FirstSeedAnswersEveryWholeRequest)
{
    soak(FirstSeed, Length);
}

TEST(GatewaySoak, SecondSeedAnswersEveryWholeRequest)
{
    soak(SecondSeed, Length);
}

TEST(GatewaySoak, RestoreSeedAnswersEveryWholeRequest)
{
    soak(RestoreSeed, Length);
}

/// For long runs by hand, see docs/DEVELOPERS.md.
TEST(GatewaySoak, SeedsOfTheEnvironment)
{
    const auto first = environmentNumber("BLUEBELL_SOAK_SEED", 0);
    if (first == 0)
        GTEST_SKIP() << "BLUEBELL_SOAK_SEED is not set";
    const auto seeds = environmentNumber("BLUEBELL_SOAK_SEEDS", 1);
    const std::chrono::seconds length(environmentNumber("BLUEBELL_SOAK_SECONDS", Length.count()));
    for (auto seed = first; seed < first + seeds; ++seed)
        soak(seed, length);
}
