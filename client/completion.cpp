#include "client/completion.h"

#include "core/error.h"

namespace fuchsiagauge {
namespace {

    std::string join(const std::vector<std::string>& words)
    {
        std::string text;
        for (const auto& word : words)
            text += (text.empty() ? "" : " ") + word;
        return text;
    }

    std::string joinCommandNames(const std::vector<completion_entry>& commands)
    {
        std::vector<std::string> names;
        for (const auto& command : commands) {
            if (!command.name.empty())
                names.push_back(command.name);
        }
        return join(names);
    }

    std::string joinGlobalOptions(const std::vector<completion_entry>& commands)
    {
        return commands.empty() ? std::string() : join(commands.front().options);
    }

    std::string formatBashScript(const std::string& program, const std::vector<completion_entry>& commands)
    {
        std::string script = "_" + program + "()\n{\n"
            + "    local word=${COMP_WORDS[COMP_CWORD]} command= i\n"
            + "    for ((i = 1; i < COMP_CWORD; i++)); do\n"
            + "        case ${COMP_WORDS[i]} in -*) ;; *) command=${COMP_WORDS[i]}; break ;; esac\n"
            + "    done\n    local words=\"" + joinGlobalOptions(commands) + "\"\n    case $command in\n";
        script += "    \"\") words=\"$words " + joinCommandNames(commands) + "\" ;;\n";
        for (const auto& command : commands) {
            if (!command.name.empty())
                script += "    " + command.name + ") words=\"$words " + join(command.options) + "\" ;;\n";
        }
        return script + "    esac\n    COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n}\n"
            + "complete -o default -F _" + program + ' ' + program + '\n';
    }

    /// @return a help text without the characters that have a meaning in zsh descriptions.
    std::string stripZshSyntax(const std::string& help)
    {
        std::string text;
        for (const char character : help) {
            if (character != '\'' && character != ':' && character != '[' && character != ']')
                text += character;
        }
        return text;
    }

    std::string formatZshScript(const std::string& program, const std::vector<completion_entry>& commands)
    {
        std::string script
            = "#compdef " + program + "\n_" + program + "()\n{\n    local -a commands\n" + "    commands=(\n";
        for (const auto& command : commands) {
            if (!command.name.empty())
                script += "        '" + command.name + ':' + stripZshSyntax(command.help) + "'\n";
        }
        script += "    )\n    local -a options\n    options=(" + joinGlobalOptions(commands)
            + ")\n    if ((CURRENT == 2)); then\n        _describe command commands\n"
            + "        compadd -- $options\n        return\n    fi\n    case ${words[2]} in\n";
        for (const auto& command : commands) {
            if (!command.name.empty())
                script += "    " + command.name + ") options+=(" + join(command.options) + ") ;;\n";
        }
        return script + "    esac\n    compadd -- $options\n    _files\n}\ncompdef _" + program + ' '
            + program + '\n';
    }

} // namespace

std::optional<std::string> formatCompletion(
    const std::string& shell, const std::string& program, const std::vector<completion_entry>& commands)
{
    if (shell == "bash")
        return formatBashScript(program, commands);
    if (shell == "zsh")
        return formatZshScript(program, commands);
    return fail(error_kind::BadRequest, "got `" + shell + "`; expected bash or zsh");
}

} // namespace fuchsiagauge
