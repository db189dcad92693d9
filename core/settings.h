#pragma once

#include "core/error.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fuchsiagauge {

/// The type of a setting's value.
enum class setting_type {
    Text,
    Address, ///< Text of the form `ip:port`.
    TextList,
    Integer,
    Number,
    Flag,
};

/// A setting's value.
using setting_value = std::variant<std::string, std::vector<std::string>, long long, double, bool>;

/// Definition of one setting.
struct setting_row {
    const char* key; ///< Dotted path in the settings file.
    setting_type type;
    setting_value defaultValue;
    bool isRequired;
    double minimum; ///< For integers and numbers.
    double maximum; ///< For integers and numbers; also used for the range on the reference page.
    const char* description; ///< One sentence for the reference page.
};

/// @return the definitions of all settings of the node, in the order of the reference page.
const std::vector<setting_row>& getSettingsTable();

/// The validated settings of the node.
class settings {
public:
    /// Parses and validates settings from JSON with comments.
    /// @param text content of the settings file.
    /// @param fileName file name for error messages.
    /// @param table definitions of the settings that the file may contain.
    /// @return the settings, or nothing with error_kind::BadSettings; the detail has one line per fault, with
    /// the file, the key, what was found and what was expected.
    static std::optional<settings> parse(const std::string& text, const std::string& fileName,
        const std::vector<setting_row>& table = getSettingsTable());

    /// Reads a settings file and validates it like parse(), with the node's settings table.
    /// @param fileName path of the file, of at most 1048576 bytes.
    /// @return the settings, or nothing with error_kind::BadSettings; the detail has one line per fault.
    static std::optional<settings> load(const std::string& fileName);

    /// The getters return the value of a setting, or its default if the file doesn't contain it.
    /// @param key dotted path of a setting in the table whose type fits the getter.
    const std::string& getText(const std::string& key) const;
    const std::vector<std::string>& getTextList(const std::string& key) const;
    long long getInteger(const std::string& key) const;
    double getNumber(const std::string& key) const;
    bool getFlag(const std::string& key) const;

private:
    settings() = default;

    std::map<std::string, setting_value> m_values;
};

/// @return the reference page of the node's settings as Markdown.
std::string formatSettingsReference();

/// @return a table of the given settings as Markdown.
std::string formatSettingsRows(const std::vector<setting_row>& table);

} // namespace fuchsiagauge
