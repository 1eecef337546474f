#pragma once

#include "rate/grantholder.h"
#include "rate/ratehome.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <variant>
#include <vector>

/// \file
/// Simulates rate limiting by several daemons, with virtual time, messages and faults.

namespace bluebell::tests {

/// The mechanism of the product: daemons acquire grants from a home.
struct HomeGrants
{
    RateHome::Settings home;
};
/// Baseline: every daemon enforces an equal part of rate and burst.
struct EvenSplit
{
};
/// Baseline: every daemon has the full limit and learns the others' usage once a second.
struct LocalCount
{
};
using RateMechanism = std::variant<HomeGrants, EvenSplit, LocalCount>;

/// Faults to inject.
struct RateFaults
{
    bool losesMessages = false;
    bool delaysMessages = false;
    bool repeatsQuestions = false;
    bool homeCrashes = false;
    bool homePauses = false;
    bool holdersCrash = false;
    bool lowersLimit = false;
};

struct RateScenario
{
    RateLimit limit { 2000, 8000 };
    std::size_t daemons = 8;
    Duration length = std::chrono::seconds(60);
    /// Offered load as a multiple of the rate.
    double load = 1.0;
    /// Fraction of the requests sent to one hot daemon; the rest is spread evenly over all daemons.
    double skew = 0.125;
    /// Whether the hot daemon changes every ten seconds.
    bool moves = false;
    /// Whether all requests arrive in one second out of eight.
    bool bursts = false;
    /// Fraction of the requests that use their whole reservation; the others use the prompt and a
    /// random part of the rest.
    double fullUse = 0;
    /// Whether holders report used tokens while a request is running.
    bool reportsProgress = true;
    RateFaults faults;
    std::uint64_t seed = 1;
};

/// An admitted request and the tokens that it finally used.
struct Admission
{
    TimePoint at;
    Tokens used = 0;
};

struct RateOutcome
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    /// Requests refused that a single exact bucket would have admitted.
    std::uint64_t wrongfullyRefused = 0;
    /// The largest excess over burst + rate x window in any window; 0 when the bound holds.
    Tokens overAdmitted = 0;
    std::uint64_t messages = 0;
};

[[nodiscard]] RateOutcome runRateSimulation(const RateMechanism &mechanism,
                                            const RateScenario &scenario);

/// \returns the largest excess over burst + rate x window in any window of `admissions`
[[nodiscard]] Tokens largestExcess(const std::vector<Admission> &admissions, RateLimit limit);

} // namespace bluebell::tests
