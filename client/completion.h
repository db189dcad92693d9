#pragma once

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// One command of a program, for the shells' completion.
struct completion_entry {
    std::string name; ///< Empty: the program itself.
    std::string help; ///< One sentence.
    std::vector<std::string> options; ///< With their dashes.
};

/// Writes a completion script.
/// @param shell `bash` or `zsh`.
/// @param program name of the program.
/// @param commands the program's own options first, then its commands.
/// @return the script, or nothing with error_kind::BadRequest for another shell.
std::optional<std::string> formatCompletion(
    const std::string& shell, const std::string& program, const std::vector<completion_entry>& commands);

} // namespace fuchsiagauge
