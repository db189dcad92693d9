#pragma once

#include "client/client_environment.h"

#include <string>

namespace fuchsiagauge {

/// Checks a preset document: prints every fault and warning.
/// @param fileName the document.
/// @param isStrict whether a warning counts as a problem.
/// @return the exit code.
int runCheck(const client_environment& environment, const client_options& options,
    const std::string& fileName, bool isStrict);

/// Prints what would change if one preset document took another's place.
/// @param before the document that is published.
/// @param after the document that would be published.
/// @return the exit code: ExitProblemFound when they differ.
int runDiff(const client_environment& environment, const client_options& options,
    const std::string& beforeFileName, const std::string& afterFileName);

} // namespace fuchsiagauge
