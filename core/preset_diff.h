#pragma once

#include "core/preset.h"

#include <string>
#include <vector>

namespace fuchsiagauge {

/// One difference between two preset documents.
struct preset_change {
    bool affectsActivePreset = false; ///< Whether the difference changes the rules that the nodes apply.
    std::string path; ///< Dotted path of the key in the documents.
    std::string before; ///< Value in the first document; empty if absent.
    std::string after; ///< Value in the second document; empty if absent.
    std::string sentence; ///< Description of the difference for operators.

    friend bool operator==(const preset_change& a, const preset_change& b);
    friend bool operator!=(const preset_change& a, const preset_change& b) { return !(a == b); }
};

/// Lists the changes that replacing the first document by the second would make.
///
/// The changes to the active rules come first: the active preset of one document is compared with that of the
/// other, whatever their names are. Then the presets are compared by name, except a preset that is active in
/// both documents, which has already been compared.
/// @param before the published document.
/// @param after the document to be published.
/// @return the differences; empty if the documents are equal.
std::vector<preset_change> comparePresetDocuments(
    const preset_document& before, const preset_document& after);

/// @return the differences as a JSON array of objects.
std::string formatChangesAsJson(const std::vector<preset_change>& changes);

} // namespace fuchsiagauge
