#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace fuchsiagauge {

/// One service that takes a share of a route's requests.
struct route_destination {
    std::string service;
    double weight = 1; ///< Share of the requests, relative to the other parts.

    friend bool operator==(const route_destination& a, const route_destination& b)
    {
        return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
    }
    friend bool operator!=(const route_destination& a, const route_destination& b) { return !(a == b); }
};

/// How the requests of one host and path prefix are treated.
struct call_route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins the path; the longest match wins.
    std::vector<route_destination> destinations; ///< At least one.
    bool isIdempotent = false; ///< Whether a request may run more than once.
    int maxInstances = 1; ///< Most instances that one request may be sent to.
    milliseconds timeout { 5000 }; ///< Longest time that a request is kept waiting.
    milliseconds latencyTarget { 1000 }; ///< Time within which an answer has its full value.
    int priority = 0; ///< 0 is the most important; shed last.

    friend bool operator==(const call_route& a, const call_route& b);
    friend bool operator!=(const call_route& a, const call_route& b) { return !(a == b); }
};

/// What the operators say of one service.
struct service_description {
    std::string healthPath; ///< Empty: none.
    int maxConnections = 0; ///< Connections that one instance accepts from all callers; 0: not stated.

    friend bool operator==(const service_description& a, const service_description& b)
    {
        return std::tie(a.healthPath, a.maxConnections) == std::tie(b.healthPath, b.maxConnections);
    }
    friend bool operator!=(const service_description& a, const service_description& b) { return !(a == b); }
};

/// Bounds on what a client may send and how long it may take.
struct client_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };

    friend bool operator==(const client_limits& a, const client_limits& b);
    friend bool operator!=(const client_limits& a, const client_limits& b) { return !(a == b); }
};

/// The operators' routes, services and limits of one version.
struct traffic_rules {
    std::uint64_t version = 0; ///< 0: none known yet.
    std::vector<call_route> routes;
    std::map<std::string, service_description> services;
    client_limits limits;

    /// @param host host of the request, without a port.
    /// @param path path of the request, without its query.
    /// @return the route with the longest prefix of the path, or null.
    const call_route* findRoute(const std::string& host, const std::string& path) const;

    friend bool operator==(const traffic_rules& a, const traffic_rules& b);
    friend bool operator!=(const traffic_rules& a, const traffic_rules& b) { return !(a == b); }
};

} // namespace fuchsiagauge
