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

    std::string getSortKey(const node_answer& answer)
    {
        if (!answer.status)
            return "1/" + formatAddress(answer.node);
        return "0/" + answer.status->region + '/' + answer.status->zone + '/' + answer.status->instance;
    }

    /// @return which side of a cut a node stands on, or nothing when it reaches every zone.
    std::string describeSide(const node_status& status)
    {
        if (!status.control.cutOffRegions.empty())
            return "in region " + status.region + ", cut off from region "
                + join(status.control.cutOffRegions);
        if (!status.control.cutOffZones.empty())
            return "in availability zone " + status.zone + ", cut off from availability zone "
                + join(status.control.cutOffZones);
        return {};
    }

    std::string describeReason(const node_status& status)
    {
        if (!status.configuration.lastRefusal.empty())
            return "it refused a document: " + status.configuration.lastRefusal;
        if (status.control.readers.empty())
            return "it knows no node that watches the platform";
        if (status.control.isReader && !status.control.isPlatformReachable)
            return "it watches the platform, which does not answer";
        return "it has not heard of the newer document yet";
    }

    std::string describeBehind(const node_status& status, std::uint64_t newest)
    {
        std::string text = "behind: ";
        if (status.configuration.revision == 0)
            text += "it runs on its own defaults";
        else
            text += "revision " + std::to_string(status.configuration.revision);
        text += ", the newest is " + std::to_string(newest) + "; " + describeReason(status);
        const auto side = describeSide(status);
        return side.empty() ? text : text + " (" + side + ')';
    }

    void addNodeProblems(const node_status& status, fleet_report& report)
    {
        const auto add = [&](const std::string& text) {
            report.problems.push_back({ status.instance, text });
        };
        const bool isBehind = status.configuration.revision < report.newestRevision;
        if (isBehind) {
            ++report.behind;
            add(describeBehind(status, report.newestRevision));
        }
        const auto side = describeSide(status);
        if (!isBehind && !side.empty())
            add(side);
        if (!isBehind && !status.configuration.lastRefusal.empty())
            add("the last document was refused: " + status.configuration.lastRefusal);
        if (status.configuration.hasDocumentConflict)
            add("two documents were seen with one revision; the platform must publish a higher one");
        for (const auto& known : status.instances) {
            if (known.isEjected)
                add("sends no calls to " + known.id + (known.reason.empty() ? "" : ": " + known.reason));
        }
    }

    /// Two nodes with one revision must have one document.
    void addConflicts(fleet_report& report)
    {
        std::map<std::uint64_t, std::set<std::string>> digests;
        for (const auto& answer : report.answers) {
            if (answer.status && answer.status->configuration.revision != 0)
                digests[answer.status->configuration.revision].insert(answer.status->configuration.digest);
        }
        for (const auto& [revision, seen] : digests) {
            if (seen.size() > 1)
                report.problems.push_back({ "fleet",
                    "revision " + std::to_string(revision) + " stands for " + std::to_string(seen.size())
                        + " documents on different nodes" });
        }
    }

    text_row makeRow(const node_answer& answer)
    {
        if (!answer.status)
            return { formatAddress(answer.node), "-", "-", "unreached", "-", "-", "-", "-" };
        const auto& status = *answer.status;
        const auto& target = status.target;
        return { status.instance, status.service, status.region + '/' + status.zone,
            getNodeStateName(status.state), status.configuration.preset,
            std::to_string(status.configuration.revision),
            std::to_string(target.inFlight) + '/' + std::to_string(target.limit),
            std::to_string(target.queued) };
    }

    /// Requests of one class at one service's instances, since their start.
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

    double subtract(std::uint64_t after, std::uint64_t before)
    {
        return after >= before ? static_cast<double>(after - before) : static_cast<double>(after);
    }

    const class_counters* findCounters(
        const fleet_report& report, const node_status& node, const std::string& className)
    {
        for (const auto& answer : report.answers) {
            const bool isSameLife = answer.status && answer.status->instance == node.instance
                && answer.status->startNumber == node.startNumber;
            if (!isSameLife)
                continue;
            for (const auto& counters : answer.status->classes) {
                if (counters.name == className)
                    return &counters;
            }
        }
        return nullptr;
    }

    void addRates(const fleet_report& before, const node_status& node, double seconds, class_rates& rates)
    {
        for (const auto& counters : node.classes) {
            const auto* earlier = findCounters(before, node, counters.name);
            const class_counters none;
            const auto& base = earlier ? *earlier : none;
            auto& rate = rates[{ node.service, counters.name }];
            rate.offered += subtract(counters.offered, base.offered) / seconds;
            rate.answered += subtract(counters.answered, base.answered) / seconds;
            rate.shed += subtract(counters.shed, base.shed) / seconds;
            rate.expired += subtract(counters.expired, base.expired) / seconds;
        }
    }

    class_rates computeRates(const fleet_report& before, const fleet_report& after, milliseconds elapsed)
    {
        constexpr double msPerSecond = 1000;
        const auto seconds = std::max(elapsed.getCount(), 1.0) / msPerSecond;
        class_rates rates;
        for (const auto& answer : after.answers) {
            if (answer.status)
                addRates(before, *answer.status, seconds, rates);
        }
        return rates;
    }

    std::string formatRate(double value)
    {
        constexpr double tenths = 10;
        const auto rounded = std::llround(value * tenths);
        return std::to_string(rounded / 10) + '.' + std::to_string(rounded % 10);
    }

} // namespace

fleet_report makeFleetReport(std::vector<node_answer> answers)
{
    fleet_report report;
    report.answers = std::move(answers);
    std::sort(report.answers.begin(), report.answers.end(),
        [](const node_answer& a, const node_answer& b) { return getSortKey(a) < getSortKey(b); });
    for (const auto& answer : report.answers) {
        const bool isNewer = answer.status
            && (report.preset.empty() || answer.status->configuration.revision > report.newestRevision);
        if (!isNewer)
            continue;
        report.newestRevision = answer.status->configuration.revision;
        report.preset = answer.status->configuration.preset;
    }
    for (const auto& answer : report.answers) {
        if (answer.status) {
            addNodeProblems(*answer.status, report);
            continue;
        }
        ++report.unreached;
        report.problems.push_back({ formatAddress(answer.node), "no status: " + answer.failure });
    }
    addConflicts(report);
    return report;
}

std::string formatFleetReport(const fleet_report& report)
{
    std::vector<text_row> rows { { "INSTANCE", "SERVICE", "ZONE", "STATE", "PRESET", "REVISION", "IN FLIGHT",
        "QUEUED" } };
    for (const auto& answer : report.answers)
        rows.push_back(makeRow(answer));
    const auto reached = report.answers.size() - report.unreached;
    std::string out = "preset " + (report.preset.empty() ? "-" : report.preset) + ", revision "
        + std::to_string(report.newestRevision) + ": in force on " + std::to_string(reached - report.behind)
        + " of " + std::to_string(report.answers.size()) + " nodes asked, " + std::to_string(report.behind)
        + " behind, " + std::to_string(report.unreached) + " unreached\n\n" + formatTextTable(rows);
    if (!report.problems.empty())
        out += '\n';
    for (const auto& problem : report.problems)
        out += problem.subject + ": " + problem.sentence + '\n';
    return out;
}

std::string formatFleetReportAsJson(const fleet_report& report)
{
    auto nodes = json::array();
    for (const auto& answer : report.answers) {
        json node { { "address", formatAddress(answer.node) }, { "reached", answer.status.has_value() } };
        if (answer.status)
            node["status"] = json::parse(formatNodeStatus(*answer.status));
        else
            node["failure"] = answer.failure;
        nodes.push_back(node);
    }
    auto problems = json::array();
    for (const auto& problem : report.problems)
        problems.push_back({ { "subject", problem.subject }, { "sentence", problem.sentence } });
    const json whole { { "preset", report.preset }, { "newest_revision", report.newestRevision },
        { "behind", report.behind }, { "unreached", report.unreached }, { "problems", problems },
        { "nodes", nodes } };
    return whole.dump(-1, ' ', false, json::error_handler_t::replace);
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
