#include "core/peer_envelope.h"

#include "core/error.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>
#include <vector>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t callFieldCount = 10;
    constexpr std::size_t replyFieldCount = 6;
    constexpr double percent = 100; ///< Shares are sent in whole percent.
    constexpr const char* emptyField = "-";

    constexpr std::array outcomeNames { "answered", "no-room", "shed", "rejected", "over-budget", "leaving",
        "unreachable", "misdirected", "lost", "timed-out" };

    std::vector<std::string_view> split(std::string_view text, char separator)
    {
        std::vector<std::string_view> fields;
        std::size_t from = 0;
        for (auto at = text.find(separator); at != std::string_view::npos; at = text.find(separator, from)) {
            fields.push_back(text.substr(from, at - from));
            from = at + 1;
        }
        fields.push_back(text.substr(from));
        return fields;
    }

    std::vector<std::string_view> splitAtSpaces(std::string_view text) { return split(text, ' '); }

    std::optional<long> parseNumber(std::string_view text)
    {
        long value = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (code != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::string formatOptionalText(const std::string& text) { return text.empty() ? emptyField : text; }

    std::string parseOptionalText(std::string_view text)
    {
        return text == emptyField ? std::string() : std::string(text);
    }

    std::string formatTime(milliseconds time) { return std::to_string(std::lround(time.getCount())); }

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

int combinePriorities(std::optional<int> organisationPriority, int routePriority)
{
    constexpr int routePriorityCount = 64; // Lower route priorities are not told apart.
    constexpr int maxOrganisationPriority = 1000000;
    const int minor = std::clamp(routePriority, 0, routePriorityCount - 1);
    const int major = std::clamp(organisationPriority.value_or(minor), 0, maxOrganisationPriority);
    return major * routePriorityCount + minor;
}

std::string formatPeerCall(const peer_call& call)
{
    return std::to_string(call.priority) + ' ' + formatTime(call.startWithin) + ' '
        + formatTime(call.timeLeft) + (call.isIdempotent ? " 1 " : " 0 ")
        + std::to_string(static_cast<int>(call.retryKind)) + ' ' + std::to_string(call.depth) + ' '
        + std::to_string(call.rank) + ' ' + formatOptionalText(call.instance) + ' '
        + formatOptionalText(call.callerService) + ' ' + formatOptionalText(call.requestId);
}

std::optional<peer_call> parsePeerCall(const std::string& value)
{
    const auto fields = splitAtSpaces(value);
    if (fields.size() != callFieldCount)
        return fail(
            error_kind::BadPeerMessage, "a call envelope has " + std::to_string(callFieldCount) + " parts");
    const auto priority = parseNumber(fields[0]);
    const auto startWithin = parseNumber(fields[1]);
    const auto timeLeft = parseNumber(fields[2]);
    const auto retryKind = parseNumber(fields[4]);
    const auto depth = parseNumber(fields[5]);
    const auto rank = parseNumber(fields[6]);
    if (!priority || !startWithin || !timeLeft || !retryKind || !depth || !rank)
        return fail(error_kind::BadPeerMessage, "not a number in a call envelope: " + value);
    peer_call call;
    call.priority = static_cast<int>(*priority);
    call.startWithin = milliseconds(static_cast<double>(*startWithin));
    call.timeLeft = milliseconds(static_cast<double>(*timeLeft));
    call.isIdempotent = fields[3] == "1";
    if (*retryKind < 0 || *retryKind > static_cast<long>(retry_kind::Inherited))
        return fail(error_kind::BadPeerMessage, "unknown kind of repeat in a call envelope: " + value);
    call.retryKind = static_cast<retry_kind>(*retryKind);
    call.depth = static_cast<int>(*depth);
    call.rank = static_cast<int>(*rank);
    call.instance = parseOptionalText(fields[7]);
    call.callerService = parseOptionalText(fields[8]);
    call.requestId = parseOptionalText(fields[9]);
    return call;
}

std::string formatPeerOrganisation(const peer_call& call)
{
    return (call.isOrganisationInherited ? "1 " : "0 ") + call.organisation;
}

void parsePeerOrganisation(const std::string* value, peer_call& call)
{
    constexpr std::size_t nameOffset = 2; // Behind the flag and a space.
    if (!value || value->size() <= nameOffset)
        return;
    call.isOrganisationInherited = value->front() == '1';
    call.organisation = value->substr(nameOffset);
}

std::string formatPeerReply(const peer_reply& reply)
{
    return std::string(getAttemptOutcomeName(reply.outcome)) + ' ' + std::to_string(reply.busy) + ' '
        + std::to_string(reply.waiting) + ' ' + std::to_string(reply.slots) + ' '
        + formatTime(reply.serviceTime) + ' ' + std::to_string(static_cast<int>(reply.downstreamFailure));
}

std::optional<peer_reply> parsePeerReply(const std::string& value)
{
    const auto fields = splitAtSpaces(value);
    if (fields.size() != replyFieldCount)
        return fail(
            error_kind::BadPeerMessage, "a reply envelope has " + std::to_string(replyFieldCount) + " parts");
    const auto busy = parseNumber(fields[1]);
    const auto waiting = parseNumber(fields[2]);
    const auto slots = parseNumber(fields[3]);
    const auto serviceTime = parseNumber(fields[4]);
    const auto downstreamFailure = parseNumber(fields[5]);
    if (!busy || !waiting || !slots || !serviceTime || !downstreamFailure)
        return fail(error_kind::BadPeerMessage, "not a number in a reply envelope: " + value);
    peer_reply reply;
    std::size_t index = 0;
    while (index < outcomeNames.size() && fields[0] != outcomeNames.at(index))
        ++index;
    if (index == outcomeNames.size())
        return fail(error_kind::BadPeerMessage, "unknown outcome in a reply envelope: " + value);
    reply.outcome = static_cast<attempt_outcome>(index);
    reply.busy = static_cast<int>(*busy);
    reply.waiting = static_cast<int>(*waiting);
    reply.slots = static_cast<int>(*slots);
    reply.serviceTime = milliseconds(static_cast<double>(*serviceTime));
    if (*downstreamFailure < 0 || *downstreamFailure > static_cast<long>(downstream_failure::NoRoom))
        return fail(error_kind::BadPeerMessage, "unknown failure in a reply envelope: " + value);
    reply.downstreamFailure = static_cast<downstream_failure>(*downstreamFailure);
    return reply;
}

std::string formatCapacities(const std::vector<service_capacity>& capacities)
{
    constexpr double tenths = 10;
    constexpr std::size_t maxNameLength = 64;
    std::string text;
    std::size_t count = 0;
    for (const auto& item : capacities) {
        const bool isSendable = !item.service.empty() && item.service.size() <= maxNameLength
            && item.service.find_first_of(" ,") == std::string::npos;
        if (!isSendable || count == maxReportedServices)
            continue;
        text += (count > 0 ? "," : "") + item.service + ' ' + std::to_string(std::lround(item.load * percent))
            + ' ' + formatTime(item.age) + ' ' + std::to_string(std::lround(item.calls * tenths)) + ' '
            + formatTime(item.work);
        ++count;
    }
    return text;
}

std::vector<service_capacity> parseCapacities(const std::string* value)
{
    constexpr std::size_t fieldCount = 5;
    constexpr double tenths = 10;
    std::vector<service_capacity> capacities;
    if (!value)
        return capacities;
    for (const auto& entry : split(*value, ',')) {
        const auto fields = splitAtSpaces(entry);
        if (fields.size() != fieldCount || fields[0].empty() || capacities.size() == maxReportedServices)
            continue;
        const auto load = parseNumber(fields[1]);
        const auto age = parseNumber(fields[2]);
        const auto calls = parseNumber(fields[3]);
        const auto work = parseNumber(fields[4]);
        if (!load || !age || !calls || !work || *load < 0 || *age < 0 || *calls < 0 || *work < 0)
            continue;
        capacities.push_back({ std::string(fields[0]), static_cast<double>(*load) / percent,
            milliseconds(static_cast<double>(*age)), static_cast<double>(*calls) / tenths,
            milliseconds(static_cast<double>(*work)) });
    }
    return capacities;
}

std::string formatRejectedShare(double share) { return std::to_string(std::lround(share * percent)); }

double parseRejectedShare(const std::string* value)
{
    const auto rejectedPercent = value ? parseNumber(*value) : std::nullopt;
    return rejectedPercent ? std::clamp(static_cast<double>(*rejectedPercent) / percent, 0.0, 1.0) : 0;
}

std::string formatRateLimit(double perSecond) { return std::to_string(perSecond); }

std::optional<double> parseRateLimit(const std::string* value)
{
    if (!value)
        return std::nullopt;
    double perSecond = 0;
    const auto* end = value->data() + value->size();
    const auto [last, code] = std::from_chars(value->data(), end, perSecond);
    if (code != std::errc() || last != end || !std::isfinite(perSecond) || perSecond < 0)
        return fail(error_kind::BadPeerMessage, "not a rate limit: " + *value);
    return perSecond;
}

} // namespace fuchsiagauge
