#pragma once

#include "core/address.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Puts together the nodes to ask.
/// @param texts addresses of the command line, `ip:port`.
/// @param fileName file with one address a line; `#` begins a comment; empty: no file.
/// @return the addresses, each once, or nothing with error_kind::BadRequest.
std::optional<std::vector<address>> readNodeList(
    const std::vector<std::string>& addressTexts, const std::string& fileName);

} // namespace fuchsiagauge
