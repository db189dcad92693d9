#pragma once

#include "core/document_finding.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// Maximum nesting depth of objects and arrays in a document.
constexpr int maxJsonDepth = 32;

/// Parses JSON with comments, as written by operators.
///
/// Refuses duplicate keys, nesting deeper than maxJsonDepth, numbers out of range and invalid UTF-8.
/// @param text the document.
/// @param findings receives the faults.
/// @return the value, or nothing if a fault was found.
std::optional<nlohmann::json> parseJsonText(const std::string& text, document_findings& findings);

/// Tells cheaply, without parsing, whether a text exceeds maxJsonDepth, as parsing it could take much memory.
/// @param text JSON without comments, or any other bytes.
/// @return whether objects and arrays are nested too deeply; unspecified if the text is not JSON.
bool isNestedTooDeeply(const std::string& text);

/// Describes a JSON value for a message to the operator.
/// @return the value as JSON text, truncated after 60 bytes and with invalid UTF-8 replaced; for an object or
/// array only its type.
std::string describeJson(const nlohmann::json& value);

} // namespace fuchsiagauge
