#include "bench/run_checker.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace fuchsiagauge::bench {
namespace {

    constexpr int exitViolations = 1;
    constexpr int exitUnreadable = 2;

    struct check_options {
        std::vector<std::string> recordFiles;
        std::vector<std::string> journalFiles;
        std::vector<std::string> faultFiles;
        std::vector<std::string> auditFiles;
        run_bounds bounds;
        std::size_t maxListedViolations = 10;
        bool isJson = false;
    };

    void addOptions(CLI::App& app, check_options& options)
    {
        app.add_option("--record", options.recordFiles, "record files written by fuchsiagauge-load")
            ->required();
        app.add_option("--journal", options.journalFiles, "journal files of the targets");
        app.add_option("--faults", options.faultFiles, "files that list the injected faults");
        app.add_option("--audit", options.auditFiles, "files with the audit trails of the nodes");
        app.add_option("--retries", options.bounds.retriesPerRequest, "retries allowed for one request");
        app.add_option("--leaving-ms", options.bounds.leavingGraceMs,
            "time in ms after which a leaving target must get no new work");
        app.add_option("--shed-window-ms", options.bounds.shedWindowMs,
            "length in ms of the windows in which the served shares of the groups are compared");
        app.add_option(
            "--sheddable", options.bounds.sheddableGroup, "caller group whose requests are shed first");
        app.add_option("--show", options.maxListedViolations, "maximum number of violations listed");
        app.add_flag("--json", options.isJson, "print the result as one JSON object");
    }

    using records_reader = void (*)(std::istream&, run_records&);

    bool readFiles(const std::vector<std::string>& names, records_reader read, run_records& records)
    {
        for (const auto& name : names) {
            std::ifstream file(name);
            if (!file) {
                std::cerr << "fuchsiagauge-check-run: can't read " << name << '\n';
                return false;
            }
            read(file, records);
        }
        return true;
    }

    bool readInputFiles(const check_options& options, run_records& records)
    {
        return readFiles(options.recordFiles, readCallerRecords, records)
            && readFiles(options.journalFiles, readJournal, records)
            && readFiles(options.faultFiles, readFaults, records)
            && readFiles(options.auditFiles, readAudit, records);
    }

    double getUnknownShare(const run_report& report)
    {
        return report.requests == 0 ? 0 : static_cast<double>(report.unknown) / report.requests;
    }

    void printJson(const run_report& report, int unreadableLines)
    {
        nlohmann::json violations = nlohmann::json::object();
        for (const auto kind : getInvariants())
            violations[getInvariantName(kind)] = report.count(kind);
        nlohmann::json examples = nlohmann::json::array();
        for (const auto& found : report.violations)
            examples.push_back({ { "invariant", getInvariantName(found.violated) },
                { "subject", found.subject }, { "detail", found.detail } });
        const nlohmann::json summary {
            { "requests", report.requests },
            { "orders", report.orders },
            { "whole", report.validResponses },
            { "answered", report.answered },
            { "not_run", report.notRun },
            { "unknown", report.unknown },
            { "unknown_share", getUnknownShare(report) },
            { "runs", report.executions },
            { "most_attempts", report.largestAttemptCount },
            { "faults", report.faultsByKind },
            { "unreadable_lines", unreadableLines },
            { "violations", violations },
            { "examples", examples },
        };
        std::cout << summary.dump(2) << '\n';
    }

    void printText(const run_report& report, int unreadableLines, std::size_t maxListedViolations)
    {
        std::cout << "requests " << report.requests << ", orders " << report.orders << ", whole "
                  << report.validResponses << ", answered " << report.answered << ", not-run "
                  << report.notRun << ", unknown " << report.unknown << " (share " << getUnknownShare(report)
                  << "), runs at targets " << report.executions << ", most attempts for one request "
                  << report.largestAttemptCount << '\n';
        for (const auto& [kind, count] : report.faultsByKind)
            std::cout << "fault " << kind << ": " << count << '\n';
        if (unreadableLines > 0)
            std::cout << "unreadable lines: " << unreadableLines << '\n';
        for (const auto kind : getInvariants())
            std::cout << getInvariantName(kind) << ": " << report.count(kind) << " violations\n";
        for (std::size_t i = 0; i < std::min(maxListedViolations, report.violations.size()); ++i) {
            const auto& found = report.violations[i];
            std::cout << "  " << getInvariantName(found.violated) << ' ' << found.subject << ": "
                      << found.detail << '\n';
        }
    }

    int run(const check_options& options)
    {
        run_records records;
        if (!readInputFiles(options, records))
            return exitUnreadable;
        const auto report = checkRun(records, options.bounds);
        if (options.isJson)
            printJson(report, records.unreadableLines);
        else
            printText(report, records.unreadableLines, options.maxListedViolations);
        if (!report.violations.empty())
            return exitViolations;
        return records.unreadableLines > 0 ? exitUnreadable : 0;
    }

} // namespace
} // namespace fuchsiagauge::bench

int main(int argc, char** argv)
{
    CLI::App app { "Checks the records of a run against the invariants. Exit code 0: all invariants hold; "
                   "1: violations; 2: a file or a line can't be read." };
    fuchsiagauge::bench::check_options options;
    fuchsiagauge::bench::addOptions(app, options);
    CLI11_PARSE(app, argc, argv);
    return fuchsiagauge::bench::run(options);
}
