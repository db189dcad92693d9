#include "client/place_command.h"

#include "client/exit_code.h"
#include "client/text_table.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::ordered_json;

    constexpr int okStatus = 200;

    std::string makePath(const place_request& request)
    {
        std::string path = "/place";
        const auto add = [&](const char* name, const std::string& value) {
            if (!value.empty())
                path += (path.find('?') == std::string::npos ? '?' : '&') + std::string(name) + '='
                    + encodePathSegment(value);
        };
        add("service", request.service);
        add("host", request.host);
        add("path", request.path);
        add("method", request.method);
        add("size", request.size);
        add("organisation", request.organisation);
        return path;
    }

    std::string formatValue(const json& value)
    {
        if (value.is_null())
            return "-";
        if (value.is_string())
            return value.get<std::string>();
        if (!value.is_number_float())
            return value.dump();
        char text[32];
        std::snprintf(text, sizeof text, "%.1f", value.get<double>());
        return text;
    }

    text_row makeRow(const json& item, bool isChosen)
    {
        const auto& load = item.at("load");
        const auto getLoad
            = [&](const char* name) { return load.is_null() ? "-" : formatValue(load.at(name)); };
        text_row row { isChosen ? "*" : "", formatValue(item.at("instance")), formatValue(item.at("zone")),
            formatValue(item.at("state")), formatValue(item.at("cost_ms")),
            formatValue(item.at("distance_ms")), formatValue(item.at("wait_ms")),
            formatValue(item.at("run_ms")), formatValue(item.at("failure_ms")),
            formatValue(item.at("introduction_ms")), formatValue(item.at("expected_run_ms")), getLoad("busy"),
            getLoad("waiting"), getLoad("usable_slots"), getLoad("slots"), getLoad("limit_per_s"),
            getLoad("age_ms") };
        row.push_back(item.contains("reason") ? formatValue(item.at("reason")) : "");
        return row;
    }

    /// Prints the report of one node.
    /// @return whether the request would be sent to an instance.
    bool printReport(const json& report, std::ostream& out)
    {
        const auto& admission = report.at("admission");
        const auto& quota = report.at("quota");
        bool isPlaced = admission.at("accepted").get<bool>();
        out << formatValue(report.at("node")) << " (zone " << formatValue(report.at("zone")) << "): route "
            << formatValue(report.at("route")) << ", priority " << formatValue(admission.at("priority"))
            << ", "
            << (isPlaced ? "accepted"
                         : "refused with " + formatValue(admission.at("status")) + ": "
                           + formatValue(admission.at("reason")))
            << ", quota "
            << (quota.is_null() ? "none"
                                : formatValue(quota.at("rate_per_s")) + "/s, burst "
                           + formatValue(quota.at("burst")) + ", share of this node "
                           + formatValue(quota.value("usable_share", nlohmann::json())))
            << '\n';
        for (const auto& service : report.at("services")) {
            const auto& chosen = service.at("chosen");
            out << formatValue(service.at("service")) << " (weight " << formatValue(service.at("weight"))
                << "): " << (chosen.is_null() ? "no instance" : formatValue(chosen)) << ", "
                << formatValue(service.at("why")) << '\n';
            std::vector<text_row> rows { { "", "instance", "zone", "state", "cost", "distance", "wait", "run",
                "failure", "intro", "expected", "busy", "waiting", "usable", "slots", "limit/s", "age",
                "left out" } };
            for (const char* list : { "candidates", "left_out" }) {
                for (const auto& item : service.at(list))
                    rows.push_back(makeRow(item, item.at("instance") == chosen));
            }
            if (rows.size() > 1)
                out << formatTextTable(rows);
            isPlaced = isPlaced && !chosen.is_null();
        }
        return isPlaced;
    }

    int printResult(
        const client_environment& environment, const client_options& options, const fetch_result& result)
    {
        const auto node = formatAddress(result.node);
        if (!result.hasResponse) {
            environment.err << node << ": " << result.reason.detail << '\n';
            return ExitUnreachable;
        }
        const auto report = json::parse(result.body, nullptr, false);
        if (result.status != okStatus) {
            environment.err << node << ": HTTP status " << result.status;
            if (report.is_object() && report.contains("error"))
                environment.err << ": " << formatValue(report["error"]);
            environment.err << '\n';
            return ExitBadResponse;
        }
        try {
            std::ostringstream text;
            const bool isPlaced = printReport(report, text);
            environment.out << (options.isJson ? report.dump() + '\n' : text.str());
            return isPlaced ? ExitSuccess : ExitProblemFound;
        } catch (const json::exception&) {
            environment.err << node << ": the response is no placement report\n";
            return ExitBadResponse;
        }
    }

} // namespace

int runPlace(
    const client_environment& environment, const client_options& options, const place_request& request)
{
    std::vector<fetch_request> requests;
    for (const auto& node : options.nodes)
        requests.push_back({ node, makePath(request) });
    int worstCode = ExitSuccess;
    for (const auto& result : environment.fetch(requests, options.timeout))
        worstCode = std::max(worstCode, printResult(environment, options, result));
    return worstCode;
}

} // namespace fuchsiagauge
