#include "client/fleet_report.h"

#include "client/text_table.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::json;

    std::string join(const std::vector<std::string>& names)
    {
        std::string text;
        for (const auto& name : names)
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

    std::string getSortKey(const node_status_result& result)
    {
        if (!result.status)
            return "1/" + formatAddress(result.node);
        return "0/" + result.status->region + '/' + result.status->zone + '/' + result.status->instance;
    }

    /// @return the node's location and what it can't reach, or an empty string if it reaches every zone.
    std::string describePartition(const node_status& status)
    {
        if (!status.control.cutOffRegions.empty())
            return "in region " + status.region + ", cut off from region "
                + join(status.control.cutOffRegions);
        if (!status.control.cutOffZones.empty())
            return "in availability zone " + status.zone + ", cut off from availability zone "
                + join(status.control.cutOffZones);
        return {};
    }

    std::string describeOutdatedCause(const node_status& status)
    {
        if (!status.configuration.lastRefusal.empty())
            return "it refused a document: " + status.configuration.lastRefusal;
        if (status.control.readers.empty())
            return "it knows of no node that watches the platform";
        if (status.control.isReader && !status.control.isPlatformReachable)
            return "it watches the platform, but the platform does not answer";
        return "it has not received the newer document yet";
    }

    std::string describeOutdatedNode(const node_status& status, std::uint64_t newest)
    {
        std::string text = "behind: ";
        if (status.configuration.revision == 0)
            text += "it runs on its default configuration";
        else
            text += "revision " + std::to_string(status.configuration.revision);
        text += ", the newest is " + std::to_string(newest) + "; " + describeOutdatedCause(status);
        const auto partition = describePartition(status);
        return partition.empty() ? text : text + " (" + partition + ')';
    }

    void addNodeProblems(const node_status& status, fleet_report& report)
    {
        const auto addProblem = [&](const std::string& text) {
            report.problems.push_back({ status.instance, text });
        };
        const bool isOutdated = status.configuration.revision < report.newestRevision;
        if (isOutdated) {
            ++report.outdatedCount;
            addProblem(describeOutdatedNode(status, report.newestRevision));
        }
        const auto partition = describePartition(status);
        if (!isOutdated && !partition.empty())
            addProblem(partition);
        if (!isOutdated && !status.configuration.lastRefusal.empty())
            addProblem("the last document was refused: " + status.configuration.lastRefusal);
        if (status.configuration.hasDocumentConflict)
            addProblem(
                "two different documents were seen with the same revision; the platform must publish a "
                "higher revision");
        for (const auto& knownInstance : status.instances) {
            if (knownInstance.isEjected)
                addProblem("has ejected " + knownInstance.id
                    + (knownInstance.reason.empty() ? "" : ": " + knownInstance.reason));
        }
    }

    /// Reports revisions for which nodes have different documents: a revision must identify one document.
    void addDocumentConflicts(fleet_report& report)
    {
        std::map<std::uint64_t, std::set<std::string>> digestsByRevision;
        for (const auto& result : report.results) {
            if (result.status && result.status->configuration.revision != 0)
                digestsByRevision[result.status->configuration.revision].insert(
                    result.status->configuration.digest);
        }
        for (const auto& [revision, revisionDigests] : digestsByRevision) {
            if (revisionDigests.size() > 1)
                report.problems.push_back({ "fleet",
                    "revision " + std::to_string(revision) + " refers to "
                        + std::to_string(revisionDigests.size())
                        + " different documents on different nodes" });
        }
    }

    text_row makeRow(const node_status_result& result)
    {
        if (!result.status)
            return { formatAddress(result.node), "-", "-", "unreached", "-", "-", "-", "-" };
        const auto& status = *result.status;
        const auto& target = status.target;
        return { status.instance, status.service, status.region + '/' + status.zone,
            getNodeStateName(status.state), status.configuration.preset,
            std::to_string(status.configuration.revision),
            std::to_string(target.inFlight) + '/' + std::to_string(target.limit),
            std::to_string(target.queued) };
    }

    /// Requests per second of one class, summed over the instances of one service.
    struct class_rate {
        double offered = 0;
        double answered = 0;
        double shed = 0;
        double expired = 0;
    };

    struct rate_key {
        std::string service;
        std::string className;

        friend bool operator<(const rate_key& a, const rate_key& b)
        {
            return std::tie(a.service, a.className) < std::tie(b.service, b.className);
        }
    };

    using class_rates = std::map<rate_key, class_rate>;

    /// @return the increase of a counter; a counter that went down is taken to have restarted from 0.
    double computeIncrease(std::uint64_t after, std::uint64_t before)
    {
        return after >= before ? static_cast<double>(after - before) : static_cast<double>(after);
    }

    /// @return the counters of a class in an earlier report by the same process of the node, or null.
    const class_counters* findCounters(
        const fleet_report& report, const node_status& node, const std::string& className)
    {
        for (const auto& result : report.results) {
            const bool isSameProcess = result.status && result.status->instance == node.instance
                && result.status->startNumber == node.startNumber;
            if (!isSameProcess)
                continue;
            for (const auto& counters : result.status->classes) {
                if (counters.name == className)
                    return &counters;
            }
        }
        return nullptr;
    }

    void addRates(const fleet_report& before, const node_status& node, double seconds, class_rates& rates)
    {
        for (const auto& counters : node.classes) {
            const auto* earlierCounters = findCounters(before, node, counters.name);
            const class_counters zeroCounters;
            const auto& baseline = earlierCounters ? *earlierCounters : zeroCounters;
            auto& rate = rates[{ node.service, counters.name }];
            rate.offered += computeIncrease(counters.offered, baseline.offered) / seconds;
            rate.answered += computeIncrease(counters.answered, baseline.answered) / seconds;
            rate.shed += computeIncrease(counters.shed, baseline.shed) / seconds;
            rate.expired += computeIncrease(counters.expired, baseline.expired) / seconds;
        }
    }

    class_rates computeRates(const fleet_report& before, const fleet_report& after, milliseconds elapsed)
    {
        constexpr double msPerSecond = 1000;
        const auto seconds = std::max(elapsed.getCount(), 1.0) / msPerSecond;
        class_rates rates;
        for (const auto& result : after.results) {
            if (result.status)
                addRates(before, *result.status, seconds, rates);
        }
        return rates;
    }

    std::string formatRate(double value)
    {
        constexpr double tenthsPerUnit = 10;
        const auto rounded = std::llround(value * tenthsPerUnit);
        return std::to_string(rounded / 10) + '.' + std::to_string(rounded % 10);
    }

} // namespace

fleet_report makeFleetReport(std::vector<node_status_result> results)
{
    fleet_report report;
    report.results = std::move(results);
    std::sort(report.results.begin(), report.results.end(),
        [](const node_status_result& a, const node_status_result& b) {
            return getSortKey(a) < getSortKey(b);
        });
    for (const auto& result : report.results) {
        const bool isNewer = result.status
            && (report.preset.empty() || result.status->configuration.revision > report.newestRevision);
        if (!isNewer)
            continue;
        report.newestRevision = result.status->configuration.revision;
        report.preset = result.status->configuration.preset;
    }
    for (const auto& result : report.results) {
        if (result.status) {
            addNodeProblems(*result.status, report);
            continue;
        }
        ++report.unreachedCount;
        report.problems.push_back({ formatAddress(result.node), "no status: " + result.failure });
    }
    addDocumentConflicts(report);
    return report;
}

std::string formatFleetReport(const fleet_report& report)
{
    std::vector<text_row> rows { { "INSTANCE", "SERVICE", "ZONE", "STATE", "PRESET", "REVISION", "IN FLIGHT",
        "QUEUED" } };
    for (const auto& result : report.results)
        rows.push_back(makeRow(result));
    const auto reachedCount = report.results.size() - report.unreachedCount;
    std::string out = "preset " + (report.preset.empty() ? "-" : report.preset) + ", revision "
        + std::to_string(report.newestRevision) + ": in force on "
        + std::to_string(reachedCount - report.outdatedCount) + " of " + std::to_string(report.results.size())
        + " nodes queried, " + std::to_string(report.outdatedCount) + " behind, "
        + std::to_string(report.unreachedCount) + " unreached\n\n" + formatTextTable(rows);
    if (!report.problems.empty())
        out += '\n';
    for (const auto& problem : report.problems)
        out += problem.subject + ": " + problem.sentence + '\n';
    return out;
}

std::string formatFleetReportAsJson(const fleet_report& report)
{
    auto nodes = json::array();
    for (const auto& result : report.results) {
        json node { { "address", formatAddress(result.node) }, { "reached", result.status.has_value() } };
        if (result.status)
            node["status"] = json::parse(formatNodeStatus(*result.status));
        else
            node["failure"] = result.failure;
        nodes.push_back(node);
    }
    auto problems = json::array();
    for (const auto& problem : report.problems)
        problems.push_back({ { "subject", problem.subject }, { "sentence", problem.sentence } });
    const json document { { "preset", report.preset }, { "newest_revision", report.newestRevision },
        { "behind", report.outdatedCount }, { "unreached", report.unreachedCount }, { "problems", problems },
        { "nodes", nodes } };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string formatRates(const fleet_report& before, const fleet_report& after, milliseconds elapsed)
{
    std::vector<text_row> rows { { "SERVICE", "CLASS", "OFFERED/S", "ANSWERED/S", "SHED/S", "EXPIRED/S" } };
    for (const auto& [key, rate] : computeRates(before, after, elapsed))
        rows.push_back({ key.service, key.className, formatRate(rate.offered), formatRate(rate.answered),
            formatRate(rate.shed), formatRate(rate.expired) });
    return formatTextTable(rows);
}

std::string formatRatesAsJson(const fleet_report& before, const fleet_report& after, milliseconds elapsed)
{
    auto list = json::array();
    for (const auto& [key, rate] : computeRates(before, after, elapsed))
        list.push_back({ { "service", key.service }, { "class", key.className },
            { "offered_per_second", rate.offered }, { "answered_per_second", rate.answered },
            { "shed_per_second", rate.shed }, { "expired_per_second", rate.expired } });
    return list.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace fuchsiagauge
