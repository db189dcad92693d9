#include "core/fleet_keys.h"

#include <array>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t signatureBytes = 16;

    std::string formatHex(const unsigned char* bytes, std::size_t count)
    {
        constexpr char digits[] = "0123456789abcdef";
        std::string hex;
        hex.reserve(2 * count);
        for (std::size_t i = 0; i < count; ++i) {
            hex.push_back(digits[bytes[i] >> 4]);
            hex.push_back(digits[bytes[i] & 15]);
        }
        return hex;
    }

} // namespace

/// Computes HMAC-SHA256 signatures; the key schedule is reused between signatures.
class signing_key {
public:
    explicit signing_key(const std::string& secret)
    {
        char digestName[] = "SHA256";
        const std::array<OSSL_PARAM, 2> parameters {
            OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digestName, 0),
            OSSL_PARAM_construct_end(),
        };
        auto* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
        m_context = EVP_MAC_CTX_new(algorithm);
        EVP_MAC_free(algorithm);
        // OpenSSL treats an empty key as "keep the current key". One zero byte gives the same HMAC.
        const std::string key = secret.empty() ? std::string(1, '\0') : secret;
        EVP_MAC_init(
            m_context, reinterpret_cast<const unsigned char*>(key.data()), key.size(), parameters.data());
    }

    ~signing_key() { EVP_MAC_CTX_free(m_context); }
    signing_key(const signing_key&) = delete;
    signing_key& operator=(const signing_key&) = delete;

    std::string computeSignature(const std::string& text)
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        std::size_t length = 0;
        EVP_MAC_init(m_context, nullptr, 0, nullptr);
        EVP_MAC_update(m_context, reinterpret_cast<const unsigned char*>(text.data()), text.size());
        EVP_MAC_final(m_context, digest.data(), &length, digest.size());
        return formatHex(digest.data(), signatureBytes);
    }

private:
    EVP_MAC_CTX* m_context = nullptr;
};

fleet_keys::fleet_keys(const std::vector<std::string>& secrets)
{
    for (const auto& secret : secrets)
        m_keys.push_back(std::make_shared<signing_key>(secret));
    if (m_keys.empty())
        m_keys.push_back(std::make_shared<signing_key>(std::string()));
}

std::string fleet_keys::sign(const std::string& text) const { return m_keys.front()->computeSignature(text); }

bool fleet_keys::isValidSignature(const std::string& text, const std::string& signature) const
{
    for (const auto& key : m_keys) {
        const auto expected = key->computeSignature(text);
        if (expected.size() == signature.size()
            && CRYPTO_memcmp(expected.data(), signature.data(), expected.size()) == 0)
            return true;
    }
    return false;
}

} // namespace fuchsiagauge
