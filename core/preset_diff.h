#pragma once

#include "core/preset.h"

#include <string>
#include <vector>

namespace fuchsiagauge {

/// One difference between two preset documents.
struct preset_change {
    bool affectsActivePreset = false; ///< Whether it changes the rules that nodes act on.
    std::string path; ///< Dotted path of the key in the documents.
    std::string before; ///< Value in the first document; empty: not there.
    std::string after; ///< Value in the second document; empty: not there.
    std::string sentence; ///< The difference in an operator's words.

    friend bool operator==(const preset_change& a, const preset_change& b);
    friend bool operator!=(const preset_change& a, const preset_change& b) { return !(a == b); }
};

/// Lists what would change if the second document took the place of the first.
///
/// First come the rules in force: the preset in force of one document against that of the other. Then
/// come the presets that are not in force in both, compared by name.
/// @param before the document that is published.
/// @param after the document that would be published.
/// @return the differences; none when both say the same.
std::vector<preset_change> comparePresetDocuments(
    const preset_document& before, const preset_document& after);

/// @return the differences as a JSON list of objects.
std::string formatChangesAsJson(const std::vector<preset_change>& changes);

} // namespace fuchsiagauge
