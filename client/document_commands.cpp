#include "client/document_commands.h"

#include "client/exit_code.h"
#include "core/preset_diff.h"
#include "core/preset_parser.h"
#include "core/text_file.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    void printFinding(
        const client_environment& environment, const std::string& fileName, const document_finding& finding)
    {
        const auto* severityName = finding.severity == finding_severity::Fault ? "fault" : "warning";
        environment.out << fileName << ": " << severityName << ": " << formatFinding(finding) << '\n';
    }

    std::string summarizeDocument(const preset_document& document)
    {
        std::string names;
        for (const auto& [name, item] : document.presets)
            names += (names.empty() ? "" : ", ") + name;
        return "valid; presets " + names + "; in force: " + document.activePreset;
    }

    std::optional<std::string> readDocumentFile(
        const client_environment& environment, const std::string& fileName)
    {
        auto text = readTextFile(fileName, maxPresetDocumentBytes);
        if (!text)
            environment.err << getLastError().detail << '\n';
        return text;
    }

    /// Reads and validates a preset document.
    /// @param exitCode set to the exit code to end with if no document is returned.
    std::optional<preset_document> readValidDocument(
        const client_environment& environment, const std::string& fileName, int& exitCode)
    {
        exitCode = ExitUsage;
        const auto text = readDocumentFile(environment, fileName);
        if (!text)
            return std::nullopt;
        auto check = checkPresetDocument(*text);
        exitCode = ExitProblemFound;
        if (!check.document)
            environment.err << formatFaults(check.findings, fileName + ": fault: ") << '\n';
        return std::move(check.document);
    }

} // namespace

int runCheck(const client_environment& environment, const client_options& options,
    const std::string& fileName, bool isStrict)
{
    const auto text = readDocumentFile(environment, fileName);
    if (!text)
        return ExitUsage;
    const auto check = checkPresetDocument(*text);
    if (options.isJson)
        environment.out << "{\"valid\":" << (check.document ? "true" : "false")
                        << ",\"findings\":" << formatFindingsAsJson(check.findings) << "}\n";
    else
        for (const auto& finding : check.findings)
            printFinding(environment, fileName, finding);
    if (check.document && !options.isJson)
        environment.out << fileName << ": " << summarizeDocument(*check.document) << '\n';
    const bool isAccepted = check.document && !(isStrict && !check.findings.empty());
    return isAccepted ? ExitSuccess : ExitProblemFound;
}

int runDiff(const client_environment& environment, const client_options& options,
    const std::string& beforeFileName, const std::string& afterFileName)
{
    int exitCode = ExitSuccess;
    const auto beforeDocument = readValidDocument(environment, beforeFileName, exitCode);
    if (!beforeDocument)
        return exitCode;
    const auto afterDocument = readValidDocument(environment, afterFileName, exitCode);
    if (!afterDocument)
        return exitCode;
    const auto changes = comparePresetDocuments(*beforeDocument, *afterDocument);
    if (options.isJson)
        environment.out << formatChangesAsJson(changes) << '\n';
    else
        for (const auto& change : changes)
            environment.out << change.sentence << '\n';
    if (changes.empty() && !options.isJson)
        environment.out << "no differences\n";
    return changes.empty() ? ExitSuccess : ExitProblemFound;
}

} // namespace fuchsiagauge
