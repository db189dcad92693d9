#pragma once

#include "client/client_environment.h"

#include <string>

namespace fuchsiagauge {

/// Validates a preset document and prints every fault and warning.
/// @param fileName file that contains the document.
/// @param isStrict whether a warning counts as a problem.
/// @return the exit code: ExitProblemFound when the document is refused.
int runCheck(const client_environment& environment, const client_options& options,
    const std::string& fileName, bool isStrict);

/// Prints the differences between two preset documents.
/// @param beforeFileName file with the published document.
/// @param afterFileName file with the document that would replace it.
/// @return the exit code: ExitProblemFound when they differ.
int runDiff(const client_environment& environment, const client_options& options,
    const std::string& beforeFileName, const std::string& afterFileName);

} // namespace fuchsiagauge
