#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Rules for the requests of one class.
struct request_class {
    std::string name;
    int priority = 500; ///< 0 (shed first) to 1000 (shed last).
    milliseconds deadline { 1000 }; ///< Time that the edge node grants each request.
    bool isAtMostOnce = false; ///< Requests need a ticket and are never sent twice.
    bool isIdempotent = true; ///< Requests may be sent again after an unknown outcome.
    bool mayCrossRegions = true; ///< Requests may use the link between regions.
    /// Responses are large: lower priority on the link, resumed by range requests.
    bool hasLargeResponses = false;

    friend bool operator==(const request_class& a, const request_class& b);
    friend bool operator!=(const request_class& a, const request_class& b) { return !(a == b); }
};

/// Maps the requests of a service that match a method and a path prefix to a class.
struct class_route {
    std::string method; ///< HTTP method; empty matches any.
    std::string pathPrefix; ///< Empty matches any path.
    std::string className;

    friend bool operator==(const class_route& a, const class_route& b);
    friend bool operator!=(const class_route& a, const class_route& b) { return !(a == b); }
};

/// Classification and overload limits of one service.
struct service_rules {
    std::string name;
    std::string defaultClass; ///< Class of the requests that no route matches.
    std::vector<class_route> routes; ///< The first match applies.
    int minLimit = 1; ///< Lower bound of the adaptive concurrency limit of one instance.
    int maxLimit = 1000; ///< Upper bound of that limit; an instance's published slots lower it.
    milliseconds queueTarget { 20 }; ///< Queueing delay above which the service counts as overloaded.
    int maxQueue = 1000; ///< Maximum number of queued requests at one instance.

    friend bool operator==(const service_rules& a, const service_rules& b);
    friend bool operator!=(const service_rules& a, const service_rules& b) { return !(a == b); }
};

/// Limits on retries.
struct retry_rules {
    int perRequest = 2; ///< Maximum retries of one request over its whole call tree.
    double fleetRatio = 0.1; ///< Maximum ratio of retries to first attempts from a node to one service.

    friend bool operator==(const retry_rules& a, const retry_rules& b);
    friend bool operator!=(const retry_rules& a, const retry_rules& b) { return !(a == b); }
};

/// Bandwidth limit of the link between two regions.
struct link_rules {
    double bytesPerSecond = 3750000; ///< Limit per direction, for the whole region.
    int smallAnswerBytes = 65536; ///< Responses up to this size take precedence over larger ones.

    friend bool operator==(const link_rules& a, const link_rules& b);
    friend bool operator!=(const link_rules& a, const link_rules& b) { return !(a == b); }
};

/// A named set of rules, for example for normal operation, peak load or maintenance.
struct preset {
    std::string name;
    retry_rules retries;
    link_rules link;
    std::map<std::string, request_class> classes;
    std::map<std::string, service_rules> services;

    /// Selects the class of a request by the routes of its service.
    /// @param service name of the called service.
    /// @param method HTTP method.
    /// @param path request path.
    /// @return the class; for an unknown service a class of priority 0 that is not idempotent.
    request_class selectClass(
        const std::string& service, const std::string& method, const std::string& path) const;

    /// @return the class of that name; if there is none, a class of priority 0 (shed first) that is not
    /// idempotent, so that its requests are never sent again after an unknown outcome.
    request_class getClass(const std::string& name) const;

    /// @return the rules of that service, or the defaults if the preset has none.
    service_rules getServiceRules(const std::string& name) const;

    friend bool operator==(const preset& a, const preset& b);
    friend bool operator!=(const preset& a, const preset& b) { return !(a == b); }
};

/// The document published by the operators: all presets and the name of the active one.
struct preset_document {
    std::string activePreset; ///< Key of the active preset in `presets`.
    std::map<std::string, preset> presets;

    /// @return the active preset; throws std::out_of_range if it is missing.
    const preset& getActivePreset() const { return presets.at(activePreset); }

    friend bool operator==(const preset_document& a, const preset_document& b);
    friend bool operator!=(const preset_document& a, const preset_document& b) { return !(a == b); }
};

} // namespace fuchsiagauge
