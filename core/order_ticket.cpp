#include "core/order_ticket.h"

#include "core/error.h"
#include "core/text_fields.h"

#include <array>
#include <cmath>
#include <openssl/sha.h>
#include <tuple>

namespace fuchsiagauge {
namespace {

    constexpr char separator = '~';
    constexpr char formatVersion[] = "t1";
    constexpr std::size_t fieldCount = 9;
    constexpr std::size_t nonceDigits = 16;
    constexpr int bitsPerDigit = 4;
    constexpr int bitsPerByte = 8;
    constexpr long long maxMintTimeMs = 1LL << 52;

    std::string formatHex(std::uint64_t value)
    {
        constexpr char digits[] = "0123456789abcdef";
        std::string text(nonceDigits, '0');
        for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
            *digit = digits[value & 15];
            value >>= bitsPerDigit;
        }
        return text;
    }

    bool parseHex(std::string_view text, std::uint64_t& value)
    {
        constexpr int hexBase = 16;
        if (!isHex(text, nonceDigits))
            return false;
        const auto* last = text.data() + text.size();
        return std::from_chars(text.data(), last, value, hexBase).ptr == last;
    }

    std::string formatFields(const order_ticket& ticket)
    {
        std::string text = formatVersion;
        text += separator + ticket.instance;
        text += separator + std::to_string(ticket.startNumber);
        text += separator + formatHex(ticket.processNonce);
        text += separator + std::to_string(ticket.sequence);
        text += separator + std::to_string(std::llround(ticket.mintTime.getCount()));
        text += separator + ticket.service;
        text += separator + ticket.className;
        return text;
    }

} // namespace

bool operator==(const order_ticket& a, const order_ticket& b)
{
    const auto tie = [](const order_ticket& t) {
        return std::tie(t.instance, t.startNumber, t.processNonce, t.sequence, t.service, t.className);
    };
    return tie(a) == tie(b) && a.mintTime == b.mintTime;
}

std::string formatOrderTicket(const order_ticket& ticket, const fleet_keys& keys)
{
    const auto fields = formatFields(ticket);
    return fields + separator + keys.sign(fields);
}

std::optional<order_ticket> parseOrderTicket(const std::string& text, const fleet_keys& keys)
{
    if (text.size() > maxTicketBytes)
        return fail(error_kind::BadTicket, "the ticket is longer than 384 bytes");
    const auto fields = splitFields(text, separator);
    if (fields.size() != fieldCount || fields[0] != formatVersion)
        return fail(error_kind::BadTicket, "the ticket needs 9 fields of format t1");
    const auto signedText = text.substr(0, text.rfind(separator));
    if (!keys.isValidSignature(signedText, std::string(fields.back())))
        return fail(error_kind::BadTicket, "the ticket is not signed by this fleet");
    order_ticket ticket;
    long long mintTimeMs = 0;
    const bool isValid = isValidName(fields[1])
        && parseInteger<std::uint64_t>(fields[2], 0, UINT64_MAX, ticket.startNumber)
        && parseHex(fields[3], ticket.processNonce)
        && parseInteger<std::uint64_t>(fields[4], 1, UINT64_MAX, ticket.sequence)
        && parseInteger(fields[5], 0LL, maxMintTimeMs, mintTimeMs) && isValidName(fields[6])
        && isValidName(fields[7]);
    if (!isValid)
        return fail(error_kind::BadTicket, "a field of the ticket is out of range");
    ticket.instance = fields[1];
    ticket.mintTime = milliseconds(static_cast<double>(mintTimeMs));
    ticket.service = fields[6];
    ticket.className = fields[7];
    return ticket;
}

std::uint64_t computeRequestDigest(
    const std::string& method, const std::string& path, const std::string& body)
{
    std::string text = method + ' ' + path + '\n';
    text += body;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(value); ++i)
        value = (value << bitsPerByte) | digest[i];
    return value;
}

} // namespace fuchsiagauge
