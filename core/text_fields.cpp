#include "core/text_fields.h"

#include <algorithm>
#include <cmath>

namespace fuchsiagauge {

std::vector<std::string_view> splitFields(std::string_view text, char separator)
{
    std::vector<std::string_view> fields;
    std::size_t begin = 0;
    while (true) {
        const auto end = text.find(separator, begin);
        if (end == std::string_view::npos) {
            fields.push_back(text.substr(begin));
            return fields;
        }
        fields.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
}

bool isHex(std::string_view text, std::size_t digits)
{
    return text.size() == digits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isValidName(std::string_view text)
{
    constexpr std::size_t maxNameBytes = 64;
    constexpr char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.";
    return !text.empty() && text.size() <= maxNameBytes
        && text.find_first_not_of(allowed) == std::string_view::npos;
}

std::string formatSeconds(double seconds)
{
    constexpr double millisecondsPerSecond = 1000;
    constexpr std::size_t decimals = 3;
    auto digits = std::to_string(std::llround(std::max(seconds, 0.0) * millisecondsPerSecond));
    if (digits.size() <= decimals)
        digits.insert(0, decimals + 1 - digits.size(), '0');
    return digits.insert(digits.size() - decimals, 1, '.');
}

} // namespace fuchsiagauge
