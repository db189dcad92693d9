#include "core/address_translations.h"

#include "core/address.h"
#include "core/error.h"

namespace fuchsiagauge {

std::optional<address_translations> address_translations::parse(const std::vector<std::string>& entries)
{
    address_translations translations;
    for (const auto& entry : entries) {
        const auto separator = entry.find('=');
        if (separator == std::string::npos)
            return fail(error_kind::BadSettings, "`" + entry + "` is not of the form `ip:port=ip:port`");
        const auto advertised = entry.substr(0, separator);
        const auto reachable = entry.substr(separator + 1);
        if (!parseAddress(advertised) || !parseAddress(reachable))
            return fail(error_kind::BadSettings, "`" + entry + "` is not of the form `ip:port=ip:port`");
        if (!translations.m_translations.emplace(advertised, reachable).second)
            return fail(error_kind::BadSettings, "`" + advertised + "` has two routes");
    }
    return translations;
}

const std::string& address_translations::translate(const std::string& advertised) const
{
    const auto found = m_translations.find(advertised);
    return found == m_translations.end() ? advertised : found->second;
}

} // namespace fuchsiagauge
