#pragma once

#include <string>
#include <vector>

namespace fuchsiagauge {

/// Severity of a finding.
enum class finding_severity {
    Fault, ///< The document is invalid and refused.
    Warning, ///< The document is accepted but probably contains a mistake.
};

/// A fault or warning about one place in a configuration document.
struct document_finding {
    finding_severity severity = finding_severity::Fault;
    std::string path; ///< Dotted path of the key; empty if the finding concerns the whole document.
    std::string found; ///< Description of what the document contains.
    std::string expected; ///< Description of what is valid there; may be empty.

    friend bool operator==(const document_finding& a, const document_finding& b);
    friend bool operator!=(const document_finding& a, const document_finding& b) { return !(a == b); }
};

/// Findings in the order in which the checks made them.
using document_findings = std::vector<document_finding>;

/// Formats a finding for operators.
/// @return one line of the form "`path`: found; expected ...".
std::string formatFinding(const document_finding& finding);

/// @return the findings as a JSON array of objects.
std::string formatFindingsAsJson(const document_findings& findings);

/// @return whether at least one finding is a fault, so that the document must be refused.
bool hasFault(const document_findings& findings);

/// Formats the faults and omits the warnings.
/// @param prefix text before each fault, such as the file name.
/// @return one line per fault; faults after the first 20 are only counted in the last line.
std::string formatFaults(const document_findings& findings, const std::string& prefix);

} // namespace fuchsiagauge
