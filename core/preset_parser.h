#pragma once

#include "core/document_finding.h"
#include "core/preset.h"

#include <optional>
#include <string>

namespace fuchsiagauge {

/// Largest preset document, in bytes, as the platform holds it.
constexpr std::size_t maxPresetDocumentBytes = 1048576;

/// A preset document with everything that was found in it.
struct preset_check_result {
    std::optional<preset_document> document; ///< Empty when there is a fault.
    document_findings findings; ///< Faults and warnings.
};

/// Reads a preset document and looks for all that is wrong or doubtful.
/// @param text the document: JSON with comments.
/// @return the document, if it is valid, and the findings.
preset_check_result checkPresetDocument(const std::string& text);

/// Reads a preset document; warnings are ignored.
/// @param text the document: JSON with comments.
/// @return the document, or nothing with error_kind::BadDocument: one line a fault, with the key, what was
/// found and what was expected.
std::optional<preset_document> parsePresetDocument(const std::string& text);

} // namespace fuchsiagauge
