#include "mesh/quota_messages.h"

#include "core/error.h"

#include <algorithm>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::json;

    /// Bounds the memory that a message takes; far more organisations than a platform has.
    constexpr std::size_t maxOrganisations = 65536;
    constexpr std::size_t bitsPerByte = 8;
    constexpr std::size_t needFields = 5;
    constexpr std::size_t grantFields = 5;
    constexpr std::size_t reportFields = 9;
    constexpr std::size_t answerFields = 6;

    json encodeIndices(const std::vector<std::uint32_t>& indices)
    {
        std::vector<std::uint8_t> bytes;
        for (const auto index : indices) {
            bytes.resize(std::max<std::size_t>(bytes.size(), index / bitsPerByte + 1));
            bytes[index / bitsPerByte] |= static_cast<std::uint8_t>(1U << (index % bitsPerByte));
        }
        return json::binary(bytes);
    }

    std::optional<std::vector<std::uint32_t>> decodeIndices(const json& value)
    {
        if (!value.is_binary() || value.get_binary().size() > maxOrganisations / bitsPerByte)
            return std::nullopt;
        std::vector<std::uint32_t> indices;
        const auto& bytes = value.get_binary();
        for (std::uint32_t index = 0; index < bytes.size() * bitsPerByte; ++index) {
            if ((bytes[index / bitsPerByte] >> (index % bitsPerByte) & 1U) != 0)
                indices.push_back(index);
        }
        return indices;
    }

    /// @return the elements if a value is an array of that many unsigned integers.
    template <typename integer> std::optional<std::vector<integer>> decodeIntegers(const json& value)
    {
        if (!value.is_array())
            return std::nullopt;
        std::vector<integer> integers;
        for (const auto& element : value) {
            if (!element.is_number_unsigned()
                || element.get<std::uint64_t>() > std::numeric_limits<integer>::max())
                return std::nullopt;
            integers.push_back(element.get<integer>());
        }
        return integers;
    }

    bool areUnsigned(const json& document, std::size_t count)
    {
        return std::all_of(document.begin(), document.begin() + static_cast<std::ptrdiff_t>(count),
            [](const json& element) { return element.is_number_unsigned(); });
    }

    /// @return the loan that most organisations have.
    std::uint32_t findCommonLoan(const quota_report& report)
    {
        std::map<std::uint32_t, std::size_t> counts;
        for (const auto& need : report.needs)
            ++counts[need.loan];
        const auto most = std::max_element(
            counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        return most == counts.end() ? 0 : most->first;
    }

    std::string toBytes(const json& document)
    {
        std::string bytes;
        json::to_cbor(document, bytes);
        return bytes;
    }

} // namespace

std::string encodeQuotaReport(const quota_report& report)
{
    const auto commonLoan = findCommonLoan(report);
    std::vector<std::uint32_t> common;
    json others = json::array();
    for (const auto& need : report.needs) {
        const bool isCommon = need.loan == commonLoan && need.loan > 0 && need.credit == 0 && need.demand == 0
            && need.waiting == 0;
        if (isCommon) {
            common.push_back(need.organisation);
            continue;
        }
        for (const auto field : { need.organisation, need.loan, need.credit, need.demand, need.waiting })
            others.push_back(field);
    }
    return toBytes(json::array(
        { report.table, report.process, report.number, report.stamp.process, report.stamp.sentAtMs,
            report.loanMs * 2 + (report.isUrgent ? 1 : 0), commonLoan, encodeIndices(common), others }));
}

std::optional<quota_report> decodeQuotaReport(const std::string& bytes)
{
    const auto document = json::from_cbor(bytes, true, false);
    const auto invalid = [] { return fail(error_kind::BadPeerMessage, "invalid report of shares"); };
    if (!document.is_array() || document.size() != reportFields || !areUnsigned(document, reportFields - 2))
        return invalid();
    const auto common = decodeIndices(document[reportFields - 2]);
    const auto others = decodeIntegers<std::uint32_t>(document[reportFields - 1]);
    if (!common || !others || others->size() % needFields != 0
        || others->size() / needFields > maxOrganisations)
        return invalid();
    quota_report report;
    report.table = document[0].get<std::uint32_t>();
    report.process = document[1].get<std::uint32_t>();
    report.number = document[2].get<std::uint64_t>();
    report.stamp = { document[3].get<std::uint32_t>(), document[4].get<std::uint64_t>() };
    report.loanMs = document[5].get<std::uint32_t>() / 2;
    report.isUrgent = document[5].get<std::uint32_t>() % 2 != 0;
    const auto commonLoan = document[6].get<std::uint32_t>();
    for (const auto index : *common)
        report.needs.push_back({ index, commonLoan, 0, 0, 0 });
    for (auto field = others->begin(); field != others->end(); field += needFields)
        report.needs.push_back({ field[0], field[1], field[2], field[3], field[4] });
    std::sort(report.needs.begin(), report.needs.end(),
        [](const quota_need& a, const quota_need& b) { return a.organisation < b.organisation; });
    return report;
}

std::string encodeQuotaAnswer(const quota_answer& answer)
{
    json grants = json::array();
    for (const auto& grant : answer.grants) {
        for (const auto field :
            { grant.organisation, grant.share, grant.credit, grant.requests, grant.waitMs })
            grants.push_back(field);
    }
    return toBytes(json::array({ answer.table, answer.stamp.process, answer.stamp.sentAtMs, answer.grantMs,
        encodeIndices(answer.active), grants }));
}

std::optional<quota_answer> decodeQuotaAnswer(const std::string& bytes)
{
    const auto document = json::from_cbor(bytes, true, false);
    const auto invalid
        = [] { return fail(error_kind::BadPeerMessage, "invalid answer to a report of shares"); };
    if (!document.is_array() || document.size() != answerFields || !areUnsigned(document, answerFields - 2))
        return invalid();
    const auto active = decodeIndices(document[answerFields - 2]);
    const auto grants = decodeIntegers<std::uint32_t>(document[answerFields - 1]);
    if (!active || !grants || grants->size() % grantFields != 0
        || grants->size() / grantFields > maxOrganisations)
        return invalid();
    quota_answer answer;
    answer.table = document[0].get<std::uint32_t>();
    answer.stamp = { document[1].get<std::uint32_t>(), document[2].get<std::uint64_t>() };
    answer.grantMs = document[3].get<std::uint32_t>();
    answer.active = *active;
    for (auto field = grants->begin(); field != grants->end(); field += grantFields)
        answer.grants.push_back({ field[0], field[1], field[2], field[3], field[4] });
    return answer;
}

} // namespace fuchsiagauge
