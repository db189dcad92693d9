#pragma once

#include "core/node_status.h"
#include "core/preset.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// The kind of object that an explanation describes.
enum class explanation_kind {
    Nothing, ///< The node knows no class, service or instance with this name.
    Class,
    Service,
    Instance,
};

/// Describes how a node currently handles a class, a service or an instance, and why.
struct explanation {
    std::string instance; ///< Instance whose node gives the explanation.
    std::string name; ///< Name that was looked up.
    explanation_kind kind = explanation_kind::Nothing;
    std::vector<std::string> sentences;

    friend bool operator==(const explanation& a, const explanation& b);
    friend bool operator!=(const explanation& a, const explanation& b) { return !(a == b); }
};

/// Explains how a node handles a class, a service or an instance.
/// @param status the node's status.
/// @param rules the active preset of the node.
/// @param name name of a class, a service or an instance; looked up in this order.
/// @return the explanation; its kind is Nothing if the name is unknown.
explanation explain(const node_status& status, const preset& rules, const std::string& name);

/// @return an explanation as one JSON object.
std::string formatExplanation(const explanation& value);

/// Parses an explanation.
/// @param text a JSON object in the format of formatExplanation().
/// @return the explanation, or nothing with error_kind::BadPeerMessage.
std::optional<explanation> parseExplanation(const std::string& text);

} // namespace fuchsiagauge
