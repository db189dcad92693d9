#pragma once

#include <string>

namespace fuchsiagauge {

/// Runs the node beside one instance on the users' platform until it is told to stop.
/// @param fileName the settings file; read again on SIGHUP and when it changes.
/// @return the process's exit code.
int runMeshNode(const std::string& fileName);

/// Checks a settings file and says what is wrong.
/// @return the process's exit code.
int checkMeshSettings(const std::string& fileName);

} // namespace fuchsiagauge
