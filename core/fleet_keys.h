#pragma once

#include <memory>
#include <string>
#include <vector>

namespace fuchsiagauge {

class signing_key;

/// Shared secrets with which the nodes of a fleet sign and verify messages.
///
/// The first key signs and all keys verify, so that keys can be rotated without downtime. Copies share state
/// and must be used on the same thread.
class fleet_keys {
public:
    /// Creates a key set.
    /// @param secrets the shared secrets, newest first; the first signs.
    explicit fleet_keys(const std::vector<std::string>& secrets);

    /// @return the signature of `text` under the first key: 32 hexadecimal digits.
    std::string sign(const std::string& text) const;

    /// @return whether `signature` is the signature of `text` under any of the keys.
    bool isValidSignature(const std::string& text, const std::string& signature) const;

private:
    std::vector<std::shared_ptr<signing_key>> m_keys;
};

} // namespace fuchsiagauge
