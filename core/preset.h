#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// How the requests of one class are treated.
struct request_class {
    std::string name;
    int priority = 500; ///< 0 (shed first) to 1000 (shed last).
    milliseconds deadline { 1000 }; ///< Granted by the edge node.
    bool isAtMostOnce = false; ///< Needs a ticket and is never sent twice.
    bool isIdempotent = true; ///< May be sent again after an unknown outcome.
    bool mayCrossRegions = true; ///< Whether calls may use the link between regions.
    bool hasLargeAnswers = false; ///< Large answers: give way to small ones on the link, resumed by range.

    friend bool operator==(const request_class& a, const request_class& b);
    friend bool operator!=(const request_class& a, const request_class& b) { return !(a == b); }
};

/// Chooses the class of a request that enters at the edge.
struct class_route {
    std::string method; ///< Empty: any method.
    std::string pathPrefix; ///< Empty: any path.
    std::string className;

    friend bool operator==(const class_route& a, const class_route& b);
    friend bool operator!=(const class_route& a, const class_route& b) { return !(a == b); }
};

/// How one service is protected.
struct service_rules {
    std::string name;
    std::string defaultClass;
    std::vector<class_route> routes; ///< First match wins.
    int minLimit = 1; ///< Floor of the adaptive concurrency limit of one instance.
    int maxLimit = 1000; ///< Ceiling; the published slots lower it.
    milliseconds queueTarget { 20 }; ///< Queueing delay above which the service counts as overloaded.
    int maxQueue = 1000; ///< Queued requests at one instance.

    friend bool operator==(const service_rules& a, const service_rules& b);
    friend bool operator!=(const service_rules& a, const service_rules& b) { return !(a == b); }
};

/// Bounds on retries.
struct retry_rules {
    int perRequest = 2; ///< Retries for one request over its whole call tree.
    double fleetRatio = 0.1; ///< Retries per first attempt that a node may send to one service.

    friend bool operator==(const retry_rules& a, const retry_rules& b);
    friend bool operator!=(const retry_rules& a, const retry_rules& b) { return !(a == b); }
};

/// Byte budget of the link between two regions.
struct link_rules {
    double bytesPerSecond = 3750000; ///< Each way, for the whole region.
    int smallAnswerBytes = 65536; ///< Answers up to this size go before larger ones.

    friend bool operator==(const link_rules& a, const link_rules& b);
    friend bool operator!=(const link_rules& a, const link_rules& b) { return !(a == b); }
};

/// One preset: the rules for an ordinary day, a peak or maintenance.
struct preset {
    std::string name;
    retry_rules retries;
    link_rules link;
    std::map<std::string, request_class> classes;
    std::map<std::string, service_rules> services;

    /// @return the class of a request at the edge of a service.
    /// @param service name of the service; unknown ones get the lowest priority.
    /// @param method HTTP method.
    /// @param path request path.
    request_class selectClass(
        const std::string& service, const std::string& method, const std::string& path) const;

    /// @return the class of that name, or a class of priority 0 that is never retried.
    request_class getClass(const std::string& name) const;

    /// @return the rules of that service, or the defaults.
    service_rules getServiceRules(const std::string& name) const;

    friend bool operator==(const preset& a, const preset& b);
    friend bool operator!=(const preset& a, const preset& b) { return !(a == b); }
};

/// The operators' document: every preset and the name of the one in force.
struct preset_document {
    std::string activePreset;
    std::map<std::string, preset> presets;

    /// @return the preset in force.
    const preset& getActivePreset() const { return presets.at(activePreset); }

    friend bool operator==(const preset_document& a, const preset_document& b);
    friend bool operator!=(const preset_document& a, const preset_document& b) { return !(a == b); }
};

} // namespace fuchsiagauge
