#include "core/preset.h"

#include <tuple>

namespace fuchsiagauge {
namespace {

    bool matches(const class_route& route, const std::string& method, const std::string& path)
    {
        if (!route.method.empty() && route.method != method)
            return false;
        return path.compare(0, route.pathPrefix.size(), route.pathPrefix) == 0;
    }

    auto tie(const request_class& c)
    {
        return std::tie(
            c.name, c.priority, c.isAtMostOnce, c.isIdempotent, c.mayCrossRegions, c.hasLargeResponses);
    }

    auto tie(const service_rules& s)
    {
        return std::tie(s.name, s.defaultClass, s.routes, s.minLimit, s.maxLimit, s.maxQueue);
    }

} // namespace

bool operator==(const request_class& a, const request_class& b)
{
    return tie(a) == tie(b) && a.deadline == b.deadline;
}

bool operator==(const class_route& a, const class_route& b)
{
    return std::tie(a.method, a.pathPrefix, a.className) == std::tie(b.method, b.pathPrefix, b.className);
}

bool operator==(const service_rules& a, const service_rules& b)
{
    return tie(a) == tie(b) && a.queueTarget == b.queueTarget;
}

bool operator==(const retry_rules& a, const retry_rules& b)
{
    return std::tie(a.perRequest, a.fleetRatio) == std::tie(b.perRequest, b.fleetRatio);
}

bool operator==(const link_rules& a, const link_rules& b)
{
    return std::tie(a.bytesPerSecond, a.smallAnswerBytes) == std::tie(b.bytesPerSecond, b.smallAnswerBytes);
}

bool operator==(const preset& a, const preset& b)
{
    return std::tie(a.name, a.retries, a.link, a.classes, a.services)
        == std::tie(b.name, b.retries, b.link, b.classes, b.services);
}

bool operator==(const preset_document& a, const preset_document& b)
{
    return std::tie(a.activePreset, a.presets) == std::tie(b.activePreset, b.presets);
}

request_class preset::selectClass(
    const std::string& service, const std::string& method, const std::string& path) const
{
    const auto found = services.find(service);
    if (found == services.end())
        return getClass({});
    for (const auto& route : found->second.routes) {
        if (matches(route, method, path))
            return getClass(route.className);
    }
    return getClass(found->second.defaultClass);
}

request_class preset::getClass(const std::string& className) const
{
    const auto found = classes.find(className);
    if (found != classes.end())
        return found->second;
    request_class unknown;
    unknown.name = className.empty() ? "unclassified" : className;
    unknown.priority = 0;
    unknown.isIdempotent = false;
    return unknown;
}

service_rules preset::getServiceRules(const std::string& serviceName) const
{
    const auto found = services.find(serviceName);
    if (found != services.end())
        return found->second;
    service_rules defaults;
    defaults.name = serviceName;
    return defaults;
}

} // namespace fuchsiagauge
