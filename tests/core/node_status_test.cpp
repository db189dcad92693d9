#include "core/node_status.h"

#include "core/error.h"

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

node_status makeStatus()
{
    node_status status;
    status.instance = "orders-1";
    status.service = "orders";
    status.region = "zapad";
    status.zone = "zapad-a";
    status.startNumber = UINT64_MAX;
    status.uptime = milliseconds(1500.5);
    status.state = node_state::Leaving;
    status.configuration = { "peak", 42, "ab12", true, "`in_force`: missing" };
    status.target = { 3, 80, 2, 65536 };
    status.classes = { { "order", 10, 8, 1, 1 }, { "browse", 5, 0, 5, 0 } };
    status.instances = { { "proofs-1", "proofs", "vychod", "vychod-a", instance_state::Gone, true,
        "5 of 5 calls failed", 1 } };
    status.control = { 7, { "vychod" }, { "zapad-b" }, true, { "orders-1" }, true, 99, 1234.5 };
    status.link = { 1000, 2000 };
    return status;
}

} // namespace

TEST_GROUP(node_status) {};

TEST(node_status, roundTripsThroughJson)
{
    const auto status = makeStatus();
    CHECK(parseNodeStatus(formatNodeStatus(status)) == status);
    CHECK(parseNodeStatus("{}") == node_status());
}

TEST(node_status, rejectsInvalidStatusDocuments)
{
    const char* const documents[]
        = { "", "null", "[]", "{\"instance\": 1}", "{\"start_number\": -1}", "{\"start_number\": 1.5}",
              "{\"state\": \"asleep\"}", "{\"target\": []}", "{\"target\": {\"limit\": 3000000000}}",
              "{\"classes\": {}}", "{\"classes\": [1]}", "{\"control\": {\"cut_off_regions\": [1]}}" };
    for (const auto* document : documents) {
        CHECK_TEXT(!parseNodeStatus(document), document);
        CHECK(getLastError().kind == error_kind::BadPeerMessage);
    }
}
