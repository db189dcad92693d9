#pragma once

#include <charconv>
#include <cstddef>
#include <string_view>
#include <system_error>
#include <vector>

namespace fuchsiagauge {

/// @return the parts of `text` between separators; at least one.
std::vector<std::string_view> splitFields(std::string_view text, char separator);

/// @return whether `text` is that many lower-case hexadecimal digits.
bool isHex(std::string_view text, std::size_t digits);

/// @return whether `text` is a name: 1 to 64 letters, digits, `_`, `-` or `.`.
bool isValidName(std::string_view text);

/// Reads a decimal integer that fills the whole text.
/// @param text the digits.
/// @param minimum smallest accepted value.
/// @param maximum largest accepted value.
/// @param value receives the integer.
/// @return whether the text is an integer within the bounds.
template <typename Integer>
bool parseInteger(std::string_view text, Integer minimum, Integer maximum, Integer& value)
{
    const auto* textEnd = text.data() + text.size();
    const auto [parsedEnd, errorCode] = std::from_chars(text.data(), textEnd, value);
    return errorCode == std::errc() && parsedEnd == textEnd && value >= minimum && value <= maximum;
}

} // namespace fuchsiagauge
