#include "core/fill_hint.h"

#include "core/error.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace fuchsiagauge {
namespace {

    constexpr int maxNumber = 1000000000;

    std::optional<int> parseWhole(std::string_view text)
    {
        int value = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        const bool isValid
            = code == std::errc() && end == text.data() + text.size() && value >= 0 && value <= maxNumber;
        return isValid ? std::optional(value) : std::nullopt;
    }

} // namespace

std::string formatFillHint(const fill_hint& hint)
{
    const double usualMs = std::clamp<double>(hint.usualTime.getCount(), 0, maxNumber);
    return std::to_string(std::lround(std::ceil(usualMs))) + ' '
        + std::to_string(static_cast<int>(hint.others));
}

std::optional<fill_hint> parseFillHint(const std::string* value)
{
    if (!value)
        return std::nullopt;
    const std::string_view text = *value;
    const auto space = text.find(' ');
    const auto usualMs = parseWhole(text.substr(0, space));
    const auto others = space == std::string_view::npos ? std::nullopt : parseWhole(text.substr(space + 1));
    if (!usualMs || !others || *others > static_cast<int>(other_instances::Free))
        return fail(error_kind::BadPeerMessage, "not a fill hint: " + *value);
    return fill_hint { milliseconds(*usualMs), static_cast<other_instances>(*others) };
}

int parseFullSlots(const std::string* value) { return value ? parseWhole(*value).value_or(0) : 0; }

} // namespace fuchsiagauge
