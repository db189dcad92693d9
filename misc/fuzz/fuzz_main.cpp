#include "misc/fuzz/fuzz_targets.h"

#include <cstddef>
#include <cstdint>
#include <cstring>

#ifndef FUCHSIAGAUGE_FUZZ_TARGET
#define FUCHSIAGAUGE_FUZZ_TARGET "preset_document"
#endif

/// Entry point with the name that libFuzzer requires; runs the fuzz target named by FUCHSIAGAUGE_FUZZ_TARGET.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes, std::size_t count)
{
    const std::string input(reinterpret_cast<const char*>(bytes), count);
    for (const auto& target : fuchsiagauge::getFuzzTargets()) {
        if (std::strcmp(target.name, FUCHSIAGAUGE_FUZZ_TARGET) == 0)
            target.run(input);
    }
    return 0;
}
