#include "misc/fuzz/fuzz_targets.h"

#include "core/text_file.h"

#include <algorithm>
#include <filesystem>

#include <CppUTest/TestHarness.h> // Must come last, since it redefines `new`.

using namespace fuchsiagauge;

TEST_GROUP(corpus) {};

TEST(corpus, satisfiesPropertiesForEveryInput)
{
    constexpr std::size_t maxInputBytes = 2097152;
    for (const auto& target : getFuzzTargets()) {
        const auto folder = std::filesystem::path(FUCHSIAGAUGE_SOURCE_DIR "/tests/corpus") / target.name;
        int inputCount = 0;
        for (const auto& entry : std::filesystem::directory_iterator(folder)) {
            const auto input = readTextFile(entry.path().string(), maxInputBytes);
            CHECK_TEXT(input.has_value(), entry.path().c_str());
            target.run(*input);
            ++inputCount;
        }
        CHECK_TEXT(inputCount > 0, target.name);
    }
}
