#include "core/settings_reader.h"

#include "core/address.h"
#include "core/address_translations.h"
#include "core/document_reader.h"
#include "core/error.h"
#include "core/json_text.h"
#include "core/nearest_word.h"

#include <algorithm>
#include <arpa/inet.h>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::json;

    /// Maximum from which a setting counts as having no upper bound.
    constexpr double unboundedMaximum = 1e18;
    const char* const nameKeys[] = { "instance", "service", "region", "zone" };
    const char* const listenAddressKeys[]
        = { "listen.edge", "listen.mesh", "listen.egress", "listen.peer", "listen.admin" };
    const char* const remoteAddressKeys[] = { "target.address", "platform.address" };
    const char* const pathKeys[] = { "target.health_path", "target.load_path" };
    const char* const duplicateFreeListKeys[] = { "fleet.keys", "fleet.seeds" };
    const char* const logLevels[] = { "debug", "info", "warning", "error" };

    void addFault(document_findings& findings, const std::string& path, const std::string& found,
        const std::string& expected)
    {
        findings.push_back({ finding_severity::Fault, path, found, expected });
    }

    /// @return whether a text is an IPv4 address, or an IPv6 address in brackets, with a port.
    bool isIpAddressWithPort(const std::string& text)
    {
        const auto parsed = parseAddress(text);
        if (!parsed)
            return false;
        in_addr v4 {};
        in6_addr v6 {};
        const auto& host = parsed->host;
        const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
        if (isBracketed)
            return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &v6) == 1;
        return inet_pton(AF_INET, host.c_str(), &v4) == 1;
    }

    std::optional<setting_value> readText(const setting_row& row, const json& value)
    {
        if (!value.is_string())
            return std::nullopt;
        auto text = value.get<std::string>();
        if (text.empty() && row.isRequired)
            return std::nullopt;
        if (row.type == setting_type::Address && !text.empty() && !isIpAddressWithPort(text))
            return std::nullopt;
        return text;
    }

    std::optional<setting_value> readTextList(const setting_row& row, const json& value)
    {
        if (!value.is_array() || (row.isRequired && value.empty()))
            return std::nullopt;
        std::vector<std::string> list;
        for (const auto& item : value) {
            if (!item.is_string() || item.get_ref<const std::string&>().empty())
                return std::nullopt;
            list.push_back(item.get<std::string>());
        }
        return list;
    }

    std::optional<setting_value> readNumber(const setting_row& row, const json& value)
    {
        const bool isInteger = row.type == setting_type::Integer;
        if (!value.is_number() || (isInteger && !value.is_number_integer()))
            return std::nullopt;
        const auto number = value.get<double>();
        if (number < row.minimum || number > row.maximum)
            return std::nullopt;
        if (isInteger)
            return value.get<long long>();
        return number;
    }

    std::optional<setting_value> readValue(const setting_row& row, const json& value)
    {
        switch (row.type) {
        case setting_type::Text:
        case setting_type::Address:
            return readText(row, value);
        case setting_type::TextList:
            return readTextList(row, value);
        case setting_type::Integer:
        case setting_type::Number:
            return readNumber(row, value);
        case setting_type::Flag:
            break;
        }
        if (!value.is_boolean())
            return std::nullopt;
        return value.get<bool>();
    }

    std::vector<std::string> getKnownKeys(const std::vector<setting_row>& table)
    {
        std::vector<std::string> keys;
        keys.reserve(table.size());
        for (const auto& row : table)
            keys.emplace_back(row.key);
        return keys;
    }

    /// @return whether the table has a key below this path.
    bool isSection(const std::string& path, const std::vector<std::string>& keys)
    {
        const auto prefix = path + '.';
        return std::any_of(keys.begin(), keys.end(),
            [&](const std::string& key) { return key.compare(0, prefix.size(), prefix) == 0; });
    }

    /// Values of a JSON document by dotted path.
    using values_by_path = std::map<std::string, const json*>;

    /// Adds the values of an object and of its nested sections by dotted path.
    void flattenObject(const json& object, const std::string& prefix, const std::vector<std::string>& keys,
        values_by_path& values, document_findings& findings)
    {
        for (const auto& [name, value] : object.items()) {
            const auto path = prefix + name;
            if (name.find('.') != std::string::npos)
                addFault(findings, path, "a dot in a key", "an object for each part of the path");
            else if (value.is_object() && isSection(path, keys))
                flattenObject(value, path + '.', keys, values, findings);
            else
                values[path] = &value;
        }
    }

    /// Reads the value of one setting and removes it from the remaining values.
    void readSetting(const setting_row& row, values_by_path& remaining, setting_values& values,
        document_findings& findings)
    {
        const auto found = remaining.find(row.key);
        if (found == remaining.end()) {
            values[row.key] = row.defaultValue;
            if (row.isRequired)
                addFault(findings, row.key, "missing", describeExpected(row));
            return;
        }
        const auto value = readValue(row, *found->second);
        if (value)
            values[row.key] = *value;
        else
            addFault(findings, row.key, "got " + describeJson(*found->second), describeExpected(row));
        remaining.erase(found);
    }

    void addUnknownKeyFaults(
        const values_by_path& remaining, const std::vector<std::string>& known, document_findings& findings)
    {
        for (const auto& [key, value] : remaining)
            addFault(findings, key, "unknown key" + suggestWord(key, known), "a key from the settings page");
    }

    /// @return the value of a text setting; empty if it was missing or invalid.
    std::string getTextOrEmpty(const setting_values& values, const std::string& key)
    {
        const auto found = values.find(key);
        const auto* text = found == values.end() ? nullptr : std::get_if<std::string>(&found->second);
        return text ? *text : std::string();
    }

    void checkNames(const setting_values& values, document_findings& findings)
    {
        for (const auto* key : nameKeys) {
            const auto name = getTextOrEmpty(values, key);
            if (!name.empty() && !isValidDocumentName(name))
                addFault(findings, key, "got `" + name.substr(0, maxDocumentNameBytes) + "`",
                    "1 to 64 letters, digits, `_`, `-` or `.`");
        }
    }

    /// @return whether a text is an address with a fixed port; for port 0 the system chooses one.
    bool hasFixedPort(const std::string& text)
    {
        const auto parsed = parseAddress(text);
        return parsed && parsed->port != 0;
    }

    void checkAddressConflicts(const setting_values& values, document_findings& findings)
    {
        std::map<std::string, std::string> listeners;
        for (const auto* key : listenAddressKeys) {
            const auto text = getTextOrEmpty(values, key);
            if (!hasFixedPort(text))
                continue;
            const auto [other, isNew] = listeners.emplace(text, key);
            if (!isNew)
                addFault(findings, key, "the same address as `" + other->second + "`",
                    "an address of its own for each listener");
        }
        for (const auto* key : remoteAddressKeys) {
            const auto listener = listeners.find(getTextOrEmpty(values, key));
            if (listener != listeners.end())
                addFault(findings, key, "the same address as `" + listener->second + "`",
                    "an address at which the node itself does not listen");
        }
    }

    void checkLogLevelAndPaths(const setting_values& values, document_findings& findings)
    {
        const auto level = getTextOrEmpty(values, "log.level");
        if (std::find(std::begin(logLevels), std::end(logLevels), level) == std::end(logLevels))
            addFault(findings, "log.level", "got `" + level + "`", "debug, info, warning or error");
        for (const auto* key : pathKeys) {
            const auto path = getTextOrEmpty(values, key);
            if (!path.empty() && path.front() != '/')
                addFault(findings, key, "got `" + path + "`", "a path that begins with `/`, or nothing");
        }
    }

    void checkFleetLists(const setting_values& values, document_findings& findings)
    {
        for (const auto* key : duplicateFreeListKeys) {
            const auto found = values.find(key);
            if (found == values.end())
                continue;
            const auto& list = std::get<std::vector<std::string>>(found->second);
            if (std::set<std::string>(list.begin(), list.end()).size() != list.size())
                addFault(findings, key, "a duplicate entry", "each entry once");
        }
        const auto routes = values.find("fleet.routes");
        if (routes != values.end()
            && !address_translations::parse(std::get<std::vector<std::string>>(routes->second)))
            addFault(findings, "fleet.routes", getLastError().detail,
                "two addresses in each entry, each advertised one only once");
        const auto seeds = values.find("fleet.seeds");
        if (seeds == values.end())
            return;
        for (const auto& seed : std::get<std::vector<std::string>>(seeds->second)) {
            if (!isIpAddressWithPort(seed))
                addFault(findings, "fleet.seeds", "got `" + seed + "`", "IP addresses with ports, `ip:port`");
        }
    }

} // namespace

const char* getTypeName(setting_type type)
{
    switch (type) {
    case setting_type::Text:
        return "text";
    case setting_type::Address:
        return "address (`ip:port`)";
    case setting_type::TextList:
        return "list of texts";
    case setting_type::Integer:
        return "integer";
    case setting_type::Number:
        return "number";
    case setting_type::Flag:
        break;
    }
    return "true or false";
}

std::string describeRange(const setting_row& row)
{
    if (row.type != setting_type::Integer && row.type != setting_type::Number)
        return {};
    constexpr int significantDigits = 15;
    std::ostringstream out;
    out.precision(significantDigits);
    out << row.minimum;
    if (row.maximum >= unboundedMaximum)
        out << " or more";
    else
        out << " to " << row.maximum;
    return out.str();
}

std::string describeExpected(const setting_row& row)
{
    std::string text = getTypeName(row.type);
    const bool isText = row.type == setting_type::Text || row.type == setting_type::TextList;
    if (isText && row.isRequired)
        text += ", not empty";
    const auto range = describeRange(row);
    return range.empty() ? text : text + " from " + range;
}

setting_values readSettings(
    const std::string& text, const std::vector<setting_row>& table, document_findings& findings)
{
    setting_values values;
    const auto document = parseJsonText(text, findings);
    if (!document)
        return values;
    if (!document->is_object()) {
        addFault(findings, "", "got " + describeJson(*document), "an object");
        return values;
    }
    values_by_path remaining;
    const auto keys = getKnownKeys(table);
    flattenObject(*document, "", keys, remaining, findings);
    for (const auto& row : table)
        readSetting(row, remaining, values, findings);
    addUnknownKeyFaults(remaining, keys, findings);
    checkNames(values, findings);
    checkAddressConflicts(values, findings);
    checkLogLevelAndPaths(values, findings);
    checkFleetLists(values, findings);
    return values;
}

} // namespace fuchsiagauge
