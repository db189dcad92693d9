#include "tests/node/test_node.h"

#include <CppUTest/TestHarness.h>
#include <vector>

namespace {

/// Malformed or unauthorized input and the expected response.
struct bad_input_case {
    const char* name;
    test_port port;
    std::string bytes;
    bool isHalfClosed;
    std::string expected; ///< Error name in the response; empty if the connection closes without one.
};

std::vector<bad_input_case> makeCases()
{
    const std::string longField = "X-Long: " + std::string(8000, 'a') + "\r\n";
    const std::string garbage = "\x16\x03\x01\x02\xff garbage \n\n\r\n\r\n";
    const std::string unsignedContext
        = "fuchsiagauge-context: 1;00000000000000000000000000000001;0000000000000001;orders;1000;9;1;0;"
          "00000000000000000000000000000000\r\n";
    return {
        { "garbage at the edge", EdgePort, garbage, false, "bad-request" },
        { "garbage at the mesh", MeshPort, garbage, false, "bad-request" },
        { "garbage at the egress", EgressPort, garbage, false, "bad-request" },
        { "garbage at the admin address", AdminPort, garbage, false, "bad-request" },
        { "garbage at the peer address", PeerPort, garbage, true, "" },
        { "plain call at the peer address", PeerPort, makeRequestHead("GET", "/"), true, "" },
        { "oversized header", EdgePort, makeRequestHead("GET", "/", longField), false, "header-too-large" },
        { "oversized body", EdgePort, makeRequestHead("POST", "/", "Content-Length: 5000\r\n"), false,
            "body-too-large" },
        { "truncated body", EdgePort, makeRequestHead("POST", "/", "Content-Length: 500\r\n") + "abc", true,
            "" },
        { "bad length", EdgePort, makeRequestHead("POST", "/", "Content-Length: many\r\n"), false,
            "bad-request" },
        { "two lengths", EdgePort, makeRequestHead("POST", "/", "Content-Length: 5\r\nContent-Length: 6\r\n"),
            false, "bad-request" },
        { "bad chunk", EdgePort, makeRequestHead("POST", "/", "Transfer-Encoding: chunked\r\n") + "zz\r\n",
            false, "bad-request" },
        { "no context at the mesh", MeshPort, makeRequestHead("GET", "/"), false, "bad-context" },
        { "context without the fleet's signature", MeshPort, makeRequestHead("GET", "/", unsignedContext),
            false, "bad-context" },
        { "context without the fleet's signature at the egress", EgressPort,
            makeRequestHead("GET", "/", unsignedContext + "fuchsiagauge-service: stock\r\n"), false,
            "bad-context" },
        { "no service at the egress", EgressPort, makeRequestHead("GET", "/"), false, "unknown-service" },
        { "service that nobody provides", EgressPort,
            makeRequestHead("GET", "/", "fuchsiagauge-service: nobody\r\n"), false, "no-target" },
        { "made-up ticket", EdgePort, makeRequestHead("GET", "/fuchsiagauge/tickets/t1~a~1~2~3~4~b~c~d"),
            false, "bad-ticket" },
        { "wrong method for a ticket", EdgePort, makeRequestHead("PUT", "/fuchsiagauge/tickets/t1"), false,
            "method-not-allowed" },
        { "wrong method at the admin address", AdminPort, makeRequestHead("POST", "/status"), false,
            "method-not-allowed" },
        { "unknown path at the admin address", AdminPort, makeRequestHead("GET", "/nothing"), false,
            "unknown-service" },
    };
}

} // namespace

TEST_GROUP(bad_input) {};

// After each bad input, the node must still answer its health check.
TEST(bad_input, returnsErrorAndNodeKeepsServing)
{
    test_node node;
    CHECK(node.isServing());
    for (const auto& testCase : makeCases()) {
        const auto response = exchangeBytes(testCase.port, testCase.bytes, testCase.isHalfClosed);
        if (testCase.expected.empty())
            CHECK_TEXT(response.find("200 OK") == std::string::npos, testCase.name);
        else
            CHECK_TEXT(response.find("fuchsiagauge-error: " + testCase.expected) != std::string::npos,
                (std::string(testCase.name) + ": " + response).c_str());
        CHECK_TEXT(exchangeBytes(AdminPort, makeRequestHead("GET", "/healthz"), false).find("200 OK")
                != std::string::npos,
            testCase.name);
    }
}
