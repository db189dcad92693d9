#include "core/version.h"

namespace fuchsiagauge {

const char* getVersion() { return FUCHSIAGAUGE_VERSION; }

} // namespace fuchsiagauge
