#include "core/call_context.h"
#include "core/node_report.h"
#include "tests/node/scripted_target.h"
#include "tests/node/test_node.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

const std::string reportPrefix = std::string(header::report) + ": ";

std::string makeMeshCall()
{
    call_context context;
    context.requestId = std::string(32, 'a');
    context.attemptId = std::string(16, 'b');
    context.className = "default";
    context.remaining = milliseconds(30000);
    context.depth = 1;
    const auto value = formatCallContext(context, fleet_keys({ "key of the test fleet" }));
    return makeRequestHead("GET", "/", std::string(header::context) + ": " + value + "\r\n");
}

std::string findReport(const std::string& response)
{
    const auto begin = response.find(reportPrefix);
    if (begin == std::string::npos)
        return {};
    const auto end = response.find("\r\n", begin);
    return response.substr(begin + reportPrefix.size(), end - begin - reportPrefix.size());
}

} // namespace

TEST_GROUP(mesh_report) {};

// A calling node discards a response whose report it cannot parse, so both sets of policies must produce a
// report in the same format.
TEST(mesh_report, nodeReportIsReadableWithAdaptiveAndNaivePolicies)
{
    for (const bool isNaive : { false, true }) {
        scripted_target target(getTestHost(), TargetPort);
        target.setScript("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true);
        test_node node(isNaive);
        CHECK(node.isServing());
        const auto response = exchangeBytes(MeshPort, makeMeshCall(), false);
        CHECK_TEXT(response.find("hello") != std::string::npos, response.c_str());
        const auto report = parseNodeReport(findReport(response));
        CHECK_TEXT(report.has_value(), response.c_str());
        CHECK(report->limit > 0);
    }
}
