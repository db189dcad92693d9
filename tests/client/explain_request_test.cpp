#include "client/explain_request.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

const char* const firstLog = R"(garbage
12.5 node-a {"time":2000,"node":"a","event":"request-failed","request":"ab","reason":"timed-out","status":504.0}
{"time":1000,"node":"a","event":"request-repeated","request":"ab","outcome":"lost","detail":""}
{"time":1100,"node":"a","event":"request-failed","request":"abc"}
{"time":1200,"node":"a","event":"rules-adopted","version":3}
{"broken":
)";
const char* const secondLog
    = R"({"time":1500,"node":"b","event":"gate-refused","request":"ab.cd.ef","outcome":"no-room"})";

} // namespace

TEST_GROUP(explain_request) {};

// The ID `ab.cd.ef` belongs to a call two levels below request `ab`, so its line is indented by four spaces.
TEST(explain_request, ordersLinesOfSeveralNodesByTime)
{
    std::istringstream first(firstLog);
    std::istringstream second(secondLog);
    std::ostringstream out;
    LONGS_EQUAL(3, explainRequest({ &first, &second }, "ab", out));
    STRCMP_EQUAL("+0 ms  a  request-repeated  outcome=lost\n"
                 "+500 ms      b  gate-refused  outcome=no-room\n"
                 "+1000 ms  a  request-failed  reason=timed-out  status=504.0\n",
        out.str().c_str());
}

// `a` is only a prefix of the logged IDs: IDs of calls made for request `a` would continue with `.`.
TEST(explain_request, ignoresLinesOfOtherRequests)
{
    std::istringstream log(firstLog);
    std::ostringstream out;
    LONGS_EQUAL(0, explainRequest({ &log }, "a", out));
    CHECK(out.str().empty());
}
