#include "core/call_context.h"
#include "core/node_report.h"
#include "policy/naive_policies.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(naive_policies) {};

TEST(naive_policies, limitCanBeReportedToOtherNodes)
{
    node_report report;
    report.limit = naive_admission().getLimit();
    CHECK(parseNodeReport(formatNodeReport(report)) == report);
}
