#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// Reads a whole file into memory.
/// @param path path of the file; a directory is refused.
/// @param maxBytes maximum size of the file, in bytes.
/// @return the content, or nothing with error_kind::BadRequest; the detail names the file.
std::optional<std::string> readTextFile(const std::string& path, std::size_t maxBytes);

} // namespace fuchsiagauge
