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

    /// A log line of the request or of a call made on its behalf.
    struct matched_log_line {
        std::uint64_t timeMs = 0;
        std::size_t depth = 0; ///< Nesting depth of the logged call; 0 is the request itself.
        json fields;
    };

    /// IDs of calls extend the ID of the request they are made for: `a.b` is a call made for request `a`.
    /// @return the nesting depth of the call with the given ID, or nothing if it belongs to another request.
    std::optional<std::size_t> getCallDepth(const std::string& id, const std::string& requestId)
    {
        if (id == requestId)
            return 0;
        const bool isDescendant = id.size() > requestId.size()
            && id.compare(0, requestId.size(), requestId) == 0 && id[requestId.size()] == '.';
        if (!isDescendant)
            return std::nullopt;
        return static_cast<std::size_t>(
            std::count(id.begin() + static_cast<long>(requestId.size()), id.end(), '.'));
    }

    std::optional<matched_log_line> parseLogLine(const std::string& text, const std::string& requestId)
    {
        const auto jsonStart = text.find('{');
        if (jsonStart == std::string::npos)
            return std::nullopt;
        auto fields = json::parse(text.begin() + static_cast<long>(jsonStart), text.end(), nullptr, false);
        if (!fields.is_object() || !fields.contains("request") || !fields["request"].is_string())
            return std::nullopt;
        const auto depth = getCallDepth(fields["request"].get<std::string>(), requestId);
        if (!depth)
            return std::nullopt;
        matched_log_line logLine;
        logLine.timeMs = fields.contains("time") && fields["time"].is_number_unsigned()
            ? fields["time"].get<std::uint64_t>()
            : 0;
        logLine.depth = *depth;
        logLine.fields = std::move(fields);
        return logLine;
    }

    std::string formatFields(const json& fields)
    {
        std::string text;
        for (const auto& [name, value] : fields.items()) {
            const bool isInPrefix = name == "time" || name == "node" || name == "event" || name == "request";
            if (isInPrefix || value == "")
                continue;
            text += "  " + name + '=' + (value.is_string() ? value.get<std::string>() : value.dump());
        }
        return text;
    }

    void printLogLine(const matched_log_line& logLine, std::uint64_t startMs, std::ostream& out)
    {
        const auto getStringField = [&](const char* name) {
            return logLine.fields.contains(name) && logLine.fields[name].is_string()
                ? logLine.fields[name].get<std::string>()
                : std::string("?");
        };
        out << '+' << logLine.timeMs - startMs << " ms  " << std::string(2 * logLine.depth, ' ')
            << getStringField("node") << "  " << getStringField("event") << formatFields(logLine.fields)
            << '\n';
    }

} // namespace

std::size_t explainRequest(
    const std::vector<std::istream*>& logs, const std::string& requestId, std::ostream& out)
{
    std::vector<matched_log_line> logLines;
    for (auto* log : logs) {
        for (std::string text; std::getline(*log, text);) {
            if (auto logLine = parseLogLine(text, requestId))
                logLines.push_back(std::move(*logLine));
        }
    }
    std::stable_sort(logLines.begin(), logLines.end(),
        [](const matched_log_line& a, const matched_log_line& b) { return a.timeMs < b.timeMs; });
    for (const auto& logLine : logLines)
        printLogLine(logLine, logLines.front().timeMs, out);
    return logLines.size();
}

int runExplain(const client_environment& environment, const std::string& requestId,
    const std::vector<std::string>& fileNames)
{
    std::vector<std::unique_ptr<std::ifstream>> files;
    std::vector<std::istream*> logs;
    for (const auto& name : fileNames) {
        files.push_back(std::make_unique<std::ifstream>(name));
        if (!*files.back()) {
            environment.err << name << ": can't be read\n";
            return ExitUsage;
        }
        logs.push_back(files.back().get());
    }
    if (logs.empty())
        logs.push_back(&std::cin);
    if (explainRequest(logs, requestId, environment.out) > 0)
        return ExitSuccess;
    environment.err << "no log line mentions request " << requestId
                    << ": it succeeded, or its lines were dropped by the log rate limit (see the lines with "
                       "\"omitted\")\n";
    return ExitProblemFound;
}

} // namespace fuchsiagauge
