#include "bench/experiment.h"

#include "core/document_reader.h"
#include "core/error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fuchsiagauge::bench {
namespace {

    using json = nlohmann::json;

    constexpr double maxDurationS = 24 * 3600;
    constexpr double maxRatePerS = 100000;
    constexpr double maxFactor = 1000;
    constexpr double maxDelayMs = 3600.0 * 1000;
    constexpr int maxRetries = 1000;
    constexpr int maxBytes = 1 << 30;
    constexpr int maxConnections = 100000;

    load_phase readPhase(document_reader& reader)
    {
        load_phase result;
        result.fromS = reader.getNumber("from_s", 0, 0, maxDurationS);
        result.toS = reader.getNumber("to_s", 0, 0, maxDurationS);
        result.factor = reader.getNumber("factor", 1, 0, maxFactor);
        result.groups = reader.getTextList("groups");
        if (result.toS <= result.fromS)
            reader.addFault("to_s", "not after `from_s`", "the end of the phase");
        return result;
    }

    std::vector<address> readEdges(document_reader& reader)
    {
        std::vector<address> edges;
        for (const auto& text : reader.getTextList("edges")) {
            const auto edge = parseAddress(text);
            if (!edge)
                reader.addFault("edges", "got `" + text + "`", "`ip:port`");
            edges.push_back(edge.value_or(address()));
        }
        if (edges.empty())
            reader.addFault("edges", "none", "at least one address");
        return edges;
    }

    caller_group readGroup(document_reader& reader)
    {
        caller_group result;
        result.name = reader.getRequiredText("name");
        result.className = reader.getText("class", result.name);
        result.edges = readEdges(reader);
        result.method = reader.getText("method", result.method);
        result.path = reader.getText("path", result.path);
        result.ratePerS = reader.getNumber("rate", 0, 0, maxRatePerS);
        result.deadlineMs = reader.getNumber("deadline_ms", result.deadlineMs, 1, maxDelayMs);
        reader.readObject("client_retries", [&](const std::string&, document_reader& retries) {
            result.maxRetries = retries.getInteger("max", 0, 0, maxRetries);
            result.backoffMs = retries.getNumber("backoff_ms", 0, 0, maxDelayMs);
        });
        result.isAtMostOnce = reader.getFlag("at_most_once", false);
        result.responseBytes = reader.getInteger("bytes", -1, -1, maxBytes);
        result.requestBytes = static_cast<std::uint64_t>(reader.getInteger("request_bytes", 0, 0, maxBytes));
        result.maxConnections = reader.getInteger("connections", result.maxConnections, 1, maxConnections);
        if (result.path.empty() || result.path.front() != '/')
            reader.addFault("path", "got `" + result.path + "`", "a path that begins with `/`");
        return result;
    }

    void checkGroupNames(const experiment& plan, document_reader& reader)
    {
        const auto isKnown = [&](const std::string& name) {
            return std::any_of(plan.groups.begin(), plan.groups.end(),
                [&](const caller_group& group) { return group.name == name; });
        };
        for (const auto& phase : plan.phases) {
            for (const auto& name : phase.groups) {
                if (!isKnown(name))
                    reader.addFault("phases", "names the group `" + name + "`", "groups of this file");
            }
        }
    }

    experiment readExperiment(document_reader& reader)
    {
        experiment result;
        result.seed = static_cast<std::uint64_t>(reader.getInteger("seed", 1, 0, maxBytes));
        result.durationS = reader.getNumber("duration_s", result.durationS, 0.1, maxDurationS);
        result.warmUpS = reader.getNumber("warm_up_s", result.warmUpS, 0, maxDurationS);
        reader.readEntries("phases",
            [&](const std::string&, document_reader& item) { result.phases.push_back(readPhase(item)); });
        reader.readEntries("groups",
            [&](const std::string&, document_reader& item) { result.groups.push_back(readGroup(item)); });
        if (result.groups.empty())
            reader.addFault("groups", "none", "at least one caller group");
        checkGroupNames(result, reader);
        return result;
    }

} // namespace

std::optional<experiment> parseExperiment(const std::string& text)
{
    json value;
    try {
        value = json::parse(text, nullptr, true, true);
    } catch (const json::exception& parseError) {
        return fail(error_kind::BadSettings, std::string("not JSON: ") + parseError.what());
    }
    document_findings findings;
    document_reader reader(value, "", findings);
    auto plan = readExperiment(reader);
    reader.addUnknownKeyFaults();
    if (hasFault(findings))
        return fail(error_kind::BadSettings, formatFaults(findings, ""));
    return plan;
}

} // namespace fuchsiagauge::bench
