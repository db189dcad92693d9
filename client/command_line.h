#pragma once

#include "client/client_environment.h"

namespace fuchsiagauge {

/// Parses the command line and runs the selected command.
/// @param environment network access, time and output streams of the command.
/// @return the exit code.
int runCommandLine(const client_environment& environment, int argc, const char* const* argv);

} // namespace fuchsiagauge
