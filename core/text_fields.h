#pragma once

#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace fuchsiagauge {

/// Splits a text at each separator.
/// @return the fields, which may be empty; at least one. They refer to the memory of `text`.
std::vector<std::string_view> splitFields(std::string_view text, char separator);

/// @return whether `text` consists of exactly `digits` lower-case hexadecimal digits.
bool isHex(std::string_view text, std::size_t digits);

/// @return whether `text` is a valid name: 1 to 64 letters, digits, `_`, `-` or `.`.
bool isValidName(std::string_view text);

/// @param seconds a duration; below 0 it counts as 0.
/// @return the duration in decimal notation, with three decimals.
std::string formatSeconds(double seconds);

/// Parses a decimal integer. The text must contain nothing else.
/// @param text the text to parse.
/// @param minimum smallest accepted value.
/// @param maximum largest accepted value.
/// @param value receives the integer, also if it is out of bounds.
/// @return whether the text is an integer within the bounds.
template <typename Integer>
bool parseInteger(std::string_view text, Integer minimum, Integer maximum, Integer& value)
{
    const auto* textEnd = text.data() + text.size();
    const auto [parsedEnd, errorCode] = std::from_chars(text.data(), textEnd, value);
    return errorCode == std::errc() && parsedEnd == textEnd && value >= minimum && value <= maximum;
}

} // namespace fuchsiagauge
