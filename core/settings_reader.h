#pragma once

#include "core/document_finding.h"
#include "core/settings.h"

#include <map>
#include <string>

namespace fuchsiagauge {

/// Values of settings by dotted key.
using setting_values = std::map<std::string, setting_value>;

/// Parses and validates the settings of a table from JSON with comments.
/// @param text content of the settings file.
/// @param table definitions of the settings that the file may contain.
/// @param findings receives all faults, not only the first.
/// @return the values, including defaults; incomplete if there are faults.
setting_values readSettings(
    const std::string& text, const std::vector<setting_row>& table, document_findings& findings);

/// @return a description of the valid values of a setting: type and range.
std::string describeExpected(const setting_row& row);

/// @return the name of a setting type for messages and the reference page.
const char* getTypeName(setting_type type);

/// @return the range of a numeric setting, such as `1 to 100`; empty for other types.
std::string describeRange(const setting_row& row);

} // namespace fuchsiagauge
