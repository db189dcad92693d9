#include "core/traffic_rules.h"

#include "core/digest.h"

#include <strings.h>

namespace fuchsiagauge {

bool operator==(const call_route& a, const call_route& b)
{
    return std::tie(a.name, a.host, a.pathPrefix, a.destinations, a.isIdempotent, a.maxInstances, a.timeout,
               a.latencyTarget, a.priority, a.isAnonymous)
        == std::tie(b.name, b.host, b.pathPrefix, b.destinations, b.isIdempotent, b.maxInstances, b.timeout,
            b.latencyTarget, b.priority, b.isAnonymous);
}

bool operator==(const client_limits& a, const client_limits& b)
{
    return std::tie(a.headerBytes, a.bodyBytes, a.headerTimeout, a.idleTimeout)
        == std::tie(b.headerBytes, b.bodyBytes, b.headerTimeout, b.idleTimeout);
}

bool operator==(const traffic_rules& a, const traffic_rules& b)
{
    return std::tie(a.version, a.routes, a.services, a.limits, a.hasOrganisationTable, a.organisations,
               a.organisationsByKeyDigest)
        == std::tie(b.version, b.routes, b.services, b.limits, b.hasOrganisationTable, b.organisations,
            b.organisationsByKeyDigest);
}

const organisation* traffic_rules::findOrganisation(const std::string& key) const
{
    const auto holder = organisationsByKeyDigest.find(computeDigest(key));
    if (holder == organisationsByKeyDigest.end())
        return nullptr;
    const auto found = organisations.find(holder->second);
    return found == organisations.end() ? nullptr : &found->second;
}

const call_route* traffic_rules::findRoute(const std::string& host, const std::string& path) const
{
    const call_route* best = nullptr;
    for (const auto& route : routes) {
        const bool isLonger = !best || route.pathPrefix.size() > best->pathPrefix.size();
        const bool matchesPath = path.compare(0, route.pathPrefix.size(), route.pathPrefix) == 0;
        if (isLonger && matchesPath && strcasecmp(route.host.c_str(), host.c_str()) == 0)
            best = &route;
    }
    return best;
}

} // namespace fuchsiagauge
