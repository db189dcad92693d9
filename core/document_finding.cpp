#include "core/document_finding.h"

#include "core/json_fields.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t maxFaultLines = 20;

} // namespace

namespace json_fields {

    template <> struct enum_names<finding_severity> {
        static const char* getName(finding_severity severity)
        {
            return severity == finding_severity::Fault ? "fault" : "warning";
        }
        static std::array<finding_severity, 2> getValues()
        {
            return { finding_severity::Fault, finding_severity::Warning };
        }
    };

    template <> struct field_list<document_finding> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("severity", object.severity);
            visitor("path", object.path);
            visitor("found", object.found);
            visitor("expected", object.expected);
        }
    };

} // namespace json_fields

bool operator==(const document_finding& a, const document_finding& b)
{
    return std::tie(a.severity, a.path, a.found, a.expected)
        == std::tie(b.severity, b.path, b.found, b.expected);
}

std::string formatFinding(const document_finding& finding)
{
    std::string text = finding.path.empty() ? std::string() : "`" + finding.path + "`: ";
    text += finding.found;
    if (!finding.expected.empty())
        text += "; expected " + finding.expected;
    return text;
}

std::string formatFindingsAsJson(const document_findings& findings) { return json_fields::format(findings); }

bool hasFault(const document_findings& findings)
{
    return std::any_of(findings.begin(), findings.end(),
        [](const document_finding& finding) { return finding.severity == finding_severity::Fault; });
}

std::string formatFaults(const document_findings& findings, const std::string& prefix)
{
    std::string text;
    std::size_t faults = 0;
    for (const auto& finding : findings) {
        if (finding.severity != finding_severity::Fault || ++faults > maxFaultLines)
            continue;
        if (!text.empty())
            text += '\n';
        text += prefix + formatFinding(finding);
    }
    if (faults > maxFaultLines)
        text += "\nand " + std::to_string(faults - maxFaultLines) + " more faults";
    return text;
}

} // namespace fuchsiagauge
