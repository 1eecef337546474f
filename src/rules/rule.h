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
/// What one line of the operators' rule file can say.

namespace bluebell {

using Bytes = std::uint64_t;
using Tokens = std::int64_t;

/// A priority class of requests, such as a counter or an overnight class.
struct ClassRule
{
    ClassId id;
    /// Share of capacity relative to the other classes, at least 1.
    std::uint32_t weight = 1;
    /// The longest time from arrival to the start of the answer.
    Duration timeout {};
};

/// An organisation with its granted rate and burst, counted over all VMs together.
struct OrganisationRule
{
    OrganisationId id;
    /// Tokens per second.
    Tokens rate = 0;
    Tokens burst = 0;
    ClassId classId;
};

/// A caller's key, as a digest.
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
    /// The largest number of replicas that may be loaded at one time.
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
    /// Empty: the model alone. `*`: the model and every adapter of it.
    AdapterId adapter;
};

enum class TargetKind : std::uint8_t {
    Engine,
    Service,
};

/// A model engine or a plain service.
struct TargetRule
{
    TargetId id;
    Endpoint address;
    DataCentreId dataCentre;
    TargetKind kind = TargetKind::Engine;
    Bytes memory = 0;
    /// Whether the target refuses orders with an old fencing number.
    bool checksFencing = false;
    /// Requests that one engine runs in a batch.
    std::uint32_t slots = 1;
};

/// A path prefix that leads to plain services.
struct RouteRule
{
    std::string prefix;
    std::vector<TargetId> targets;
    bool idempotent = false;
    /// Open routes need no key.
    bool open = false;
};

/// What the weight store allows, for all targets together.
struct StoreRule
{
    std::string name;
    std::uint32_t loadsPerSecond = 1;
    std::uint32_t concurrentLoads = 1;
    std::uint32_t concurrentAdapters = 1;
};

enum class QueueKind : std::uint8_t {
    Fair,
    FirstCome,
};

enum class PlacementKind : std::uint8_t {
    /// Prefers targets that hold the checkpoint in memory, then on disk, then remote.
    TierAware,
    /// Prefers the target with the most free memory.
    LeastLoaded,
};

/// Choices between policies.
struct PolicyRule
{
    std::string name;
    QueueKind queue = QueueKind::Fair;
    PlacementKind placement = PlacementKind::TierAware;
    /// The shortest time that a model stays loaded without requests.
    Duration idleFloor = std::chrono::minutes(1);
    /// Percent of every rate that stays usable while its home or the table service is away.
    std::uint32_t baseShare = 20;
    /// Parts into which the base share is cut; each lives on a VM of its own.
    std::uint32_t baseParts = 2;
    /// Roles among which the decisions on loads are divided.
    std::uint32_t shards = 1;
};

using Rule = std::variant<ClassRule, OrganisationRule, KeyRule, ModelRule, AdapterRule, GrantRule,
                          TargetRule, RouteRule, StoreRule, PolicyRule>;

} // namespace bluebell
