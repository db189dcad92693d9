#pragma once

namespace fuchsiagauge {

/// Exit codes of fuchsiagauged; those of the command-line client are in client/exit_code.h.
constexpr int invalidSettingsExitCode = 2;
constexpr int startFailedExitCode = 3;

} // namespace fuchsiagauge
