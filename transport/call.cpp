#include "transport/call.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <strings.h>

namespace fuchsiagauge {
namespace {

    bool isSameFieldName(const std::string& a, const std::string& b)
    {
        return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
    }

} // namespace

void header_fields::set(const std::string& name, std::string value)
{
    erase(name);
    add(name, std::move(value));
}

void header_fields::erase(const std::string& name)
{
    const auto matches = [&](const header_field& field) { return isSameFieldName(field.name, name); };
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(), matches), m_fields.end());
}

void header_fields::erasePrefix(const std::string& prefix)
{
    const auto matches = [&](const header_field& field) {
        return strncasecmp(field.name.c_str(), prefix.c_str(), prefix.size()) == 0;
    };
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(), matches), m_fields.end());
}

void header_fields::eraseIf(const std::function<bool(const std::string& name)>& isUnwanted)
{
    const auto matches = [&](const header_field& field) { return isUnwanted(field.name); };
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(), matches), m_fields.end());
}

const std::string* header_fields::find(const std::string& name) const
{
    for (const auto& field : m_fields) {
        if (isSameFieldName(field.name, name))
            return &field.value;
    }
    return nullptr;
}

std::string header_fields::get(const std::string& name) const
{
    const auto* value = find(name);
    return value ? *value : std::string();
}

std::size_t header_fields::getMemory() const
{
    auto bytes = m_fields.capacity() * sizeof(header_field);
    for (const auto& field : m_fields)
        bytes += field.name.size() + field.value.size();
    return bytes;
}

bool equalsIgnoringCase(const std::string& name, const char* expected)
{
    return strcasecmp(name.c_str(), expected) == 0;
}

bool startsWithIgnoringCase(const std::string& name, const char* prefix)
{
    return strncasecmp(name.c_str(), prefix, std::strlen(prefix)) == 0;
}

bool isHopByHopField(const std::string& name)
{
    static const std::array<std::string, 10> names { "connection", "keep-alive", "transfer-encoding",
        "content-length", "upgrade", "te", "trailer", "expect", "proxy-connection", "proxy-authorization" };
    return std::any_of(
        names.begin(), names.end(), [&](const std::string& entry) { return isSameFieldName(entry, name); });
}

} // namespace fuchsiagauge
