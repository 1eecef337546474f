#include "rules/ruleset.h"

#include "core/digest.h"

#include <algorithm>

namespace bluebell {
namespace {

/// Matches whole path segments: `/stock` matches `/stock/1` and `/stock?a`, but not `/stocks`.
bool matchesPrefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

const OrganisationRule *RuleSet::organisationOfKey(const KeyDigest &digest) const
{
    const auto it = keys.find(digest);
    if (it == keys.end() || !equalInConstantTime(it->first, digest))
        return nullptr;
    return &organisations.at(it->second.organisation);
}

bool RuleSet::mayCall(const OrganisationId &organisation, const ModelId &model,
                      const AdapterId &adapter) const
{
    const auto [first, last] = grants.equal_range(organisation);
    return std::any_of(first, last, [&](const auto &entry) {
        const GrantRule &grant = entry.second;
        if (grant.model != model)
            return false;
        return adapter.isEmpty() || grant.adapter == adapter || grant.adapter.value() == "*";
    });
}

const RouteRule *RuleSet::routeOfPath(std::string_view path) const
{
    const RouteRule *best = nullptr;
    for (const auto &[prefix, rule] : routes)
        if (matchesPrefix(prefix, path) && (best == nullptr || prefix.size() > best->prefix.size()))
            best = &rule;
    return best;
}

} // namespace bluebell
