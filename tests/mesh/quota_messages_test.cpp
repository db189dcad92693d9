#include "core/error.h"
#include "mesh/quota_messages.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr std::uint32_t organisationCount = 78;

/// @return a report of a node that lends its share of most organisations and needs more of some.
quota_report makeReport(std::uint32_t organisations, std::uint32_t withDemand)
{
    quota_report report;
    report.table = 4100000000;
    report.process = 4100000001;
    report.number = 500000;
    report.stamp = { 4100000002, 900000000000 };
    report.loanMs = 1700;
    for (std::uint32_t index = 0; index < organisations; ++index)
        report.needs.push_back(
            { index, index < withDemand ? 0U : 13888U, 0, index < withDemand ? 2500U : 0U, 0 });
    return report;
}

quota_answer makeAnswer(std::uint32_t organisations, std::uint32_t granted)
{
    quota_answer answer;
    answer.table = 4100000000;
    answer.stamp = { 4100000002, 900000000000 };
    answer.grantMs = 600;
    for (std::uint32_t index = 0; index < organisations; ++index)
        answer.active.push_back(index);
    for (std::uint32_t index = 0; index < granted; ++index)
        answer.grants.push_back({ index, 100000, 2500, 0, 0 });
    return answer;
}

} // namespace

TEST_GROUP(quota_messages) {};

TEST(quota_messages, keepsReportsAndAnswers)
{
    auto report = makeReport(organisationCount, 4);
    report.needs[7] = { 7, 13000, 250, 0, 0 };
    report.needs[9].waiting = 3;
    report.isUrgent = true;
    CHECK(decodeQuotaReport(encodeQuotaReport(report)) == report);
    auto answer = makeAnswer(organisationCount, 3);
    answer.active = { 0, 9, 77 };
    answer.grants[1] = { 77, 0, 0, 2, 480 };
    CHECK(decodeQuotaAnswer(encodeQuotaAnswer(answer)) == answer);
}

// The sizes that docs/CAPACITY.md calculates with.
TEST(quota_messages, takesFewBytes)
{
    CHECK(encodeQuotaReport(makeReport(organisationCount, 0)).size() <= 55);
    CHECK(encodeQuotaReport(makeReport(organisationCount, 4)).size() <= 85);
    CHECK(encodeQuotaReport(makeReport(1, 1)).size() <= 50);
    CHECK(encodeQuotaAnswer(makeAnswer(organisationCount, 0)).size() <= 40);
    CHECK(encodeQuotaAnswer(makeAnswer(organisationCount, 4)).size() <= 85);
}

TEST(quota_messages, refusesInvalidBytes)
{
    const auto report = encodeQuotaReport(makeReport(organisationCount, 4));
    const auto answer = encodeQuotaAnswer(makeAnswer(organisationCount, 4));
    CHECK(!decodeQuotaReport("") && !decodeQuotaAnswer(""));
    CHECK(!decodeQuotaReport(answer) && !decodeQuotaAnswer(report));
    CHECK(!decodeQuotaReport(report.substr(0, report.size() - 1)));
    CHECK(!decodeQuotaAnswer(answer.substr(0, answer.size() - 1)));
    CHECK(getLastError().kind == error_kind::BadPeerMessage);
}
