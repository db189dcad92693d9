#include "core/text_fields.h"

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

} // namespace fuchsiagauge
