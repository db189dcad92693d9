#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Addresses of other nodes that are reached from this VM at another address, as through address translation
/// between regions.
class address_translations {
public:
    /// Reads rows of the form `ip:port=ip:port`: the stated address, and where it is reached.
    /// @return the table, or nothing with error_kind::BadSettings.
    static std::optional<address_translations> parse(const std::vector<std::string>& entries);

    /// @return where a stated address is reached: itself when the table has no row for it.
    const std::string& translate(const std::string& advertised) const;

private:
    std::map<std::string, std::string> m_translations;
};

} // namespace fuchsiagauge
