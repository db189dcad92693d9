#include "client/node_list.h"

#include "core/error.h"
#include "core/text_file.h"

#include <algorithm>
#include <sstream>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t maxNodeListBytes = 1048576;

    /// @return the line without its comment and without leading and trailing white space.
    std::string trimLine(const std::string& line)
    {
        const auto text = line.substr(0, line.find('#'));
        const auto first = text.find_first_not_of(" \t\r");
        const auto last = text.find_last_not_of(" \t\r");
        return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
    }

} // namespace

std::optional<std::vector<address>> readNodeList(
    const std::vector<std::string>& addressTexts, const std::string& fileName)
{
    auto lines = addressTexts;
    if (!fileName.empty()) {
        const auto content = readTextFile(fileName, maxNodeListBytes);
        if (!content)
            return std::nullopt;
        std::istringstream stream(*content);
        for (std::string line; std::getline(stream, line);)
            lines.push_back(trimLine(line));
    }
    std::vector<address> nodes;
    for (const auto& line : lines) {
        if (line.empty())
            continue;
        const auto node = parseAddress(line);
        if (!node)
            return fail(error_kind::BadRequest, getLastError().detail);
        if (std::find(nodes.begin(), nodes.end(), *node) == nodes.end())
            nodes.push_back(*node);
    }
    if (nodes.empty())
        return fail(
            error_kind::BadRequest, "no node given; expected `--node ip:port` or `--nodes-from FILE`");
    return nodes;
}

} // namespace fuchsiagauge
