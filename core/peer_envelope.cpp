#include "core/peer_envelope.h"

#include "core/error.h"

#include <array>
#include <charconv>
#include <cmath>
#include <string_view>
#include <vector>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t callParts = 10;
    constexpr std::size_t replyParts = 6;
    constexpr const char* noText = "-";

    constexpr std::array outcomeNames { "answered", "no-room", "shed", "rejected", "over-budget", "leaving",
        "unreachable", "misdirected", "lost", "timed-out" };

    std::vector<std::string_view> split(std::string_view text)
    {
        std::vector<std::string_view> parts;
        std::size_t from = 0;
        for (auto at = text.find(' '); at != std::string_view::npos; at = text.find(' ', from)) {
            parts.push_back(text.substr(from, at - from));
            from = at + 1;
        }
        parts.push_back(text.substr(from));
        return parts;
    }

    std::optional<long> readNumber(std::string_view text)
    {
        long value = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (code != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string writeText(const std::string& text) { return text.empty() ? noText : text; }

    std::string readText(std::string_view text) { return text == noText ? std::string() : std::string(text); }

    std::string writeTime(milliseconds time) { return std::to_string(std::lround(time.getCount())); }

} // namespace

const char* getAttemptOutcomeName(attempt_outcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

bool hasNotRun(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::NoRoom:
    case attempt_outcome::Shed:
    case attempt_outcome::Rejected:
    case attempt_outcome::OverBudget:
    case attempt_outcome::Leaving:
    case attempt_outcome::Unreachable:
    case attempt_outcome::Misdirected:
        return true;
    case attempt_outcome::Answered:
    case attempt_outcome::Lost:
    case attempt_outcome::TimedOut:
        break;
    }
    return false;
}

std::string formatPeerCall(const peer_call& call)
{
    return std::to_string(call.priority) + ' ' + writeTime(call.startWithin) + ' ' + writeTime(call.timeLeft)
        + (call.isIdempotent ? " 1 " : " 0 ") + std::to_string(static_cast<int>(call.repeat)) + ' '
        + std::to_string(call.depth) + ' ' + std::to_string(call.rank) + ' ' + writeText(call.instance) + ' '
        + writeText(call.callerService) + ' ' + writeText(call.requestId);
}

std::optional<peer_call> parsePeerCall(const std::string& value)
{
    const auto parts = split(value);
    if (parts.size() != callParts)
        return fail(
            error_kind::BadPeerMessage, "a call envelope has " + std::to_string(callParts) + " parts");
    const auto priority = readNumber(parts[0]);
    const auto startWithin = readNumber(parts[1]);
    const auto timeLeft = readNumber(parts[2]);
    const auto repeat = readNumber(parts[4]);
    const auto depth = readNumber(parts[5]);
    const auto rank = readNumber(parts[6]);
    if (!priority || !startWithin || !timeLeft || !repeat || !depth || !rank)
        return fail(error_kind::BadPeerMessage, "not a number in a call envelope: " + value);
    peer_call call;
    call.priority = static_cast<int>(*priority);
    call.startWithin = milliseconds(static_cast<double>(*startWithin));
    call.timeLeft = milliseconds(static_cast<double>(*timeLeft));
    call.isIdempotent = parts[3] == "1";
    if (*repeat < 0 || *repeat > static_cast<long>(repeat_kind::Inherited))
        return fail(error_kind::BadPeerMessage, "unknown kind of repeat in a call envelope: " + value);
    call.repeat = static_cast<repeat_kind>(*repeat);
    call.depth = static_cast<int>(*depth);
    call.rank = static_cast<int>(*rank);
    call.instance = readText(parts[7]);
    call.callerService = readText(parts[8]);
    call.requestId = readText(parts[9]);
    return call;
}

std::string formatPeerReply(const peer_reply& reply)
{
    return std::string(getAttemptOutcomeName(reply.outcome)) + ' ' + std::to_string(reply.busy) + ' '
        + std::to_string(reply.waiting) + ' ' + std::to_string(reply.slots) + ' '
        + writeTime(reply.serviceTime) + ' ' + std::to_string(static_cast<int>(reply.below));
}

std::optional<peer_reply> parsePeerReply(const std::string& value)
{
    const auto parts = split(value);
    if (parts.size() != replyParts)
        return fail(
            error_kind::BadPeerMessage, "a reply envelope has " + std::to_string(replyParts) + " parts");
    const auto busy = readNumber(parts[1]);
    const auto waiting = readNumber(parts[2]);
    const auto slots = readNumber(parts[3]);
    const auto serviceTime = readNumber(parts[4]);
    const auto below = readNumber(parts[5]);
    if (!busy || !waiting || !slots || !serviceTime || !below)
        return fail(error_kind::BadPeerMessage, "not a number in a reply envelope: " + value);
    peer_reply reply;
    std::size_t index = 0;
    while (index < outcomeNames.size() && parts[0] != outcomeNames.at(index))
        ++index;
    if (index == outcomeNames.size())
        return fail(error_kind::BadPeerMessage, "unknown outcome in a reply envelope: " + value);
    reply.outcome = static_cast<attempt_outcome>(index);
    reply.busy = static_cast<int>(*busy);
    reply.waiting = static_cast<int>(*waiting);
    reply.slots = static_cast<int>(*slots);
    reply.serviceTime = milliseconds(static_cast<double>(*serviceTime));
    if (*below < 0 || *below > static_cast<long>(failure_below::NoRoom))
        return fail(error_kind::BadPeerMessage, "unknown failure in a reply envelope: " + value);
    reply.below = static_cast<failure_below>(*below);
    return reply;
}

} // namespace fuchsiagauge
