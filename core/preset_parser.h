#pragma once

#include "core/document_finding.h"
#include "core/preset.h"

#include <optional>
#include <string>

namespace fuchsiagauge {

/// Maximum size of a preset document, in bytes, which is also the platform's limit.
constexpr std::size_t maxPresetDocumentBytes = 1048576;

/// Result of checking a preset document.
struct preset_check_result {
    std::optional<preset_document> document; ///< Empty if there is a fault.
    document_findings findings; ///< Faults and warnings.
};

/// Parses a preset document and checks it for faults and probable mistakes.
/// @param text the document: JSON with comments.
/// @return the document, if it is valid, and all findings.
preset_check_result checkPresetDocument(const std::string& text);

/// Parses a preset document and ignores warnings.
/// @param text the document: JSON with comments.
/// @return the document, or nothing with error_kind::BadDocument; the detail has one line per fault, with the
/// key, what was found and what was expected.
std::optional<preset_document> parsePresetDocument(const std::string& text);

} // namespace fuchsiagauge
