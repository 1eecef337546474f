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
/// The configuration of a site that its operators write as one document: routes, services,
/// organisations and limits.

namespace bluebell {

/// Version of a site's configuration. It increases, but not always by 1; 0 means none.
using SiteVersion = std::uint64_t;

/// Whether the requests of a route may be retried.
enum class RequestKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of a caller.
    NonIdempotent,
    /// Answered by a stream of events; retried only if the route's streams can be resumed.
    Streaming,
};

/// A service that receives a share of a route's requests.
struct WeightedService
{
    ServiceId service;
    /// Share relative to the other services of the route.
    std::uint32_t weight = 1;
};

/// Services and latency goals for requests with a given host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /// The longest time that a caller waits.
    Duration timeout = std::chrono::seconds(30);
    /// A response within this time is on time; for a stream, its first event counts.
    Duration latencyGoal = std::chrono::seconds(1);
    /// The longest gap between events of a stream that still counts as on time.
    Duration eventGapGoal = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int priority = 5;
    std::vector<WeightedService> services;
    /// The most targets that one attempt of a caller may be sent to.
    std::uint32_t maxTargets = 1;
    /// Whether callers without a key are accepted.
    bool allowsAnonymous = false;
    /// Whether a broken stream may be continued at another target.
    bool isResumable = false;

    /// \returns whether a request may run more than once
    [[nodiscard]] bool isRetryable() const noexcept
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && isResumable);
    }
};

/// Memory for model weights, in units of 1,000,000 bytes.
using Megabytes = double;

/// A model that the engines of a service can load.
struct ModelSpec
{
    /// Memory for the model itself.
    Megabytes weights = 0;
    /// Time of a load from the weight store.
    Duration storeLoadTime = std::chrono::seconds(6);
    /// Time of a load from a copy in the target's memory.
    Duration memoryLoadTime = std::chrono::milliseconds(600);
    /// Time of a load from a copy on the target's disk.
    Duration diskLoadTime = std::chrono::milliseconds(900);
    /// Memory for one adapter of this model.
    Megabytes adapterWeights = 0;
};

/// Properties that all engines of a service share.
struct EngineSpec
{
    std::map<ModelId, ModelSpec> models;
    /// Memory of one target for models and adapters together.
    Megabytes weights = 0;
    /// Memory of one target for copies of models that are not resident; 0 when it is not stated.
    Megabytes hostMemory = 0;
    /// Room for copies on the disk of one target; 0 when it is not stated.
    Megabytes disk = 0;
    /// Adapters that one target can hold.
    std::uint32_t adapterSlots = 0;
    /// Loads per second that the weight store allows, over all targets.
    double storeLoadsPerSecond = 1;
    /// Requests that one target runs at the same time.
    std::uint32_t slots = 1;
};

/// A group of targets that serve the same kind of request.
struct Service
{
    ServiceId name;
    /// Connections that a target accepts from all daemons together.
    std::uint32_t connectionLimit = 0;
    /// Requests per second that a cold target stands from all daemons together; 0 for no limit.
    double coldRate = 0;
    /// Set for model engines, empty for other services.
    std::optional<EngineSpec> engine;
};

/// An organisation whose callers may send requests, and its rate limit.
struct SiteOrganisation
{
    OrganisationId name;
    /// Digests of the callers' keys.
    std::vector<KeyDigest> keys;
    /// Overrides the priority of the route.
    std::optional<int> priority;
    /// Empty when the organisation has no rate limit.
    std::optional<RateLimit> limit;
    /// Whether the limit counts tokens instead of requests.
    bool countsTokens = false;
    /// Tokens counted for a request that does not state its token counts.
    Tokens defaultTokens = 1;
};

/// Limits on the size and the timing of callers' requests.
struct CallerLimits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 1U << 20U;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

/// One complete version of the configuration.
struct SiteConfig
{
    SiteVersion version = 0;
    std::vector<Route> routes;
    std::map<ServiceId, Service> services;
    std::vector<SiteOrganisation> organisations;
    CallerLimits limits;
};

} // namespace bluebell
