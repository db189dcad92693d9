#include "core/document_reader.h"

#include "core/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::json;

    constexpr std::size_t maxFindingsWithSuggestion = 20;

    std::string describeNumberRange(const std::string& what, double minimum, double maximum)
    {
        const auto format = [](double value) {
            const auto wholeNumber = static_cast<long long>(value);
            return static_cast<double>(wholeNumber) == value ? std::to_string(wholeNumber)
                                                             : json(value).dump();
        };
        return what + " from " + format(minimum) + " to " + format(maximum);
    }

    bool isWithin(const json& value, double minimum, double maximum)
    {
        const auto number = value.get<double>();
        return number >= minimum && number <= maximum;
    }

} // namespace

bool isValidDocumentName(const std::string& text)
{
    constexpr char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.";
    return !text.empty() && text.size() <= maxDocumentNameBytes
        && text.find_first_not_of(allowed) == std::string::npos;
}

document_reader::document_reader(const json& value, std::string path, document_findings& findings)
    : m_object(value)
    , m_path(std::move(path))
    , m_findings(findings)
{
    if (!value.is_object())
        m_findings.push_back({ finding_severity::Fault, m_path, "got " + describeJson(value), "an object" });
}

std::string document_reader::getPath(const std::string& key) const
{
    if (key.empty())
        return m_path;
    return m_path.empty() ? key : m_path + '.' + key;
}

bool document_reader::hasKey(const std::string& key) const
{
    return m_object.is_object() && m_object.contains(key);
}

bool document_reader::canSuggest() const { return m_findings.size() < maxFindingsWithSuggestion; }

const json* document_reader::find(const std::string& key)
{
    m_knownKeys.push_back(key);
    return hasKey(key) ? &m_object.at(key) : nullptr;
}

void document_reader::addInvalidValueFault(
    const std::string& key, const json& value, const std::string& expected)
{
    addFault(key, "got " + describeJson(value), expected);
}

void document_reader::addFault(const std::string& key, const std::string& found, const std::string& expected)
{
    m_findings.push_back({ finding_severity::Fault, getPath(key), found, expected });
}

void document_reader::addWarning(
    const std::string& key, const std::string& found, const std::string& expected)
{
    m_findings.push_back({ finding_severity::Warning, getPath(key), found, expected });
}

double document_reader::getNumber(const std::string& key, double fallback, double minimum, double maximum)
{
    const auto* value = find(key);
    if (!value)
        return fallback;
    if (value->is_number() && isWithin(*value, minimum, maximum))
        return value->get<double>();
    addInvalidValueFault(key, *value, describeNumberRange("a number", minimum, maximum));
    return fallback;
}

int document_reader::getInteger(const std::string& key, int fallback, int minimum, int maximum)
{
    const auto* value = find(key);
    if (!value)
        return fallback;
    if (value->is_number_integer() && isWithin(*value, minimum, maximum))
        return value->get<int>();
    addInvalidValueFault(key, *value, describeNumberRange("an integer", minimum, maximum));
    return fallback;
}

bool document_reader::getFlag(const std::string& key, bool fallback)
{
    const auto* value = find(key);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    addInvalidValueFault(key, *value, "true or false");
    return fallback;
}

std::string document_reader::getText(const std::string& key, const std::string& fallback)
{
    const auto* value = find(key);
    if (!value)
        return fallback;
    if (value->is_string())
        return value->get<std::string>();
    addInvalidValueFault(key, *value, "a text");
    return fallback;
}

std::vector<std::string> document_reader::getTextList(const std::string& key)
{
    const auto* value = find(key);
    if (!value)
        return {};
    const auto isText = [](const json& item) { return item.is_string(); };
    if (value->is_array() && std::all_of(value->begin(), value->end(), isText))
        return value->get<std::vector<std::string>>();
    addInvalidValueFault(key, *value, "a list of texts");
    return {};
}

std::string document_reader::getRequiredText(const std::string& key)
{
    const auto* value = find(key);
    if (!value) {
        addFault(key, "missing", "a text, not empty");
        return {};
    }
    if (value->is_string() && !value->get_ref<const std::string&>().empty())
        return value->get<std::string>();
    addInvalidValueFault(key, *value, "a text, not empty");
    return {};
}

void document_reader::readObject(const std::string& key, const item_callback& readItem)
{
    const auto* value = find(key);
    if (!value)
        return;
    document_reader reader(*value, getPath(key), m_findings);
    readItem(key, reader);
    reader.addUnknownKeyFaults();
}

void document_reader::readMembers(const std::string& key, const item_callback& readItem)
{
    const auto* value = find(key);
    if (!value)
        return;
    if (!value->is_object()) {
        addInvalidValueFault(key, *value, "an object");
        return;
    }
    for (const auto& [name, item] : value->items()) {
        if (!isValidDocumentName(name))
            addFault(key, "got the name " + describeJson(name), "1 to 64 letters, digits, `_`, `-` or `.`");
        document_reader reader(item, getPath(key) + '.' + name, m_findings);
        readItem(name, reader);
        reader.addUnknownKeyFaults();
    }
}

void document_reader::readEntries(const std::string& key, const item_callback& readItem)
{
    const auto* value = find(key);
    if (!value)
        return;
    if (!value->is_array()) {
        addInvalidValueFault(key, *value, "a list");
        return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        document_reader reader((*value)[i], getPath(key) + '[' + std::to_string(i) + ']', m_findings);
        readItem({}, reader);
        reader.addUnknownKeyFaults();
    }
}

void document_reader::addUnknownKeyFaults()
{
    if (!m_object.is_object())
        return;
    for (const auto& [key, value] : m_object.items()) {
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), key) != m_knownKeys.end())
            continue;
        auto expected = std::string();
        for (const auto& known : m_knownKeys)
            expected += (expected.empty() ? "only " : ", ") + known;
        const auto suggestion = canSuggest() ? suggestWord(key, m_knownKeys) : std::string();
        addFault(key, "unknown key" + suggestion, expected);
    }
}

} // namespace fuchsiagauge
