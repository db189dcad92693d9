#pragma once

namespace fuchsiagauge {

constexpr int badSettingsExitCode = 2;
constexpr int startFailedExitCode = 3;

} // namespace fuchsiagauge
