#include "node/id_generator.h"

#include <array>
#include <functional>

namespace fuchsiagauge {
namespace {

    std::string formatHex(std::uint64_t value)
    {
        constexpr char digits[] = "0123456789abcdef";
        constexpr int digitCount = 16;
        std::string text(digitCount, '0');
        for (int i = digitCount - 1; i >= 0; --i) {
            text[static_cast<std::size_t>(i)] = digits[value & 15U];
            value >>= 4U;
        }
        return text;
    }

    std::mt19937_64 makeGenerator()
    {
        std::random_device device;
        std::array<std::random_device::result_type, 8> words {};
        for (auto& word : words)
            word = device();
        std::seed_seq seed(words.begin(), words.end());
        return std::mt19937_64(seed);
    }

} // namespace

id_generator::id_generator()
    : m_generator(makeGenerator())
{
}

std::string id_generator::makeRequestId()
{
    const auto high = formatHex(m_generator());
    return high + formatHex(m_generator());
}

std::string id_generator::makeAttemptId() { return formatHex(m_generator()); }

double id_generator::makeRandomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(m_generator);
}

} // namespace fuchsiagauge
