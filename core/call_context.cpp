#include "core/call_context.h"

#include "core/error.h"
#include "core/text_fields.h"

#include <cmath>
#include <tuple>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t maxHeaderValueBytes = 512;
    constexpr std::size_t requestIdDigits = 32;
    constexpr std::size_t attemptIdDigits = 16;
    constexpr double maxRemainingMs = 24.0 * 3600 * 1000;
    constexpr int maxRetryAllowance = 1000;
    constexpr int maxDepth = 64;
    constexpr int rankHashBits = 16;

    std::string formatFields(const call_context& context)
    {
        std::string text = "1;";
        text += context.requestId + ';' + context.attemptId + ';' + context.className + ';';
        text += std::to_string(std::llround(context.remaining.getCount())) + ';';
        text += std::to_string(context.retryAllowance) + ';';
        text += std::to_string(context.revision) + ';';
        text += std::to_string(context.depth);
        return text;
    }

} // namespace

bool operator==(const call_context& a, const call_context& b)
{
    const auto tie = [](const call_context& c) {
        return std::tie(c.requestId, c.attemptId, c.className, c.retryAllowance, c.revision, c.depth);
    };
    return tie(a) == tie(b) && a.remaining == b.remaining;
}

std::string formatCallContext(const call_context& context, const fleet_keys& keys)
{
    const auto fields = formatFields(context);
    return fields + ';' + keys.sign(fields);
}

std::optional<call_context> parseCallContext(const std::string& value, const fleet_keys& keys)
{
    if (value.size() > maxHeaderValueBytes)
        return fail(error_kind::BadContext, "the context header is longer than 512 bytes");
    const auto fields = splitFields(value, ';');
    if (fields.size() != 9 || fields[0] != "1")
        return fail(error_kind::BadContext, "the context header needs 9 fields of format 1");
    const auto signedText = value.substr(0, value.rfind(';'));
    if (!keys.isValidSignature(signedText, std::string(fields[8])))
        return fail(error_kind::BadContext, "the context header is not signed by this fleet");
    call_context context;
    long long remainingMs = 0;
    const bool isValid = isHex(fields[1], requestIdDigits) && isHex(fields[2], attemptIdDigits)
        && isValidName(fields[3])
        && parseInteger(fields[4], 0LL, static_cast<long long>(maxRemainingMs), remainingMs)
        && parseInteger(fields[5], 0, maxRetryAllowance, context.retryAllowance)
        && parseInteger<std::uint64_t>(fields[6], 0, UINT64_MAX, context.revision)
        && parseInteger(fields[7], 0, maxDepth, context.depth);
    if (!isValid)
        return fail(error_kind::BadContext, "a field of the context header is out of range");
    context.requestId = fields[1];
    context.attemptId = fields[2];
    context.className = fields[3];
    context.remaining = milliseconds(static_cast<double>(remainingMs));
    return context;
}

std::uint32_t getAdmissionRank(int priority, const std::string& requestId)
{
    std::uint32_t hash = 2166136261U;
    for (const char character : requestId) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 16777619U;
    }
    hash ^= hash >> rankHashBits;
    return (static_cast<std::uint32_t>(priority) << rankHashBits) | (hash & 0xFFFFU);
}

} // namespace fuchsiagauge
