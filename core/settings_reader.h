#pragma once

#include "core/document_finding.h"
#include "core/settings.h"

#include <map>
#include <string>

namespace fuchsiagauge {

/// Values of settings by key.
using setting_values = std::map<std::string, setting_value>;

/// Reads every setting of the table from JSON with comments.
/// @param text the file's content.
/// @param table the settings that the file may hold.
/// @param findings receives everything that is wrong, not only the first.
/// @return the values; complete only when nothing was found.
setting_values readSettings(
    const std::string& text, const std::vector<setting_row>& table, document_findings& findings);

/// @return what a setting's value must be: its type and range.
std::string describeExpected(const setting_row& row);

/// @return the name of a type for people.
const char* getTypeName(setting_type type);

/// @return the range of a number, such as `1 to 100`, or nothing for other types.
std::string describeRange(const setting_row& row);

} // namespace fuchsiagauge
