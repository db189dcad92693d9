#pragma once

#include "core/document_finding.h"
#include "core/nearest_word.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Maximum length of the name of a preset, class or service, in bytes.
constexpr std::size_t maxDocumentNameBytes = 64;

/// @return whether a text is a valid name: 1 to 64 letters, digits, `_`, `-` or `.`.
bool isValidDocumentName(const std::string& text);

/// Reads the keys of one JSON object and records a finding for each invalid one.
///
/// The getters return the fallback if the key is absent or its value is invalid.
class document_reader {
public:
    /// @param value the object; must outlive the reader. A value of another type is recorded as a fault and
    /// read as an empty object.
    /// @param path path of the object in the document; empty for the root.
    /// @param findings receives the findings; must outlive the reader.
    document_reader(const nlohmann::json& value, std::string path, document_findings& findings);

    /// @return the dotted path of a key of this object in the document; of the object itself if the key is
    /// empty.
    std::string getPath(const std::string& key) const;

    /// @return whether the object has the key.
    bool hasKey(const std::string& key) const;

    double getNumber(const std::string& key, double fallback, double minimum, double maximum);
    int getInteger(const std::string& key, int fallback, int minimum, int maximum);
    bool getFlag(const std::string& key, bool fallback);
    std::string getText(const std::string& key, const std::string& fallback);

    /// @return the array of strings under a key; empty if it is absent or invalid.
    std::vector<std::string> getTextList(const std::string& key);

    /// Reads a string that must be present and not empty.
    /// @return the string; empty if it is absent or invalid, which is recorded as a fault.
    std::string getRequiredText(const std::string& key);

    /// Receives the name of an item and a reader for it.
    using item_callback = std::function<void(const std::string& name, document_reader& reader)>;

    /// Calls a function with the key and the object under it, if the key is present.
    void readObject(const std::string& key, const item_callback& readItem);

    /// Calls a function for each member of the object under a key. Each member must be an object with a
    /// valid name.
    void readMembers(const std::string& key, const item_callback& readItem);

    /// Calls a function with an empty name for each item of the array under a key. Each item must be an
    /// object.
    void readEntries(const std::string& key, const item_callback& readItem);

    /// Records a fault for each key of the object that no earlier call has tried to read.
    void addUnknownKeyFaults();

    /// @return "; did you mean `CANDIDATE`?" for a similar candidate; empty if there is none or if many
    /// findings were recorded.
    template <typename Item>
    std::string suggest(const std::string& word, const std::map<std::string, Item>& candidates) const
    {
        if (!canSuggest())
            return {};
        std::vector<std::string> names;
        names.reserve(candidates.size());
        for (const auto& [name, item] : candidates)
            names.push_back(name);
        return suggestWord(word, names);
    }

    /// Records a fault of a key.
    /// @param key the key; empty for the object itself.
    /// @param found what the document contains.
    /// @param expected what is valid there.
    void addFault(const std::string& key, const std::string& found, const std::string& expected);

    /// Records a warning about a key; the parameters are those of addFault().
    void addWarning(const std::string& key, const std::string& found, const std::string& expected);

private:
    /// @return whether a suggestion may still be searched for. Each search compares against all candidates,
    /// so it is skipped once a document has many findings.
    bool canSuggest() const;
    /// Looks up a key and marks it as known to addUnknownKeyFaults().
    /// @return the value, or null if the key is absent.
    const nlohmann::json* find(const std::string& key);
    /// Records a fault that quotes the invalid value of a key.
    void addInvalidValueFault(
        const std::string& key, const nlohmann::json& value, const std::string& expected);

    const nlohmann::json& m_object;
    std::string m_path;
    document_findings& m_findings;
    std::vector<std::string> m_knownKeys;
};

} // namespace fuchsiagauge
