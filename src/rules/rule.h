#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// The kinds of rules in the operators' rule file.

namespace bluebell {

using Bytes = std::uint64_t;
using Tokens = std::int64_t;

/// A priority class of requests, such as counter service or overnight batch work.
struct ClassRule
{
    ClassId id;
    /// Weight of this class in the division of capacity, at least 1.
    std::uint32_t weight = 1;
    /// Maximum time from the arrival of a request to the start of its response.
    Duration timeout {};
};

/// An organisation with its rate limit, which applies to all VMs together.
struct OrganisationRule
{
    OrganisationId id;
    /// Tokens per second.
    Tokens rate = 0;
    /// Maximum number of tokens that accumulate.
    Tokens burst = 0;
    ClassId classId;
};

/// The digest of an API key, and the organisation that it belongs to.
struct KeyRule
{
    KeyDigest digest;
    OrganisationId organisation;
};

/// A model that targets can load.
struct ModelRule
{
    ModelId id;
    Bytes memory = 0;
    /// Maximum number of replicas that are loaded at the same time.
    std::uint32_t replicas = 1;
};

/// An adapter of a model.
struct AdapterRule
{
    AdapterId id;
    ModelId model;
    Bytes memory = 0;
};

/// Permission for an organisation to call a model, or one or all of its adapters.
struct GrantRule
{
    OrganisationId organisation;
    ModelId model;
    /// Empty: only the model itself. `*`: the model and all of its adapters.
    AdapterId adapter;
};

enum class TargetKind : std::uint8_t {
    Engine,
    Service,
};

/// An engine, which loads and runs models, or a service, which serves routes.
struct TargetRule
{
    TargetId id;
    Endpoint address;
    DataCentreId dataCentre;
    TargetKind kind = TargetKind::Engine;
    Bytes memory = 0;
    /// Whether the target rejects orders with an outdated fencing number.
    bool checksFencing = false;
    /// Maximum number of requests that an engine runs concurrently in a batch.
    std::uint32_t slots = 1;
};

/// A path prefix whose requests are forwarded to services.
struct RouteRule
{
    std::string prefix;
    std::vector<TargetId> targets;
    /// Whether requests of any method may be repeated; GET and HEAD requests always may.
    bool idempotent = false;
    /// Requests on this route need no API key.
    bool allowsAnonymous = false;
};

/// Limits of the weight store, for all targets together.
struct StoreRule
{
    std::string name;
    std::uint32_t loadsPerSecond = 1;
    std::uint32_t concurrentLoads = 1;
    std::uint32_t concurrentAdapters = 1;
};

/// Order in which queued requests are dispatched.
enum class QueueKind : std::uint8_t {
    /// Start-time fair queueing over organisations, weighted by class.
    Fair,
    /// First come, first served.
    FirstCome,
};

/// Selection of the target on which a model is loaded.
enum class PlacementKind : std::uint8_t {
    /// Prefers targets with the checkpoint in memory, then on disk, then only in remote storage.
    TierAware,
    /// Prefers the target with the most free memory.
    LeastLoaded,
};

/// Queueing, placement and rate-limiting policies.
struct PolicyRule
{
    std::string name;
    QueueKind queue = QueueKind::Fair;
    PlacementKind placement = PlacementKind::TierAware;
    /// Minimum time that a model without requests stays loaded.
    Duration minIdleTime = std::chrono::minutes(1);
    /// Percentage of each rate that stays usable while its home or the table service is
    /// unavailable.
    std::uint32_t baseShare = 20;
    /// Number of parts into which the base share is divided, each on a different VM.
    std::uint32_t baseParts = 2;
    /// Number of roles among which placement decisions are divided.
    std::uint32_t shards = 1;
};

using Rule = std::variant<ClassRule, OrganisationRule, KeyRule, ModelRule, AdapterRule, GrantRule,
                          TargetRule, RouteRule, StoreRule, PolicyRule>;

} // namespace bluebell
