#pragma once

#include "gatewaysoak.h"
#include "platformstandin.h"
#include "soakcaller.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// What a soak has recorded, and the checks of every request after its end.

namespace bluebell::testing {

constexpr std::size_t SoakGateways = 3;
/// Events of each stream.
constexpr int SoakEvents = 12;
/// Time that a gateway has for a stop.
constexpr std::chrono::seconds SoakGracePeriod { 8 };

/// What a version of the configuration allows.
struct SoakVersion
{
    TimePoint putAt {};
    std::set<std::string> keys;
    std::set<std::string> models;
    /// Timeouts by route.
    std::map<std::string, Duration> timeouts;
    Duration idleTimeout {};
    Duration headerTimeout {};
};

struct SoakRequest
{
    std::string id;
    std::size_t gateway = 0;
    std::string route;
    std::string key;
    std::string model;
    Duration deadline {};
    Exchange exchange;

    [[nodiscard]] bool isStream() const { return route == "chat" || route == "review"; }
    [[nodiscard]] bool isIdempotent() const { return route == "review" || route == "look"; }
};

struct SoakDisruption
{
    TimePoint begin {};
    TimePoint end {};
    /// The gateway that it concerns; SoakGateways for all of them.
    std::size_t gateway = SoakGateways;
    /// Whether it may delay the configuration.
    bool delaysConfig = false;
    std::string text;
};

/// A step of a request at a target.
struct SoakStep
{
    TimePoint at {};
    std::string target;
    TargetStep step {};
};

struct SoakRecord
{
    std::uint64_t seed = 0;
    TimePoint startedAt {};
    std::vector<SoakVersion> versions;
    std::vector<SoakDisruption> disruptions;
    std::vector<SoakRequest> requests;
    /// Steps at targets by request id.
    std::map<std::string, std::vector<SoakStep>> steps;
    /// Times of SIGTERM and of the ends of suspensions, by gateway.
    std::array<std::vector<TimePoint>, SoakGateways> stops;
    std::array<std::vector<TimePoint>, SoakGateways> resumes;
    std::array<std::string, SoakGateways> logFiles;
    /// Violations that concern no single request.
    std::vector<std::string> violations;

    /// \returns seconds since the start, as text
    [[nodiscard]] std::string secondsAt(TimePoint at) const;
};

[[nodiscard]] SoakResult checkSoak(const SoakRecord &record);

} // namespace bluebell::testing
