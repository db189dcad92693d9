#include "client/command_line.h"

#include "client/completion.h"
#include "client/document_commands.h"
#include "client/exit_code.h"
#include "client/explain_request.h"
#include "client/node_commands.h"
#include "client/node_list.h"
#include "client/place_command.h"
#include "core/version.h"

#include <CLI/CLI.hpp>

namespace fuchsiagauge {
namespace {

    constexpr char programName[] = "fuchsiagauge";
    constexpr char footer[]
        = "Exit codes: 0 success; 1 problem found (refused document, difference, node behind, unknown "
          "outcome of an order, unknown name or request); 2 usage error or unreadable file; 3 a node "
          "did not answer; 4 a node's response can't be read.";

    /// Values of the command-line arguments, and the selected command.
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
        std::string firstPositional;
        std::string secondPositional;
        place_request place; ///< Arguments of `place`.
        std::vector<std::string> remainingPositionals; ///< Positional arguments after the first.
        bool needsNodes = false; ///< Whether the selected command sends requests to nodes.
        command_handler run; ///< Runs the selected command and returns its exit code.

        refresh_options getRefreshOptions() const { return { milliseconds(intervalMs), count }; }
    };

    /// Adds a command. When the command line selects it, its handler is stored in `arguments`.
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
        command
            ->add_option("--interval-ms", arguments.intervalMs, "Interval between refreshes, in milliseconds")
            ->check(CLI::Range(1.0, maxIntervalMs));
        command->add_option("--count", arguments.count, "Number of refreshes; 0: until interrupted")
            ->check(CLI::NonNegativeNumber);
    }

    void addGlobalOptions(CLI::App& app, parsed_arguments& arguments)
    {
        constexpr double maxTimeoutMs = 600000;
        app.add_option("--node", arguments.nodeAddresses, "Admin address of a node, ip:port; may be repeated")
            ->allow_extra_args(false);
        app.add_option("--nodes-from", arguments.nodesFile, "File with one address per line");
        app.add_option("--timeout-ms", arguments.timeoutMs, "Timeout of a request to a node, in milliseconds")
            ->check(CLI::Range(1.0, maxTimeoutMs));
        app.add_flag("--json", arguments.isJson, "Print the output as JSON");
        app.set_version_flag("--version", std::string(programName) + ' ' + getVersion());
    }

    void addDocumentCommands(CLI::App& app, parsed_arguments& arguments)
    {
        auto* check = addCommand(app, arguments, "check", "Validate a preset document before it is published",
            false, [&arguments](const auto& environment, const auto& options) {
                return runCheck(environment, options, arguments.firstPositional, arguments.isStrict);
            });
        check->add_option("FILE", arguments.firstPositional, "The preset document")->required();
        check->add_flag("--strict", arguments.isStrict, "Treat warnings as problems");
        auto* diff = addCommand(app, arguments, "diff", "List the differences between two preset documents",
            false, [&arguments](const auto& environment, const auto& options) {
                return runDiff(environment, options, arguments.firstPositional, arguments.secondPositional);
            });
        diff->add_option("BEFORE", arguments.firstPositional, "The published document")->required();
        diff->add_option("AFTER", arguments.secondPositional, "The document to compare with it")->required();
    }

    void addNodeCommands(CLI::App& app, parsed_arguments& arguments)
    {
        addCommand(app, arguments, "status",
            "Show which preset is in force on each node, and which nodes are behind", true,
            [](const auto& environment, const auto& options) { return runStatus(environment, options); });
        auto* top = addCommand(app, arguments, "top",
            "Show the state of the nodes and their request rates, refreshed periodically", true,
            [&arguments](const auto& environment, const auto& options) {
                return runTop(environment, options, arguments.getRefreshOptions());
            });
        addRefreshOptions(top, arguments);
        auto* why = addCommand(app, arguments, "why",
            "Explain why the nodes treat a class, service or instance as they do", true,
            [&arguments](const auto& environment, const auto& options) {
                return runWhy(environment, options, arguments.firstPositional);
            });
        why->add_option("NAME", arguments.firstPositional, "Class, service or instance")->required();
        auto* audit = addCommand(app, arguments, "audit",
            "Show the audit trails of the nodes, merged by time", true,
            [&arguments](const auto& environment, const auto& options) {
                return runAudit(environment, options, arguments.shouldFollow, arguments.getRefreshOptions());
            });
        audit->add_flag("--follow", arguments.shouldFollow, "Keep printing new entries");
        addRefreshOptions(audit, arguments);
        auto* ticket = addCommand(app, arguments, "ticket",
            "Show the outcome of an order; --node takes the address on which a node serves callers", true,
            [&arguments](const auto& environment, const auto& options) {
                return runTicket(environment, options, arguments.firstPositional);
            });
        ticket->add_option("TICKET", arguments.firstPositional, "The order's ticket")->required();
    }

    void addPlaceCommand(CLI::App& app, parsed_arguments& arguments)
    {
        auto* place = addCommand(app, arguments, "place",
            "Show where a mesh node would send a request now; --node takes the address of its metrics", true,
            [&arguments](const auto& environment, const auto& options) {
                return runPlace(environment, options, arguments.place);
            });
        auto& request = arguments.place;
        auto* service = place->add_option("--service", request.service, "Service, instead of host and path");
        auto* host = place->add_option("--host", request.host, "Host of the request");
        auto* path = place->add_option("--path", request.path, "Path of the request");
        host->needs(path)->excludes(service);
        path->needs(host);
        place->add_option("--method", request.method, "Method of the request");
        place->add_option("--size", request.size, "Bytes of the request's body")
            ->check(CLI::NonNegativeNumber);
        place->add_option("--organisation", request.organisation, "Name of the organisation that sends it");
    }

    void addLogCommands(CLI::App& app, parsed_arguments& arguments)
    {
        auto* explain = addCommand(app, arguments, "explain",
            "Show what happened to one request, from the logs of several nodes", false,
            [&arguments](const auto& environment, const auto&) {
                return runExplain(environment, arguments.firstPositional, arguments.remainingPositionals);
            });
        explain->add_option("REQUEST", arguments.firstPositional, "ID of the request, as the client sent it")
            ->required();
        explain->add_option(
            "FILE", arguments.remainingPositionals, "Log files; standard input if none is given");
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
        auto* completion = addCommand(app, arguments, "completion", "Print a shell completion script", false,
            [&arguments, &app](const client_environment& environment, const client_options&) -> int {
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
    CLI::App app(
        "fuchsiagauge: validates preset documents and shows the state of running nodes", programName);
    parsed_arguments arguments;
    app.require_subcommand(1);
    app.footer(footer);
    addGlobalOptions(app, arguments);
    addDocumentCommands(app, arguments);
    addNodeCommands(app, arguments);
    addPlaceCommand(app, arguments);
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
