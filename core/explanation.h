#pragma once

#include "core/node_status.h"
#include "core/preset.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// What an explanation is about.
enum class explanation_kind {
    Nothing, ///< The node knows no class, service or instance of the name.
    Class,
    Service,
    Instance,
};

/// Why a node treats a class, a service or an instance as it does.
struct explanation {
    std::string instance; ///< Instance whose node explains.
    std::string name; ///< What was asked for.
    explanation_kind kind = explanation_kind::Nothing;
    std::vector<std::string> sentences;

    friend bool operator==(const explanation& a, const explanation& b);
    friend bool operator!=(const explanation& a, const explanation& b) { return !(a == b); }
};

/// Explains from what a node knows.
/// @param status the node's status.
/// @param rules the preset in force at the node.
/// @param name a class, a service or an instance; looked up in this order.
/// @return the explanation; of kind Nothing for an unknown name.
explanation explain(const node_status& status, const preset& rules, const std::string& name);

/// @return an explanation as one JSON object.
std::string formatExplanation(const explanation& value);

/// Reads an explanation.
/// @param text a JSON object as formatExplanation() writes it.
/// @return the explanation, or nothing with error_kind::BadPeerMessage.
std::optional<explanation> parseExplanation(const std::string& text);

} // namespace fuchsiagauge
