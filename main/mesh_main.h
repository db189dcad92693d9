#pragma once

#include <string>

namespace fuchsiagauge {

/// Runs the mesh node of one service instance of the platform until SIGTERM or SIGINT stops it.
/// @param fileName the settings file; reloaded on SIGHUP and when it changes.
/// @return the exit code of the process.
int runMeshNode(const std::string& fileName);

/// Validates a settings file and prints the result; errors go to the standard error stream.
/// @param fileName the settings file.
/// @return the exit code of the process.
int checkMeshSettings(const std::string& fileName);

} // namespace fuchsiagauge
