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
    struct command_line {
        using command_hook = std::function<int(const client_environment&, const client_options&)>;

        std::vector<std::string> nodeTexts;
        std::string nodesFile;
        double timeoutMs = 2000;
        double intervalMs = 1000;
        int count = 0;
        bool isJson = false;
        bool isStrict = false;
        bool isFollow = false;
        std::string first; ///< First positional argument.
        std::string second; ///< Second positional argument.
        std::vector<std::string> files; ///< Positional arguments behind the first.
        bool needsNodes = false;
        command_hook run;

        refresh_options getRefresh() const { return { milliseconds(intervalMs), count }; }
    };

    /// Adds a command whose hook is kept when the command is chosen.
    CLI::App* addCommand(CLI::App& app, command_line& line, const char* name, const char* help,
        bool needsNodes, command_line::command_hook run)
    {
        auto* command = app.add_subcommand(name, help);
        command->fallthrough();
        command->callback([&line, needsNodes, run = std::move(run)] {
            line.needsNodes = needsNodes;
            line.run = run;
        });
        return command;
    }

    void addRefreshOptions(CLI::App* command, command_line& line)
    {
        constexpr double maxIntervalMs = 3600000;
        command->add_option("--interval-ms", line.intervalMs, "Pause between refreshes, in milliseconds")
            ->check(CLI::Range(1.0, maxIntervalMs));
        command->add_option("--count", line.count, "Number of refreshes; 0: until ended")
            ->check(CLI::NonNegativeNumber);
    }

    void addGlobalOptions(CLI::App& app, command_line& line)
    {
        constexpr double maxTimeoutMs = 600000;
        app.add_option("--node", line.nodeTexts, "Admin address of a node, ip:port; may be repeated")
            ->allow_extra_args(false);
        app.add_option("--nodes-from", line.nodesFile, "File with one address a line");
        app.add_option("--timeout-ms", line.timeoutMs, "Longest wait for a node, in milliseconds")
            ->check(CLI::Range(1.0, maxTimeoutMs));
        app.add_flag("--json", line.isJson, "Print JSON");
        app.set_version_flag("--version", std::string(programName) + ' ' + getVersion());
    }

    void addDocumentCommands(CLI::App& app, command_line& line)
    {
        auto* check = addCommand(app, line, "check", "Check a preset document before it is published", false,
            [&line](const auto& world, const auto& options) {
                return runCheck(world, options, line.first, line.isStrict);
            });
        check->add_option("FILE", line.first, "The document")->required();
        check->add_flag("--strict", line.isStrict, "A warning counts as a problem");
        auto* diff
            = addCommand(app, line, "diff", "Say what would change from one preset document to another",
                false, [&line](const auto& world, const auto& options) {
                    return runDiff(world, options, line.first, line.second);
                });
        diff->add_option("BEFORE", line.first, "The document that is published")->required();
        diff->add_option("AFTER", line.second, "The document that would be published")->required();
    }

    void addNodeCommands(CLI::App& app, command_line& line)
    {
        addCommand(app, line, "status", "Show which preset is in force where, and which nodes are behind",
            true, [](const auto& world, const auto& options) { return runStatus(world, options); });
        auto* top = addCommand(app, line, "top", "Show state and rates, refreshing", true,
            [&line](const auto& world, const auto& options) {
                return runTop(world, options, line.getRefresh());
            });
        addRefreshOptions(top, line);
        auto* why = addCommand(app, line, "why", "Say why a class, service or instance is treated as it is",
            true,
            [&line](const auto& world, const auto& options) { return runWhy(world, options, line.first); });
        why->add_option("NAME", line.first, "Class, service or instance")->required();
        auto* audit = addCommand(app, line, "audit", "Show the audit trails, merged by time", true,
            [&line](const auto& world, const auto& options) {
                return runAudit(world, options, line.isFollow, line.getRefresh());
            });
        audit->add_flag("--follow", line.isFollow, "Go on with new entries");
        addRefreshOptions(audit, line);
        auto* ticket = addCommand(app, line, "ticket",
            "Ask what became of an order; --node takes a node's address for callers", true,
            [&line](
                const auto& world, const auto& options) { return runTicket(world, options, line.first); });
        ticket->add_option("TICKET", line.first, "The order's ticket")->required();
    }

    void addLogCommands(CLI::App& app, command_line& line)
    {
        auto* explain = addCommand(app, line, "explain",
            "Tell the story of one request from the log lines of several nodes", false,
            [&line](const auto& world, const auto&) { return runExplain(world, line.first, line.files); });
        explain->add_option("REQUEST", line.first, "Id of the request, as the client sent it")->required();
        explain->add_option("FILE", line.files, "Files of log lines; none: standard input");
    }

    command_words getWords(const CLI::App& app, bool isProgram)
    {
        command_words words { isProgram ? "" : app.get_name(), app.get_description(), {} };
        for (const auto* option : app.get_options()) {
            for (const auto& name : option->get_lnames())
                words.options.push_back("--" + name);
        }
        return words;
    }

    void addCompletionCommand(CLI::App& app, command_line& line)
    {
        auto* completion = addCommand(app, line, "completion", "Print a completion script for a shell", false,
            [&line, &app](const client_environment& world, const client_options&) -> int {
                std::vector<command_words> commands { getWords(app, true) };
                for (const auto* command : app.get_subcommands([](const CLI::App*) { return true; }))
                    commands.push_back(getWords(*command, false));
                const auto script = formatCompletion(line.first, programName, commands);
                world.out << script.value_or("");
                return script ? ExitGood : ExitUsage;
            });
        completion->add_option("SHELL", line.first, "bash or zsh")
            ->required()
            ->check(CLI::IsMember({ "bash", "zsh" }));
    }

    int run(const client_environment& world, const command_line& line)
    {
        client_options options;
        options.isJson = line.isJson;
        options.timeout = milliseconds(line.timeoutMs);
        if (line.needsNodes) {
            const auto nodes = readNodeList(line.nodeTexts, line.nodesFile);
            if (!nodes) {
                world.err << getLastError().detail << '\n';
                return ExitUsage;
            }
            options.nodes = *nodes;
        }
        return line.run(world, options);
    }

} // namespace

int runCommandLine(const client_environment& world, int argc, const char* const* argv)
{
    CLI::App app("fuchsiagauge: checks presets and shows what the nodes do", programName);
    command_line line;
    app.require_subcommand(1);
    app.footer(footer);
    addGlobalOptions(app, line);
    addDocumentCommands(app, line);
    addNodeCommands(app, line);
    addLogCommands(app, line);
    addCompletionCommand(app, line);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& stop) {
        return app.exit(stop, world.out, world.err) == 0 ? ExitGood : ExitUsage;
    }
    return run(world, line);
}

} // namespace fuchsiagauge
