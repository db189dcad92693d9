#pragma once

#include "core/address.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Combines the node addresses of the command line and of a file.
/// @param addressTexts addresses given on the command line, `ip:port`.
/// @param fileName file with one address per line, where `#` begins a comment; empty for no file.
/// @return the addresses without duplicates, or nothing with error_kind::BadRequest.
std::optional<std::vector<address>> readNodeList(
    const std::vector<std::string>& addressTexts, const std::string& fileName);

} // namespace fuchsiagauge
