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
    Address, ///< `ip:port`
    TextList,
    Integer,
    Number,
    Flag,
};

/// A setting's value.
using setting_value = std::variant<std::string, std::vector<std::string>, long long, double, bool>;

/// One row of the settings table.
struct setting_row {
    const char* key; ///< Dotted path in the settings file.
    setting_type type;
    setting_value defaultValue;
    bool isRequired;
    double minimum; ///< For integers and numbers.
    double maximum;
    const char* description; ///< One sentence.
};

/// @return every setting of the node, in the order of the reference page.
const std::vector<setting_row>& getSettingsTable();

/// The node's checked settings.
class settings {
public:
    /// Reads JSON with comments.
    /// @param text the file's content.
    /// @param fileName used in the reasons.
    /// @param table the settings that the file may hold.
    /// @return the settings, or nothing with error_kind::BadSettings: one line a fault, with
    /// file, key, what was found and what was expected.
    static std::optional<settings> parse(const std::string& text, const std::string& fileName,
        const std::vector<setting_row>& table = getSettingsTable());

    /// Reads a file of JSON with comments.
    /// @param fileName path of the file.
    /// @return the settings, or nothing with error_kind::BadSettings, one line a fault.
    static std::optional<settings> load(const std::string& fileName);

    const std::string& getText(const std::string& key) const;
    const std::vector<std::string>& getTextList(const std::string& key) const;
    long long getInteger(const std::string& key) const;
    double getNumber(const std::string& key) const;
    bool getFlag(const std::string& key) const;

private:
    settings() = default;

    std::map<std::string, setting_value> m_values;
};

/// @return the reference page of the node's settings, in Markdown.
std::string formatSettingsReference();

/// @return the rows of a table of settings, in Markdown.
std::string formatSettingsRows(const std::vector<setting_row>& table);

} // namespace fuchsiagauge
