#include "mesh/placement_report.h"

#include "core/text_fields.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::ordered_json;

    constexpr int okStatus = 200;
    constexpr int badRequestStatus = 400;
    constexpr int unauthorizedStatus = 401;
    constexpr int notFoundStatus = 404;
    constexpr int tooLargeStatus = 413;
    constexpr int unavailableStatus = 503;
    constexpr std::uint64_t maxSize = 1ULL << 40;

    std::optional<std::string> decodePercent(std::string_view text)
    {
        std::string decoded;
        for (std::size_t index = 0; index < text.size(); ++index) {
            if (text[index] != '%') {
                decoded += text[index];
                continue;
            }
            int value = 0;
            const auto* digits = text.data() + index + 1;
            if (index + 2 >= text.size() || std::from_chars(digits, digits + 2, value, 16).ptr != digits + 2)
                return std::nullopt;
            decoded += static_cast<char>(value);
            index += 2;
        }
        return decoded;
    }

    /// The request that the operator asks about.
    struct placement_query {
        std::string service;
        std::string host;
        std::string path;
        std::string method = "GET";
        std::string organisation;
        std::uint64_t size = 0; ///< Bytes of the body.
    };

    /// @return the query, or nothing and the reason in `problem`.
    std::optional<placement_query> parseQuery(const std::string& target, std::string& problem)
    {
        placement_query query;
        const auto start = target.find('?');
        const std::string_view text
            = start == std::string::npos ? std::string_view() : std::string_view(target).substr(start + 1);
        for (const auto field : splitFields(text, '&')) {
            const auto equals = field.find('=');
            const auto name = field.substr(0, equals);
            const auto value
                = decodePercent(equals == std::string_view::npos ? "" : field.substr(equals + 1));
            bool isValid = value.has_value();
            if (name == "service" && value)
                query.service = *value;
            else if (name == "host" && value)
                query.host = *value;
            else if (name == "path" && value)
                query.path = value->substr(0, value->find('?'));
            else if (name == "method" && value)
                query.method = *value;
            else if (name == "organisation" && value)
                query.organisation = *value;
            else if (name == "size" && value)
                isValid = parseInteger<std::uint64_t>(*value, 0, maxSize, query.size);
            else
                isValid = field.empty();
            if (!isValid) {
                problem = "unknown or invalid parameter `" + std::string(name) + '`';
                return std::nullopt;
            }
        }
        if (query.service.empty() == (query.host.empty() && query.path.empty())) {
            problem = "expected either `service`, or `host` and `path`";
            return std::nullopt;
        }
        return query;
    }

    /// @return the route of the request; for a service, the first one that leads there; null if there is
    /// none.
    const call_route* findRoute(const traffic_rules& rules, const placement_query& query)
    {
        if (query.service.empty())
            return rules.findRoute(query.host, query.path);
        const auto found = std::find_if(rules.routes.begin(), rules.routes.end(), [&](const auto& route) {
            return std::any_of(route.destinations.begin(), route.destinations.end(),
                [&](const auto& destination) { return destination.service == query.service; });
        });
        return found == rules.routes.end() ? nullptr : &*found;
    }

    /// Describes how the entry of this node would treat the request.
    json describeAdmission(const mesh_context& context, const placement_query& query, const call_route* route)
    {
        const auto& rules = *context.rules;
        const auto found = rules.organisations.find(query.organisation);
        const bool isKnown = found != rules.organisations.end();
        const auto priority = [&] {
            if (!route || !rules.requiresKeys())
                return route ? route->priority : 0;
            return combinePriorities(isKnown ? found->second.priority : std::nullopt, route->priority);
        }();
        const auto refuse = [&]() -> std::pair<int, const char*> {
            if (rules.version == 0)
                return { unavailableStatus, "no traffic rules received yet" };
            if (!route)
                return { notFoundStatus, "no matching route" };
            if (query.size > rules.limits.bodyBytes)
                return { tooLargeStatus, "the body is larger than the limit of the configuration" };
            const bool hasKey = !query.organisation.empty();
            const bool needsProof = context.usesKeys() && !route->isAnonymous && hasKey;
            if (needsProof && !context.mayUseKeys())
                return { unavailableStatus, "the rules are not proved current" };
            const bool requiresKey = rules.requiresKeys() && !route->isAnonymous;
            if ((requiresKey || needsProof) && !isKnown)
                return { unauthorizedStatus, hasKey ? "unknown organisation" : "the route asks for a key" };
            if (context.endsAt)
                return { unavailableStatus, "the node is stopping" };
            return { okStatus, "" };
        }();
        return { { "accepted", refuse.first == okStatus }, { "status", refuse.first },
            { "reason", refuse.second }, { "rules", rules.version }, { "priority", priority },
            { "local_entry_share", context.target.getEntryShare(priority) } };
    }

    json describeQuota(const mesh_context& context, const std::string& organisation)
    {
        const auto& rules = *context.rules;
        const auto found = rules.organisations.find(organisation);
        if (found == rules.organisations.end() || found->second.ratePerSecond <= 0)
            return nullptr;
        return { { "rate_per_s", found->second.ratePerSecond }, { "burst", found->second.burst },
            { "usable_share", context.quota.getUsableShare(context.time.now(), organisation) } };
    }

    json describeInstance(const instance_placement& item, milliseconds now)
    {
        const auto& record = item.instance->record;
        json result { { "instance", record.id }, { "zone", record.zone },
            { "address", formatAddress(record.target) }, { "state", item.state },
            { "listed_for_ms", (now - item.instance->firstSeenAt).getCount() },
            { "own_in_flight", item.ownInFlight }, { "failure_rate", item.failureRate },
            { "distance_ms", item.cost.distance }, { "wait_ms", item.cost.wait }, { "run_ms", item.cost.run },
            { "failure_ms", item.cost.failure }, { "introduction_ms", item.cost.introduction },
            { "cost_ms", item.cost.getTotal(0) }, { "expected_run_ms", nullptr }, { "load", nullptr } };
        if (item.runTime)
            result["expected_run_ms"] = item.runTime->getCount();
        if (item.reportAge) {
            const auto& load = item.load;
            result["load"] = { { "age_ms", item.reportAge->getCount() }, { "busy", load.busy },
                { "waiting", load.waiting }, { "usable_slots", load.slots },
                { "slots", load.isFilling() ? load.fullSlots : load.slots },
                { "service_ms", load.serviceTime.getCount() },
                { "slowdown", load.pace.getExpected(*item.reportAge) },
                { "rejected_share", load.rejectedShare }, { "limit_per_s", nullptr } };
            if (load.rateLimit)
                result["load"]["limit_per_s"] = *load.rateLimit;
        }
        if (!item.reason.empty())
            result["reason"] = item.reason;
        return result;
    }

    json describeService(const mesh_context& context, const call_route& route, const route_destination& to)
    {
        const auto now = context.time.now();
        const pick_request request { to.service, route.name, route.latencyTarget, route.latencyTarget,
            route.isIdempotent, {} };
        const auto placement = context.picker.place(now, request, context.directory);
        json result { { "service", to.service }, { "weight", to.weight }, { "chosen", nullptr },
            { "why", placement.reason }, { "candidates", json::array() }, { "left_out", json::array() } };
        if (placement.chosen)
            result["chosen"] = placement.chosen->record.id;
        for (const auto& item : placement.instances)
            result[item.reason.empty() ? "candidates" : "left_out"].push_back(describeInstance(item, now));
        return result;
    }

} // namespace

std::string reportPlacement(const mesh_context& context, const std::string& target, response_head& head)
{
    constexpr auto replace = json::error_handler_t::replace;
    head.fields.add("Content-Type", "application/json");
    std::string problem;
    const auto query = parseQuery(target, problem);
    if (!query) {
        head.status = badRequestStatus;
        return json { { "error", problem } }.dump(-1, ' ', false, replace) + '\n';
    }
    const auto* route = findRoute(*context.rules, *query);
    json report { { "node", context.config.node }, { "zone", context.config.location.zone },
        { "route", route ? json(route->name) : json() }, { "method", query->method }, { "size", query->size },
        { "organisation", query->organisation }, { "admission", describeAdmission(context, *query, route) },
        { "quota", describeQuota(context, query->organisation) }, { "services", json::array() } };
    call_route direct; // For a service to which no route leads.
    std::vector<route_destination> destinations;
    if (!query->service.empty())
        destinations = { { query->service, 1 } };
    else if (route)
        destinations = route->destinations;
    for (const auto& destination : destinations)
        report["services"].push_back(describeService(context, route ? *route : direct, destination));
    return report.dump(-1, ' ', false, replace) + '\n';
}

} // namespace fuchsiagauge
