#include "site/siteindex.h"

#include "core/digest.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bluebell {
namespace {

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    key += ' ';
    key += prefix;
    return key;
}

} // namespace

SiteIndex::SiteIndex(SiteConfig config) : m_config(std::move(config))
{
    for (std::size_t n = 0; n < m_config.routes.size(); ++n)
        m_routes.emplace(routeKey(m_config.routes[n].host, m_config.routes[n].prefix), n);
    for (std::size_t n = 0; n < m_config.organisations.size(); ++n)
        for (const auto &it : m_config.organisations[n].keys)
            m_keys.emplace(it.value(), n);
}

const Route *SiteIndex::findRoute(std::string_view host, std::string_view target) const
{
    auto path = target.substr(0, target.find_first_of("?#"));
    // Every prefix ends with a slash, so only parts of the path up to a slash can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos;) {
        const auto it = m_routes.find(routeKey(host, path.substr(0, end + 1)));
        if (it != m_routes.end())
            return &m_config.routes[it->second];
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const SiteOrganisation *SiteIndex::findOrganisation(std::string_view key) const
{
    return findHolder(digestOfKey(key));
}

const SiteOrganisation *SiteIndex::findHolder(const KeyDigest &key) const
{
    const auto it = m_keys.find(key.value());
    return it == m_keys.end() ? nullptr : &m_config.organisations[it->second];
}

const SiteOrganisation *SiteIndex::findOrganisation(const OrganisationId &name) const
{
    const auto it = std::find_if(m_config.organisations.begin(), m_config.organisations.end(),
                                 [&](const auto &candidate) { return candidate.name == name; });
    return it == m_config.organisations.end() ? nullptr : &*it;
}

const Service *SiteIndex::findService(const ServiceId &name) const
{
    const auto it = m_config.services.find(name);
    return it == m_config.services.end() ? nullptr : &it->second;
}

std::map<OrganisationId, OrganisationId> renamedOrganisations(const SiteIndex &before,
                                                              const SiteIndex &after)
{
    std::map<OrganisationId, OrganisationId> renamed;
    std::set<OrganisationId> taken;
    for (const auto &it : after.config().organisations) {
        if (before.findOrganisation(it.name))
            continue;
        for (const auto &key : it.keys) {
            const auto *former = before.findHolder(key);
            if (!former || after.findOrganisation(former->name)
                || !taken.insert(former->name).second)
                continue;
            renamed.emplace(it.name, former->name);
            break;
        }
    }
    return renamed;
}

const ServiceId *chooseService(const Route &route, std::uint64_t randomValue)
{
    std::uint64_t sum = 0;
    for (const auto &it : route.services)
        sum += it.weight;
    if (sum == 0)
        return nullptr;
    auto left = randomValue % sum;
    for (const auto &it : route.services) {
        if (left < it.weight)
            return &it.service;
        left -= it.weight;
    }
    return nullptr;
}

} // namespace bluebell
