#include "core/settings.h"
#include "core/settings_reader.h"

#include <sstream>

namespace fuchsiagauge {
namespace {

    std::string formatDefault(const setting_row& row)
    {
        if (row.isRequired)
            return "required";
        std::ostringstream out;
        if (const auto* text = std::get_if<std::string>(&row.defaultValue))
            out << '`' << (text->empty() ? "\"\"" : *text) << '`';
        else if (const auto* integer = std::get_if<long long>(&row.defaultValue))
            out << '`' << *integer << '`';
        else if (const auto* number = std::get_if<double>(&row.defaultValue))
            out << '`' << *number << '`';
        else if (const auto* flag = std::get_if<bool>(&row.defaultValue))
            out << (*flag ? "`true`" : "`false`");
        else
            out << "`[]`";
        return out.str();
    }

} // namespace

std::string formatSettingsReference()
{
    std::ostringstream out;
    out << "# Settings\n\n"
        << "The node's settings file is JSON; `//` and `/* */` comments are allowed. A dot in a key stands\n"
        << "for a nested object: `listen.edge` is written `{ \"listen\": { \"edge\": ... } }`.\n"
        << "Unknown keys, wrong types, values out of range and conflicting addresses are refused;\n"
        << "`fuchsiagauged --check --settings FILE` lists all faults without starting the node.\n\n"
        << "This page is generated from the settings table by `fuchsiagauged --settings-reference`.\n\n"
        << formatSettingsRows(getSettingsTable());
    return out.str();
}

std::string formatSettingsRows(const std::vector<setting_row>& table)
{
    std::ostringstream out;
    out << "| key | type | range | default | meaning |\n|---|---|---|---|---|\n";
    for (const auto& row : table) {
        out << "| `" << row.key << "` | " << getTypeName(row.type) << " | " << describeRange(row) << " | "
            << formatDefault(row) << " | " << row.description << " |\n";
    }
    return out.str();
}

} // namespace fuchsiagauge
