#pragma once

#include "client/client_environment.h"

namespace fuchsiagauge {

/// Reads the command line and runs the command that it names.
/// @param world where to read from and write to.
/// @return the exit code.
int runCommandLine(const client_environment& environment, int argc, const char* const* argv);

} // namespace fuchsiagauge
