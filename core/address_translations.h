#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Maps the addresses that other nodes advertise to the addresses at which this VM reaches them, for example
/// with network address translation between regions.
class address_translations {
public:
    /// Parses entries of the form `ip:port=ip:port`: the advertised address and the reachable address.
    /// @param entries the entries; each advertised address may occur once.
    /// @return the translations, or nothing with error_kind::BadSettings.
    static std::optional<address_translations> parse(const std::vector<std::string>& entries);

    /// @return the reachable address for an advertised one; the advertised address itself if it has no entry.
    const std::string& translate(const std::string& advertised) const;

private:
    std::map<std::string, std::string> m_translations; ///< Reachable address by advertised address.
};

} // namespace fuchsiagauge
