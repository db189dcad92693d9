#pragma once

namespace fuchsiagauge {

constexpr int invalidSettingsExitCode = 2;
constexpr int startFailedExitCode = 3;

} // namespace fuchsiagauge
