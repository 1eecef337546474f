#pragma once

#include "site/siteconfig.h"

#include <memory>
#include <string_view>
#include <unordered_map>

/// \file
/// Finds routes and organisations of one configuration without a scan.

namespace bluebell {

/// One version of the configuration, indexed. Immutable, so that a request keeps the version it
/// began with.
class SiteIndex
{
public:
    explicit SiteIndex(SiteConfig config);

    /// Finds the route with the longest prefix that begins the path.
    ///
    /// \param host without a port
    /// \param target path with query
    /// \returns the route, or null when none matches
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view target) const;

    /// \returns the organisation that holds a caller's key, or null
    [[nodiscard]] const SiteOrganisation *findOrganisation(std::string_view key) const;

    /// \returns the organisation of that name, or null
    [[nodiscard]] const SiteOrganisation *findOrganisation(const OrganisationId &name) const;

    [[nodiscard]] const Service *findService(const ServiceId &name) const;

    /// \returns whether callers need keys at all
    [[nodiscard]] bool hasOrganisations() const noexcept { return !m_config.organisations.empty(); }

    [[nodiscard]] const SiteConfig &config() const noexcept { return m_config; }
    [[nodiscard]] SiteVersion version() const noexcept { return m_config.version; }

private:
    SiteConfig m_config;
    /// Position in the routes, by host and prefix.
    std::unordered_map<std::string, std::size_t> m_routes;
    /// Position in the organisations, by the digest of a key.
    std::unordered_map<std::string, std::size_t> m_keys;
};

/// Chooses one of a route's services by weight.
///
/// \param draw a uniformly random number
[[nodiscard]] const ServiceId *chooseService(const Route &route, std::uint64_t draw);

} // namespace bluebell
