#pragma once

#include <memory>
#include <string>
#include <vector>

namespace fuchsiagauge {

class signing_key;

/// The secrets that the nodes of a fleet share to recognise each other's words.
///
/// The first key signs; every key verifies, so that keys can be rotated without a stop. Copies share their
/// state and belong to one thread.
class fleet_keys {
public:
    /// Makes a key set.
    /// @param secrets the shared secrets, newest first; the first signs.
    explicit fleet_keys(const std::vector<std::string>& secrets);

    /// @return the signature of `text` under the first key: 32 hexadecimal digits.
    std::string sign(const std::string& text) const;

    /// @return whether `signature` belongs to `text` under any of the keys.
    bool isValidSignature(const std::string& text, const std::string& signature) const;

private:
    std::vector<std::shared_ptr<signing_key>> m_keys;
};

} // namespace fuchsiagauge
