#include "bench/http_message.h"

#include <algorithm>
#include <cctype>

namespace fuchsiagauge::bench {
namespace {

    bool equalsIgnoringCase(const std::string& a, const std::string& b)
    {
        const auto isSameCharacter
            = [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); };
        return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), isSameCharacter);
    }

} // namespace

std::string http_fields::get(const std::string& name) const
{
    for (const auto& field : m_fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

bool http_fields::has(const std::string& name) const
{
    return std::any_of(m_fields.begin(), m_fields.end(),
        [&](const http_field& field) { return equalsIgnoringCase(field.name, name); });
}

std::string getQueryValue(const std::string& path, const std::string& key)
{
    auto begin = path.find('?');
    while (begin != std::string::npos) {
        const auto end = path.find('&', begin + 1);
        const auto pair = path.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        if (pair.compare(0, key.size() + 1, key + '=') == 0)
            return pair.substr(key.size() + 1);
        begin = end;
    }
    return {};
}

} // namespace fuchsiagauge::bench
