#pragma once

#include "policy/slot_gate.h"

#include <string>

namespace fuchsiagauge {

/// @return the pace of an instance as the value of a header between nodes: the slowdown in percent and the
/// age in milliseconds.
std::string formatPace(const pace_report& pace);

/// @param value the header value; null if the field is missing.
/// @return the pace; the usual one if the value is missing or invalid.
pace_report parsePace(const std::string* value);

} // namespace fuchsiagauge
