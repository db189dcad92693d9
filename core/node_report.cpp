#include "core/node_report.h"

#include "core/error.h"
#include "core/text_fields.h"

#include <tuple>

namespace fuchsiagauge {
namespace {

    constexpr std::size_t maxHeaderValueBytes = 512;
    constexpr int maxRetryAllowance = 1000;

} // namespace

bool operator==(const node_report& a, const node_report& b)
{
    const auto tie = [](const node_report& r) {
        return std::tie(
            r.unspentRetries, r.admissionLevel, r.inFlight, r.limit, r.revision, r.startNumber, r.isLeaving);
    };
    return tie(a) == tie(b);
}

std::string formatNodeReport(const node_report& report)
{
    std::string text = "1;" + std::to_string(report.unspentRetries) + ';';
    text += std::to_string(report.admissionLevel) + ';';
    text += std::to_string(report.inFlight) + ';' + std::to_string(report.limit) + ';';
    text += std::to_string(report.revision) + ';' + std::to_string(report.startNumber) + ';';
    text += report.isLeaving ? '1' : '0';
    return text;
}

std::optional<node_report> parseNodeReport(const std::string& value)
{
    constexpr int maxCount = 1 << 24;
    if (value.size() > maxHeaderValueBytes)
        return fail(error_kind::BadPeerMessage, "the report header is longer than 512 bytes");
    const auto fields = splitFields(value, ';');
    if (fields.size() != 8 || fields[0] != "1")
        return fail(error_kind::BadPeerMessage, "the report header needs 8 fields of format 1");
    node_report report;
    int leaving = 0;
    const bool isValid = parseInteger(fields[1], 0, maxRetryAllowance, report.unspentRetries)
        && parseInteger<std::uint32_t>(fields[2], 0, UINT32_MAX, report.admissionLevel)
        && parseInteger(fields[3], 0, maxCount, report.inFlight)
        && parseInteger(fields[4], 0, maxCount, report.limit)
        && parseInteger<std::uint64_t>(fields[5], 0, UINT64_MAX, report.revision)
        && parseInteger<std::uint64_t>(fields[6], 0, UINT64_MAX, report.startNumber)
        && parseInteger(fields[7], 0, 1, leaving);
    if (!isValid)
        return fail(error_kind::BadPeerMessage, "a field of the report header is out of range");
    report.isLeaving = leaving == 1;
    return report;
}

} // namespace fuchsiagauge
