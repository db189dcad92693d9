#pragma once

#include "core/clock.h"

#include <optional>
#include <string>

namespace fuchsiagauge {

/// What the node of a caller knows of the other instances of a service, apart from those that have just
/// started or recovered themselves.
enum class other_instances {
    None, ///< It knows none that is usable.
    Busy, ///< A request would wait at each of them.
    Free, ///< At least one has room.
};

/// What the node of a caller tells the gate of an instance that may have just started or recovered.
struct fill_hint {
    /// Usual time of the request's route at the instances of the service; 0 if the caller doesn't know it.
    milliseconds usualTime;
    other_instances others = other_instances::None;
};

/// Name of the header field that carries the hint in calls between nodes; absent for other instances.
constexpr const char* fillHintHeader = "fg-fill";
/// Name of the header field of replies with the number of all slots of the instance; present while fewer are
/// usable. Nodes that don't know it use the usable slots of the reply.
constexpr const char* fullSlotsHeader = "fg-filling";

/// @return the hint as a header value.
std::string formatFillHint(const fill_hint& hint);

/// @param value the header value; null if the field is missing.
/// @return the hint; nothing if it is missing or invalid.
std::optional<fill_hint> parseFillHint(const std::string* value);

/// @param value the header value; null if the field is missing.
/// @return the number of all slots; 0 if it is missing or invalid.
int parseFullSlots(const std::string* value);

} // namespace fuchsiagauge
