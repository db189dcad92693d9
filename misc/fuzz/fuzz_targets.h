#pragma once

#include <string>
#include <vector>

namespace fuchsiagauge {

/// A parser of untrusted input that is fuzzed with arbitrary bytes.
struct fuzz_target {
    const char* name; ///< Also the name of its corpus directory in tests/corpus.
    void (*run)(const std::string& input); ///< Aborts the program if a property is violated.
};

/// @return all fuzz targets.
const std::vector<fuzz_target>& getFuzzTargets();

} // namespace fuchsiagauge
