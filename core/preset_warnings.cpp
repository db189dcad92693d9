#include "core/preset_warnings.h"

#include <algorithm>
#include <set>

namespace fuchsiagauge {
namespace {

    constexpr char catalogueService[] = "catalogue";
    const char* const servicesShedAfterCatalogue[] = { "orders", "status", "tracker", "proofs", "templates" };

    void addWarning(document_findings& findings, const std::string& path, const std::string& found,
        const std::string& expected)
    {
        findings.push_back({ finding_severity::Warning, path, found, expected });
    }

    std::set<std::string> getClassNames(const service_rules& service)
    {
        std::set<std::string> names { service.defaultClass };
        for (const auto& route : service.routes)
            names.insert(route.className);
        return names;
    }

    /// Warns if catalogue browsing would not be shed before the more important services.
    void checkShedOrder(const preset& checked, const std::string& path, document_findings& findings)
    {
        const auto catalogue = checked.services.find(catalogueService);
        if (catalogue == checked.services.end())
            return;
        const auto catalogueClass = checked.getClass(catalogue->second.defaultClass);
        for (const auto* name : servicesShedAfterCatalogue) {
            const auto service = checked.services.find(name);
            if (service == checked.services.end())
                continue;
            const auto serviceClass = checked.getClass(service->second.defaultClass);
            if (catalogueClass.priority < serviceClass.priority)
                continue;
            addWarning(findings, path + ".classes." + catalogueClass.name + ".priority",
                "catalogue browsing has priority " + std::to_string(catalogueClass.priority) + ", `" + name
                    + "` has " + std::to_string(serviceClass.priority) + " (class `" + serviceClass.name
                    + "`)",
                "a lower priority, as browsing is shed first under overload");
        }
    }

    /// Warns of classes that no service refers to.
    void checkUnusedClasses(const preset& checked, const std::string& path, document_findings& findings)
    {
        std::set<std::string> usedClasses;
        for (const auto& [name, service] : checked.services)
            usedClasses.merge(getClassNames(service));
        for (const auto& [name, item] : checked.classes) {
            if (usedClasses.count(name) == 0)
                addWarning(findings, path + ".classes." + name, "no service uses this class",
                    "a service whose `class` or `routes` name it");
        }
    }

    /// @return whether the first route matches every request that the second one matches.
    bool covers(const class_route& first, const class_route& second)
    {
        const bool coversMethod = first.method.empty() || first.method == second.method;
        return coversMethod && second.pathPrefix.compare(0, first.pathPrefix.size(), first.pathPrefix) == 0;
    }

    /// Warns of routes that never match because an earlier route matches all of their requests.
    void checkUnreachableRoutes(
        const service_rules& service, const std::string& path, document_findings& findings)
    {
        const auto& routes = service.routes;
        for (std::size_t i = 1; i < routes.size(); ++i) {
            const auto earlier = std::find_if(routes.begin(), routes.begin() + static_cast<std::ptrdiff_t>(i),
                [&](const class_route& route) { return covers(route, routes[i]); });
            if (earlier == routes.begin() + static_cast<std::ptrdiff_t>(i))
                continue;
            addWarning(findings, path + ".routes[" + std::to_string(i) + ']',
                "never used: routes[" + std::to_string(earlier - routes.begin())
                    + "] takes all of its requests",
                "the narrower route first");
        }
    }

    void checkRetries(const preset& checked, const std::string& path, document_findings& findings)
    {
        if (checked.retries.perRequest > 0 && checked.retries.fleetRatio == 0)
            addWarning(findings, path + ".retries", "`fleet_ratio` is 0, so `per_request` has no effect",
                "a ratio above 0, or `per_request` 0");
    }

    void checkLink(const preset& checked, const std::string& path, document_findings& findings)
    {
        if (checked.link.bytesPerSecond == 0)
            addWarning(findings, path + ".link.bytes_per_second", "0: no call crosses regions",
                "the bytes a second that the link between regions may carry");
    }

    /// Warns of services that only other presets define: while this preset is active, requests to them are
    /// refused as for an unknown service.
    void checkMissingServices(
        const preset_document& document, const preset& checked, document_findings& findings)
    {
        std::set<std::string> reported;
        for (const auto& [otherName, other] : document.presets) {
            for (const auto& [serviceName, service] : other.services) {
                if (checked.services.count(serviceName) != 0 || !reported.insert(serviceName).second)
                    continue;
                addWarning(findings, "presets." + checked.name + ".services",
                    "no service `" + serviceName + "`, which the preset `" + otherName + "` has",
                    "the same services in every preset");
            }
        }
    }

} // namespace

void addPresetWarnings(const preset_document& document, document_findings& findings)
{
    for (const auto& [name, checked] : document.presets) {
        const auto path = "presets." + name;
        checkShedOrder(checked, path, findings);
        checkUnusedClasses(checked, path, findings);
        for (const auto& [serviceName, service] : checked.services)
            checkUnreachableRoutes(service, path + ".services." + serviceName, findings);
        checkRetries(checked, path, findings);
        checkLink(checked, path, findings);
        checkMissingServices(document, checked, findings);
    }
}

} // namespace fuchsiagauge
