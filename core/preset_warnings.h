#pragma once

#include "core/document_finding.h"
#include "core/preset.h"

namespace fuchsiagauge {

/// Checks a valid preset document for probable mistakes and adds a warning for each.
/// @param document a valid document.
/// @param findings receives the warnings.
void addPresetWarnings(const preset_document& document, document_findings& findings);

} // namespace fuchsiagauge
