#pragma once

#include "core/document_finding.h"
#include "core/nearest_word.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Longest name of a preset, class or service, in bytes.
constexpr std::size_t maxDocumentNameBytes = 64;

/// @return whether a text can be a name: 1 to 64 letters, digits, `_`, `-` or `.`.
bool isValidDocumentName(const std::string& text);

/// Reads the keys of one JSON object and notes everything that is wrong with them.
///
/// A getter gives its fallback for a key that is absent or not valid.
class document_reader {
public:
    /// @param value the object; must outlive the reader. Anything else is noted and read as empty.
    /// @param path its path in the document; empty at the top.
    /// @param findings receives what is wrong.
    document_reader(const nlohmann::json& value, std::string path, document_findings& findings);

    /// @return the path of a key of this object.
    std::string getPath(const std::string& key) const;

    /// @return whether the key is there.
    bool hasKey(const std::string& key) const;

    double getNumber(const std::string& key, double fallback, double minimum, double maximum);
    int getInteger(const std::string& key, int fallback, int minimum, int maximum);
    bool getFlag(const std::string& key, bool fallback);
    std::string getText(const std::string& key, const std::string& fallback);

    /// @return the list of texts under a key; empty when it is absent or not valid.
    std::vector<std::string> getTextList(const std::string& key);

    /// Reads a text that must be there and not empty.
    std::string getRequiredText(const std::string& key);

    using item_callback = std::function<void(const std::string& name, document_reader& reader)>;

    /// Calls a hook with the object under a key, if it is there.
    void readObject(const std::string& key, const item_callback& readItem);

    /// Calls a hook for each member of the object under a key: objects, each with a valid name.
    void readMembers(const std::string& key, const item_callback& readItem);

    /// Calls a hook for each entry of the list under a key, all objects; the name is empty.
    void readEntries(const std::string& key, const item_callback& readItem);

    /// Notes every key that nobody asked for.
    void addUnknownKeyFaults();

    /// @return "; did you mean `CANDIDATE`?", or nothing when none is near or many findings were noted.
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

    /// Notes a fault of a key.
    void addFault(const std::string& key, const std::string& found, const std::string& expected);

    /// Notes a warning about a key.
    void addWarning(const std::string& key, const std::string& found, const std::string& expected);

private:
    /// Bounds the work for a document with very many faults.
    bool canSuggest() const;
    const nlohmann::json* find(const std::string& key);
    void addInvalidValueFault(
        const std::string& key, const nlohmann::json& value, const std::string& expected);

    const nlohmann::json& m_object;
    std::string m_path;
    document_findings& m_findings;
    std::vector<std::string> m_knownKeys;
};

} // namespace fuchsiagauge
