#include "client/document_commands.h"

#include "client/exit_code.h"
#include "core/preset_diff.h"
#include "core/preset_parser.h"
#include "core/text_file.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    void printFinding(
        const client_environment& world, const std::string& fileName, const document_finding& finding)
    {
        const auto* word = finding.severity == finding_severity::Fault ? "fault" : "warning";
        world.out << fileName << ": " << word << ": " << formatFinding(finding) << '\n';
    }

    std::string summarize(const preset_document& document)
    {
        std::string names;
        for (const auto& [name, item] : document.presets)
            names += (names.empty() ? "" : ", ") + name;
        return "valid; presets " + names + "; in force: " + document.activePreset;
    }

    std::optional<std::string> readDocumentFile(const client_environment& world, const std::string& fileName)
    {
        auto text = readTextFile(fileName, maxPresetDocumentBytes);
        if (!text)
            world.err << getLastError().detail << '\n';
        return text;
    }

    /// Reads and checks one side of a comparison.
    std::optional<preset_document> readSide(
        const client_environment& world, const std::string& fileName, int& code)
    {
        code = ExitUsage;
        const auto text = readDocumentFile(world, fileName);
        if (!text)
            return std::nullopt;
        auto check = checkPresetDocument(*text);
        code = ExitProblemFound;
        if (!check.document)
            world.err << formatFaults(check.findings, fileName + ": fault: ") << '\n';
        return std::move(check.document);
    }

} // namespace

int runCheck(const client_environment& world, const client_options& options, const std::string& fileName,
    bool isStrict)
{
    const auto text = readDocumentFile(world, fileName);
    if (!text)
        return ExitUsage;
    const auto check = checkPresetDocument(*text);
    if (options.isJson)
        world.out << "{\"valid\":" << (check.document ? "true" : "false")
                  << ",\"findings\":" << formatFindingsAsJson(check.findings) << "}\n";
    else
        for (const auto& finding : check.findings)
            printFinding(world, fileName, finding);
    if (check.document && !options.isJson)
        world.out << fileName << ": " << summarize(*check.document) << '\n';
    const bool isGood = check.document && !(isStrict && !check.findings.empty());
    return isGood ? ExitGood : ExitProblemFound;
}

int runDiff(const client_environment& world, const client_options& options, const std::string& before,
    const std::string& after)
{
    int code = ExitGood;
    const auto first = readSide(world, before, code);
    if (!first)
        return code;
    const auto second = readSide(world, after, code);
    if (!second)
        return code;
    const auto changes = comparePresetDocuments(*first, *second);
    if (options.isJson)
        world.out << formatChangesAsJson(changes) << '\n';
    else
        for (const auto& change : changes)
            world.out << change.sentence << '\n';
    if (changes.empty() && !options.isJson)
        world.out << "no difference\n";
    return changes.empty() ? ExitGood : ExitProblemFound;
}

} // namespace fuchsiagauge
