#include "core/text_file.h"

#include "core/error.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace fuchsiagauge {

std::optional<std::string> readTextFile(const std::string& path, std::size_t maxBytes)
{
    std::error_code ignored;
    if (std::filesystem::is_directory(path, ignored))
        return fail(error_kind::BadRequest, path + ": a directory; expected a file");
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return fail(
            error_kind::BadRequest, path + ": " + std::strerror(errno) + "; expected a readable file");
    std::string text(maxBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad())
        return fail(error_kind::BadRequest, path + ": can't be read; expected a readable file");
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxBytes)
        return fail(error_kind::BadRequest,
            path + ": larger than " + std::to_string(maxBytes) + " bytes; expected a smaller file");
    return text;
}

} // namespace fuchsiagauge
