#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "rate/ratehome.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file
/// The configuration of a site whose operators write it as one document: routes, services,
/// organisations and bounds.

namespace bluebell {

/// Version of a site's configuration; rises in uneven steps, 0 stands for none.
using SiteVersion = std::uint64_t;

/// What may be repeated of a route's requests.
enum class RequestKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// Answered by a series of events; may not be repeated unless it can be resumed.
    Streaming,
};

/// A service that gets a share of a route's requests.
struct WeightedService
{
    ServiceId service;
    /// Share relative to the other services of the route.
    std::uint32_t weight = 1;
};

/// Where requests with a host and a path prefix go, and what is expected of them.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// The longest time that a caller is kept waiting.
    Duration timeout = std::chrono::seconds(30);
    /// An answer within this time is on time; of a stream, its first event.
    Duration latencyGoal = std::chrono::seconds(1);
    /// The longest pause between events of a stream that is on time.
    Duration pauseGoal = std::chrono::seconds(1);
    /// Rank, 0 is the most urgent.
    int priority = 5;
    std::vector<WeightedService> services;
    /// Targets to which one attempt of a caller may be sent.
    std::uint32_t mostTargets = 1;
    /// Whether callers need no key.
    bool isOpen = false;
    /// Whether a broken stream may be continued at another target.
    bool isResumable = false;

    /// \returns whether a request may run more than once
    [[nodiscard]] bool mayRepeat() const noexcept
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && isResumable);
    }
};

/// Memory of weights, in units of 1,000,000 bytes.
using Megabytes = double;

/// A model that the engines of a service can load.
struct ModelSpec
{
    Megabytes weights = 0;
    /// Load from the weight store.
    Duration storeLoad = std::chrono::seconds(6);
    /// Load from a copy in the target's memory.
    Duration memoryLoad = std::chrono::milliseconds(600);
    /// Load from a copy on the target's disk.
    Duration diskLoad = std::chrono::milliseconds(900);
    Megabytes adapterWeights = 0;
};

/// What all engines of a service have in common.
struct EngineSpec
{
    std::map<ModelId, ModelSpec> models;
    /// Memory of a target for models and adapters together.
    Megabytes weights = 0;
    std::uint32_t adapterSlots = 0;
    /// Loads a second that the weight store allows over all targets.
    double storeLoadsPerSecond = 1;
    std::uint32_t slots = 1;
};

/// Targets that answer the same kind of request.
struct Service
{
    ServiceId name;
    /// Connections that a target accepts from all daemons together.
    std::uint32_t connectionLimit = 0;
    /// Set for model engines, empty for plain services.
    std::optional<EngineSpec> engine;
};

/// Who may call, and how much.
struct SiteOrganisation
{
    OrganisationId name;
    std::vector<KeyDigest> keys;
    /// Takes precedence over a route's priority.
    std::optional<int> priority;
    /// Empty when the organisation has no limit.
    std::optional<RateLimit> limit;
    /// Whether the limit counts tokens; else it counts requests.
    bool countsTokens = false;
    /// What a request counts that does not tell its tokens.
    Tokens plainTokens = 1;
};

/// Bounds on what a caller may send and how long it may take.
struct CallerLimits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 1U << 20U;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

/// One version of the configuration, whole.
struct SiteConfig
{
    SiteVersion version = 0;
    std::vector<Route> routes;
    std::map<ServiceId, Service> services;
    std::vector<SiteOrganisation> organisations;
    CallerLimits limits;
};

} // namespace bluebell
