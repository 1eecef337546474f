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
/// Drives the rate decisions of several daemons with virtual time, messages and faults.

namespace bluebell::tests {

/// The system's own mechanism.
struct HomeGrants
{
    RateHome::Settings home;
};
/// Every daemon has its part of rate and burst.
struct EvenSplit
{
};
/// Every daemon counts alone and hears of the others once a second.
struct LocalCount
{
};
using RateMechanism = std::variant<HomeGrants, EvenSplit, LocalCount>;

struct RateFaults
{
    bool losesMessages = false;
    bool delaysMessages = false;
    bool repeatsQuestions = false;
    bool homeDies = false;
    bool homePauses = false;
    bool holdersDie = false;
    bool lowersLimit = false;
};

struct RateScenario
{
    RateLimit limit { 2000, 8000 };
    std::size_t daemons = 8;
    Duration length = std::chrono::seconds(60);
    /// Offered tokens relative to the rate.
    double load = 1.0;
    /// Share of the requests that enters at one daemon; the rest is spread evenly.
    double skew = 0.125;
    /// Whether that daemon changes every ten seconds.
    bool moves = false;
    /// Whether the load comes in bursts of one second in eight.
    bool bursts = false;
    /// Share of the requests that use all they reserve; the others use between none and all.
    double fullUse = 0;
    /// Whether holders report tokens as used while a request runs.
    bool reportsProgress = true;
    RateFaults faults;
    std::uint64_t seed = 1;
};

struct Admission
{
    TimePoint at;
    Tokens used = 0;
};

struct RateOutcome
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    /// Refused although one exact bucket would have admitted the request.
    std::uint64_t wrongfullyRefused = 0;
    /// The most that any window took above burst + rate x window.
    Tokens overAdmitted = 0;
    std::uint64_t messages = 0;
};

[[nodiscard]] RateOutcome runRateWorld(const RateMechanism &mechanism,
                                       const RateScenario &scenario);

/// \returns the largest excess over burst + rate x window in any window of `admissions`
[[nodiscard]] Tokens largestExcess(const std::vector<Admission> &admissions, RateLimit limit);

} // namespace bluebell::tests
