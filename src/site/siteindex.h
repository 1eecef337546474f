#pragma once

#include "site/siteconfig.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

/// \file
/// Hash index of the routes and keys of one configuration.

namespace bluebell {

/// One version of the configuration with its index. It is immutable, so that a request can keep the
/// version with which it started.
class SiteIndex
{
public:
    explicit SiteIndex(SiteConfig config);

    /// Finds the route with the longest prefix of the path.
    ///
    /// \param host without a port
    /// \param target path with query, as in the request line
    /// \returns the route, or null when none matches
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view target) const;

    /// \param key the caller's key itself, not its digest
    /// \returns the organisation of the key, or null
    [[nodiscard]] const SiteOrganisation *findOrganisation(std::string_view key) const;

    /// \returns the organisation that holds the key with this digest, or null
    [[nodiscard]] const SiteOrganisation *findHolder(const KeyDigest &key) const;

    /// \returns the organisation with this name, or null
    [[nodiscard]] const SiteOrganisation *findOrganisation(const OrganisationId &name) const;

    /// \returns the service with this name, or null
    [[nodiscard]] const Service *findService(const ServiceId &name) const;

    /// \returns whether any organisation is configured; without one, no caller needs a key
    [[nodiscard]] bool hasOrganisations() const noexcept { return !m_config.organisations.empty(); }

    [[nodiscard]] const SiteConfig &config() const noexcept { return m_config; }
    [[nodiscard]] SiteVersion version() const noexcept { return m_config.version; }

private:
    SiteConfig m_config;
    /// Index into the routes, by host and prefix.
    std::unordered_map<std::string, std::size_t> m_routes;
    /// Index into the organisations, by key digest.
    std::unordered_map<std::string, std::size_t> m_keys;
};

/// Finds the organisations that only have another name in a newer configuration: the name is new,
/// the former one is gone, and they have a key in common.
///
/// \returns the former name, by new name
[[nodiscard]] std::map<OrganisationId, OrganisationId> renamedOrganisations(const SiteIndex &before,
                                                                            const SiteIndex &after);

/// Chooses one of a route's services at random, in proportion to their weights.
///
/// \param randomValue a uniformly distributed random number
/// \returns null when the route has no service with a weight above 0
[[nodiscard]] const ServiceId *chooseService(const Route &route, std::uint64_t randomValue);

} // namespace bluebell
