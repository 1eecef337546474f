#pragma once

#include "rules/rule.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// A validated set of rules with look-up functions.

namespace bluebell {

/// Rules by kind and id, as returned by parseRules(); all references between them resolve.
struct RuleSet
{
    std::map<ClassId, ClassRule> classes;
    std::map<OrganisationId, OrganisationRule> organisations;
    std::map<KeyDigest, KeyRule> keys;
    std::map<ModelId, ModelRule> models;
    std::map<AdapterId, AdapterRule> adapters;
    std::multimap<OrganisationId, GrantRule> grants;
    std::map<TargetId, TargetRule> targets;
    std::map<std::string, RouteRule> routes;
    std::optional<StoreRule> store;
    PolicyRule policy;

    /// \returns the organisation that the key with this digest belongs to, or null
    [[nodiscard]] const OrganisationRule *organisationOfKey(const KeyDigest &digest) const;

    /// \returns whether `organisation` may call `model` with `adapter`; an empty adapter stands for
    ///          the model itself
    [[nodiscard]] bool mayCall(const OrganisationId &organisation, const ModelId &model,
                               const AdapterId &adapter) const;

    /// \returns the route with the longest prefix that matches `path`, or null
    [[nodiscard]] const RouteRule *routeOfPath(std::string_view path) const;
};

} // namespace bluebell
