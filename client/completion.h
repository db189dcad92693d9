#pragma once

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// A command and its options, as a shell completion script offers them.
struct completion_entry {
    std::string name; ///< Empty for the program itself.
    std::string help; ///< One sentence.
    std::vector<std::string> options; ///< Long options, with their leading dashes.
};

/// Generates a shell completion script.
/// @param shell `bash` or `zsh`.
/// @param program name of the program.
/// @param commands the entry of the program itself first, then those of its commands.
/// @return the script, or nothing with error_kind::BadRequest if the shell is not supported.
std::optional<std::string> formatCompletion(
    const std::string& shell, const std::string& program, const std::vector<completion_entry>& commands);

} // namespace fuchsiagauge
