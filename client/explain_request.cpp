#include "client/explain_request.h"

#include "client/exit_code.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::ordered_json;

    /// One log line that tells of the request or of a call made for it.
    struct told_line {
        std::uint64_t timeMs = 0;
        std::size_t depth = 0; ///< Calls between the request and the line's own.
        json line;
    };

    /// @return how far below the request the id lies; nothing for another request's id.
    std::optional<std::size_t> getDepth(const std::string& id, const std::string& requestId)
    {
        if (id == requestId)
            return 0;
        const bool isBelow = id.size() > requestId.size() && id.compare(0, requestId.size(), requestId) == 0
            && id[requestId.size()] == '.';
        if (!isBelow)
            return std::nullopt;
        return static_cast<std::size_t>(
            std::count(id.begin() + static_cast<long>(requestId.size()), id.end(), '.'));
    }

    std::optional<told_line> readLine(const std::string& text, const std::string& requestId)
    {
        const auto at = text.find('{');
        if (at == std::string::npos)
            return std::nullopt;
        auto line = json::parse(text.begin() + static_cast<long>(at), text.end(), nullptr, false);
        if (!line.is_object() || !line.contains("request") || !line["request"].is_string())
            return std::nullopt;
        const auto depth = getDepth(line["request"].get<std::string>(), requestId);
        if (!depth)
            return std::nullopt;
        told_line told;
        told.timeMs = line.contains("time") && line["time"].is_number_unsigned()
            ? line["time"].get<std::uint64_t>()
            : 0;
        told.depth = *depth;
        told.line = std::move(line);
        return told;
    }

    std::string formatFields(const json& line)
    {
        std::string text;
        for (const auto& [name, value] : line.items()) {
            const bool isHead = name == "time" || name == "node" || name == "event" || name == "request";
            if (isHead || value == "")
                continue;
            text += "  " + name + '=' + (value.is_string() ? value.get<std::string>() : value.dump());
        }
        return text;
    }

    void print(const told_line& told, std::uint64_t firstMs, std::ostream& out)
    {
        const auto getText = [&](const char* name) {
            return told.line.contains(name) && told.line[name].is_string()
                ? told.line[name].get<std::string>()
                : std::string("?");
        };
        out << '+' << told.timeMs - firstMs << " ms  " << std::string(2 * told.depth, ' ') << getText("node")
            << "  " << getText("event") << formatFields(told.line) << '\n';
    }

} // namespace

std::size_t explainRequest(
    const std::vector<std::istream*>& logs, const std::string& requestId, std::ostream& out)
{
    std::vector<told_line> lines;
    for (auto* log : logs) {
        for (std::string text; std::getline(*log, text);) {
            if (auto told = readLine(text, requestId))
                lines.push_back(std::move(*told));
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
        [](const told_line& a, const told_line& b) { return a.timeMs < b.timeMs; });
    for (const auto& told : lines)
        print(told, lines.front().timeMs, out);
    return lines.size();
}

int runExplain(
    const client_environment& world, const std::string& requestId, const std::vector<std::string>& fileNames)
{
    std::vector<std::unique_ptr<std::ifstream>> files;
    std::vector<std::istream*> logs;
    for (const auto& name : fileNames) {
        files.push_back(std::make_unique<std::ifstream>(name));
        if (!*files.back()) {
            world.err << name << ": can't be read\n";
            return ExitUsage;
        }
        logs.push_back(files.back().get());
    }
    if (logs.empty())
        logs.push_back(&std::cin);
    if (explainRequest(logs, requestId, world.out) > 0)
        return ExitGood;
    world.err << "no line tells of request " << requestId
              << ": it went well, or its lines were left out (see the lines with \"omitted\")\n";
    return ExitProblemFound;
}

} // namespace fuchsiagauge
