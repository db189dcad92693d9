#pragma once

namespace fuchsiagauge {

/// @return the library version as `major.minor.patch`.
const char* getVersion();

} // namespace fuchsiagauge
