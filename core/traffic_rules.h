#pragma once

#include "core/clock.h"
#include "core/organisation.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace fuchsiagauge {

/// A service that receives a weighted share of a route's requests.
struct route_destination {
    std::string service;
    double weight = 1; ///< Share of the requests, relative to the weights of the other destinations.

    friend bool operator==(const route_destination& a, const route_destination& b)
    {
        return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
    }
    friend bool operator!=(const route_destination& a, const route_destination& b) { return !(a == b); }
};

/// Rules for the requests to one host and path prefix.
struct call_route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< The route with the longest matching prefix applies.
    std::vector<route_destination> destinations; ///< At least one.
    bool isIdempotent = false; ///< Whether a request may run more than once.
    int maxInstances = 1; ///< Maximum number of instances that one request may be sent to.
    milliseconds timeout { 5000 }; ///< Maximum time from the arrival of a request to its response.
    milliseconds latencyTarget { 1000 }; ///< Latency up to which a response has its full value.
    int priority = 0; ///< 0 is the most important, shed last.
    bool isAnonymous = false; ///< Requests need no key, even if there are organisations.

    friend bool operator==(const call_route& a, const call_route& b);
    friend bool operator!=(const call_route& a, const call_route& b) { return !(a == b); }
};

/// Operator-defined properties of one service.
struct service_description {
    std::string healthPath; ///< Path of the health endpoint; empty if the service has none.
    int maxConnections = 0; ///< Maximum connections that one instance accepts from all callers; 0 if unknown.

    friend bool operator==(const service_description& a, const service_description& b)
    {
        return std::tie(a.healthPath, a.maxConnections) == std::tie(b.healthPath, b.maxConnections);
    }
    friend bool operator!=(const service_description& a, const service_description& b) { return !(a == b); }
};

/// Limits on the size and duration of client requests.
struct client_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };

    friend bool operator==(const client_limits& a, const client_limits& b);
    friend bool operator!=(const client_limits& a, const client_limits& b) { return !(a == b); }
};

/// One version of the operators' routes, services, organisations and client limits.
struct traffic_rules {
    std::uint64_t version = 0; ///< 0 if no rules have been received yet.
    std::vector<call_route> routes;
    std::map<std::string, service_description> services;
    client_limits limits;
    /// Whether the configuration has a table of organisations. An empty table holds no key, so that every key
    /// is unknown; without a table, requests need no key.
    bool hasOrganisationTable = false;
    std::map<std::string, organisation> organisations; ///< By name.
    /// Name of the organisation that holds a key, by the digest of the key. The keys themselves are not kept,
    /// so that they can't appear in any output.
    std::map<std::string, std::string> organisationsByKeyDigest;

    /// @return whether requests need the key of an organisation.
    bool requiresKeys() const { return hasOrganisationTable || !organisations.empty(); }

    /// @return the organisation that holds a key, or null.
    const organisation* findOrganisation(const std::string& key) const;

    /// Finds the route of a request.
    /// @param host host of the request, without the port; compared without regard to case.
    /// @param path path of the request, without the query.
    /// @return the route with the longest matching path prefix, or null if none matches.
    const call_route* findRoute(const std::string& host, const std::string& path) const;

    friend bool operator==(const traffic_rules& a, const traffic_rules& b);
    friend bool operator!=(const traffic_rules& a, const traffic_rules& b) { return !(a == b); }
};

} // namespace fuchsiagauge
