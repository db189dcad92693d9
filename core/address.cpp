#include "core/address.h"

#include "core/error.h"

#include <charconv>

namespace fuchsiagauge {

std::optional<address> parseAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return fail(error_kind::BadSettings, "expected `ip:port`, got `" + text + "`");
    address value;
    value.host = text.substr(0, colon);
    const auto* begin = text.data() + colon + 1;
    const auto* end = text.data() + text.size();
    const auto [parsedEnd, errorCode] = std::from_chars(begin, end, value.port);
    if (errorCode != std::errc() || parsedEnd != end || begin == end)
        return fail(error_kind::BadSettings, "expected a port from 0 to 65535 in `" + text + "`");
    return value;
}

std::string formatAddress(const address& value) { return value.host + ':' + std::to_string(value.port); }

} // namespace fuchsiagauge
