#include "bench/experiment_run.h"
#include "bench/latency_probe.h"
#include "core/error.h"
#include "core/text_file.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

namespace fuchsiagauge::bench {
namespace {

    constexpr std::size_t maxExperimentBytes = 16 << 20;
    constexpr int exitSuccess = 0;
    constexpr int exitInvalidInput = 2;
    constexpr int exitWrongResponses = 3;

    struct run_options {
        std::string experimentFile;
        std::string reportFile;
        std::string recordFile;
        double durationS = 0; ///< 0: use the value in the file.
        std::uint64_t seed = 0; ///< 0: use the value in the file.
        bool isQuiet = false;
    };

    struct latency_options {
        std::string direct;
        std::string via;
        std::string reportFile;
        latency_plan plan;
    };

    void writeFile(const std::string& name, const std::string& text)
    {
        if (name.empty())
            return;
        std::ofstream file(name);
        file << text;
        if (!file)
            throw std::runtime_error("can't write " + name);
    }

    int reportError(const std::string& context)
    {
        std::cerr << "fuchsiagauge-load: " << context << ": " << getLastError().detail << '\n';
        return exitInvalidInput;
    }

    int runExperimentFile(const run_options& options)
    {
        const auto text = readTextFile(options.experimentFile, maxExperimentBytes);
        if (!text)
            return reportError("run");
        auto plan = parseExperiment(*text);
        if (!plan)
            return reportError(options.experimentFile);
        if (options.durationS > 0)
            plan->durationS = options.durationS;
        if (options.seed > 0)
            plan->seed = options.seed;
        std::ofstream records;
        run_hooks hooks;
        if (!options.recordFile.empty()) {
            records.open(options.recordFile);
            hooks.recordRequest
                = [&](const request_record& record) { records << formatRecord(record) << '\n'; };
        }
        if (!options.isQuiet)
            hooks.showProgress = [](const std::string& line) { std::cerr << line << '\n'; };
        const auto report = runExperiment(*plan, hooks);
        writeFile(options.reportFile, formatReportJson(report));
        std::cout << formatReportTable(report);
        return report.groups.back().getCount(request_verdict::Wrong) == 0 ? exitSuccess : exitWrongResponses;
    }

    int compareLatency(const latency_options& options)
    {
        auto plan = options.plan;
        const auto direct = parseAddress(options.direct);
        if (!direct)
            return reportError("--direct");
        const auto via = parseAddress(options.via);
        if (!via)
            return reportError("--via");
        plan.direct = *direct;
        plan.via = *via;
        const auto comparison = measureLatency(plan);
        writeFile(options.reportFile, formatLatencyJson(comparison));
        std::cout << formatLatencyTable(comparison);
        return comparison.failures == 0 ? exitSuccess : exitWrongResponses;
    }

    CLI::App* addRunCommand(CLI::App& app, run_options& options)
    {
        auto* command = app.add_subcommand("run", "Runs the experiment described in a file.");
        command->add_option("experiment", options.experimentFile, "experiment file (JSON with comments)")
            ->required();
        command->add_option("--report", options.reportFile, "file for the report in JSON");
        command->add_option("--record", options.recordFile, "file for one JSON line per request");
        command->add_option(
            "--duration", options.durationS, "duration in seconds; overrides the experiment file");
        command->add_option("--seed", options.seed, "seed; overrides the experiment file");
        command->add_flag("--quiet", options.isQuiet, "don't show progress");
        return command;
    }

    CLI::App* addLatencyCommand(CLI::App& app, latency_options& options)
    {
        auto* command = app.add_subcommand("latency",
            "Compares the latency of a call sent directly to a target and through nodes, in one run.");
        command->add_option("--direct", options.direct, "address (ip:port) of the target")->required();
        command->add_option("--via", options.via, "address (ip:port) of the node")->required();
        command->add_option("--service", options.plan.service,
            "service to call; --via is then an egress address and calls pass two nodes");
        command->add_option("--path", options.plan.path, "path of the call");
        command->add_option("--rate", options.plan.ratePerS, "calls per second on each path");
        command->add_option("--seconds", options.plan.durationS, "measured time in seconds");
        command->add_option("--seed", options.plan.seed, "seed for the arrival times");
        command->add_option("--report", options.reportFile, "file for the report in JSON");
        return command;
    }

    int runTool(int argc, char** argv)
    {
        CLI::App app { "Load generator and latency probe of fuchsiagauge.\n"
                       "Exit codes: 0 success, 2 invalid input, 3 wrong responses (latency: failed calls), "
                       "1 other errors." };
        app.require_subcommand(1);
        run_options runOptions;
        latency_options latencyOptions;
        const auto* runCommand = addRunCommand(app, runOptions);
        addLatencyCommand(app, latencyOptions);
        CLI11_PARSE(app, argc, argv);
        return runCommand->parsed() ? runExperimentFile(runOptions) : compareLatency(latencyOptions);
    }

} // namespace
} // namespace fuchsiagauge::bench

int main(int argc, char** argv)
{
    try {
        return fuchsiagauge::bench::runTool(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "fuchsiagauge-load: " << error.what() << '\n';
        return 1;
    }
}
