#include "client/command_line.h"

#include "client/completion.h"
#include "client/document_commands.h"
#include "client/exit_code.h"
#include "client/explain_request.h"
#include "client/node_commands.h"
#include "client/node_list.h"
#include "core/version.h"

#include <CLI/CLI.hpp>

namespace fuchsiagauge {
namespace {

    constexpr char programName[] = "fuchsiagauge";
    constexpr char footer[]
        = "Exit codes: 0 good; 1 problem found (refused document, difference, node behind, "
          "lost ticket); 2 usage or unreadable file; 3 a node did not answer; 4 a node's "
          "answer can't be read.";

    /// The command line's values and the command that was chosen.
    struct parsed_arguments {
        using command_handler = std::function<int(const client_environment&, const client_options&)>;

        std::vector<std::string> nodeAddresses;
        std::string nodesFile;
        double timeoutMs = 2000;
        double intervalMs = 1000;
        int count = 0;
        bool isJson = false;
        bool isStrict = false;
        bool shouldFollow = false;
        std::string firstPositional; ///< First positional argument.
        std::string secondPositional; ///< Second positional argument.
        std::vector<std::string> remainingPositionals; ///< Positional arguments behind the first.
        bool needsNodes = false;
        command_handler run;

        refresh_options getRefreshOptions() const { return { milliseconds(intervalMs), count }; }
    };

    /// Adds a command whose hook is kept when the command is chosen.
    CLI::App* addCommand(CLI::App& app, parsed_arguments& arguments, const char* name, const char* help,
        bool needsNodes, parsed_arguments::command_handler run)
    {
        auto* command = app.add_subcommand(name, help);
        command->fallthrough();
        command->callback([&arguments, needsNodes, run = std::move(run)] {
            arguments.needsNodes = needsNodes;
            arguments.run = run;
        });
        return command;
    }

    void addRefreshOptions(CLI::App* command, parsed_arguments& arguments)
    {
        constexpr double maxIntervalMs = 3600000;
        command->add_option("--interval-ms", arguments.intervalMs, "Pause between refreshes, in milliseconds")
            ->check(CLI::Range(1.0, maxIntervalMs));
        command->add_option("--count", arguments.count, "Number of refreshes; 0: until ended")
            ->check(CLI::NonNegativeNumber);
    }

    void addGlobalOptions(CLI::App& app, parsed_arguments& arguments)
    {
        constexpr double maxTimeoutMs = 600000;
        app.add_option("--node", arguments.nodeAddresses, "Admin address of a node, ip:port; may be repeated")
            ->allow_extra_args(false);
        app.add_option("--nodes-from", arguments.nodesFile, "File with one address a line");
        app.add_option("--timeout-ms", arguments.timeoutMs, "Longest wait for a node, in milliseconds")
            ->check(CLI::Range(1.0, maxTimeoutMs));
        app.add_flag("--json", arguments.isJson, "Print JSON");
        app.set_version_flag("--version", std::string(programName) + ' ' + getVersion());
    }

    void addDocumentCommands(CLI::App& app, parsed_arguments& arguments)
    {
        auto* check = addCommand(app, arguments, "check", "Check a preset document before it is published",
            false, [&arguments](const auto& environment, const auto& options) {
                return runCheck(environment, options, arguments.firstPositional, arguments.isStrict);
            });
        check->add_option("FILE", arguments.firstPositional, "The document")->required();
        check->add_flag("--strict", arguments.isStrict, "A warning counts as a problem");
        auto* diff = addCommand(app, arguments, "diff",
            "Say what would change from one preset document to another", false,
            [&arguments](const auto& environment, const auto& options) {
                return runDiff(environment, options, arguments.firstPositional, arguments.secondPositional);
            });
        diff->add_option("BEFORE", arguments.firstPositional, "The document that is published")->required();
        diff->add_option("AFTER", arguments.secondPositional, "The document that would be published")
            ->required();
    }

    void addNodeCommands(CLI::App& app, parsed_arguments& arguments)
    {
        addCommand(app, arguments, "status",
            "Show which preset is in force where, and which nodes are behind", true,
            [](const auto& environment, const auto& options) { return runStatus(environment, options); });
        auto* top = addCommand(app, arguments, "top", "Show state and rates, refreshing", true,
            [&arguments](const auto& environment, const auto& options) {
                return runTop(environment, options, arguments.getRefreshOptions());
            });
        addRefreshOptions(top, arguments);
        auto* why
            = addCommand(app, arguments, "why", "Say why a class, service or instance is treated as it is",
                true, [&arguments](const auto& environment, const auto& options) {
                    return runWhy(environment, options, arguments.firstPositional);
                });
        why->add_option("NAME", arguments.firstPositional, "Class, service or instance")->required();
        auto* audit = addCommand(app, arguments, "audit", "Show the audit trails, merged by time", true,
            [&arguments](const auto& environment, const auto& options) {
                return runAudit(environment, options, arguments.shouldFollow, arguments.getRefreshOptions());
            });
        audit->add_flag("--follow", arguments.shouldFollow, "Go on with new entries");
        addRefreshOptions(audit, arguments);
        auto* ticket = addCommand(app, arguments, "ticket",
            "Ask what became of an order; --node takes a node's address for callers", true,
            [&arguments](const auto& environment, const auto& options) {
                return runTicket(environment, options, arguments.firstPositional);
            });
        ticket->add_option("TICKET", arguments.firstPositional, "The order's ticket")->required();
    }

    void addLogCommands(CLI::App& app, parsed_arguments& arguments)
    {
        auto* explain = addCommand(app, arguments, "explain",
            "Tell the story of one request from the log lines of several nodes", false,
            [&arguments](const auto& environment, const auto&) {
                return runExplain(environment, arguments.firstPositional, arguments.remainingPositionals);
            });
        explain->add_option("REQUEST", arguments.firstPositional, "Id of the request, as the client sent it")
            ->required();
        explain->add_option(
            "FILE", arguments.remainingPositionals, "Files of log lines; none: standard input");
    }

    completion_entry makeCompletionEntry(const CLI::App& app, bool isProgram)
    {
        completion_entry entry { isProgram ? "" : app.get_name(), app.get_description(), {} };
        for (const auto* option : app.get_options()) {
            for (const auto& name : option->get_lnames())
                entry.options.push_back("--" + name);
        }
        return entry;
    }

    void addCompletionCommand(CLI::App& app, parsed_arguments& arguments)
    {
        auto* completion = addCommand(app, arguments, "completion", "Print a completion script for a shell",
            false, [&arguments, &app](const client_environment& environment, const client_options&) -> int {
                std::vector<completion_entry> commands { makeCompletionEntry(app, true) };
                for (const auto* command : app.get_subcommands([](const CLI::App*) { return true; }))
                    commands.push_back(makeCompletionEntry(*command, false));
                const auto script = formatCompletion(arguments.firstPositional, programName, commands);
                environment.out << script.value_or("");
                return script ? ExitSuccess : ExitUsage;
            });
        completion->add_option("SHELL", arguments.firstPositional, "bash or zsh")
            ->required()
            ->check(CLI::IsMember({ "bash", "zsh" }));
    }

    int runSelectedCommand(const client_environment& environment, const parsed_arguments& arguments)
    {
        client_options options;
        options.isJson = arguments.isJson;
        options.timeout = milliseconds(arguments.timeoutMs);
        if (arguments.needsNodes) {
            const auto nodes = readNodeList(arguments.nodeAddresses, arguments.nodesFile);
            if (!nodes) {
                environment.err << getLastError().detail << '\n';
                return ExitUsage;
            }
            options.nodes = *nodes;
        }
        return arguments.run(environment, options);
    }

} // namespace

int runCommandLine(const client_environment& environment, int argc, const char* const* argv)
{
    CLI::App app("fuchsiagauge: checks presets and shows what the nodes do", programName);
    parsed_arguments arguments;
    app.require_subcommand(1);
    app.footer(footer);
    addGlobalOptions(app, arguments);
    addDocumentCommands(app, arguments);
    addNodeCommands(app, arguments);
    addLogCommands(app, arguments);
    addCompletionCommand(app, arguments);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& parseError) {
        return app.exit(parseError, environment.out, environment.err) == 0 ? ExitSuccess : ExitUsage;
    }
    return runSelectedCommand(environment, arguments);
}

} // namespace fuchsiagauge
