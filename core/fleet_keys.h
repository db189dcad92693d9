#pragma once

#include <memory>
#include <string>
#include <vector>

namespace fuchsiagauge {

class signing_key;

/// Shared secrets with which the nodes of a fleet sign and verify messages.
///
/// The first key signs and all keys verify, so that keys can be rotated without downtime. Copies share the
/// OpenSSL contexts of the keys, so they must be used on the same thread.
class fleet_keys {
public:
    /// Creates a key set.
    /// @param secrets the shared secrets, newest first; an empty list is treated as one empty secret.
    explicit fleet_keys(const std::vector<std::string>& secrets);

    /// @return the signature of `text` with the first key: the first 16 bytes of its HMAC-SHA256 in
    /// hexadecimal.
    std::string sign(const std::string& text) const;

    /// @return whether `signature` is the signature of `text` with any of the keys.
    bool isValidSignature(const std::string& text, const std::string& signature) const;

private:
    std::vector<std::shared_ptr<signing_key>> m_keys;
};

} // namespace fuchsiagauge
