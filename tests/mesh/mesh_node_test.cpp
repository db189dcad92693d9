#include "platform/platform_protocol.h"
#include "tests/mesh/test_mesh.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

TEST_GROUP(mesh_node)
{
    test_mesh mesh;

    /// @return how many requests the two instances have received together.
    static std::size_t countReceived(const test_mesh::vm& first, const test_mesh::vm& second)
    {
        return first.received.size() + second.received.size();
    }

    /// Makes a downstream call of an instance fail and then its parent request, and checks that the parent
    /// request is not retried on the other instance.
    /// @param calleeHandler handles the downstream call at the called instance.
    /// @param status expected status of the downstream call.
    void expectNoRetryOfParent(
        const std::function<void(const std::shared_ptr<incoming_call>&)>& calleeHandler, int status)
    {
        auto& entry = mesh.addVm("i-1", "front", "a");
        auto& alternative = mesh.addVm("i-2", "front", "b");
        entry.handler = test_mesh::makeHoldingHandler(entry);
        mesh.addVm("i-3", "orders").handler = calleeHandler;
        mesh.publishInstances();
        mesh.publishRules(makeRulesWithDownstreamCall());
        const auto parent = mesh.send(entry, "parent");
        mesh.runUntil([&] { return entry.held.size() == 1; });
        LONGS_EQUAL(status, mesh.await(mesh.send(entry, "parent.child", "/inner/x")).head.status);
        test_mesh::makeRespondingHandler(500)(entry.held[0]);
        LONGS_EQUAL(500, mesh.await(parent).head.status);
        CHECK(alternative.received.empty());
    }

    /// Reads from a raw client until `bytes` is full, while the nodes run.
    /// @param offset where to begin in `bytes`.
    /// @return the number of bytes read.
    std::size_t readWhileRunning(
        boost::asio::ip::tcp::socket & client, std::vector<char> & bytes, std::size_t offset)
    {
        std::size_t count = offset;
        mesh.runUntil([&] {
            boost::system::error_code code;
            count += client.read_some(boost::asio::buffer(bytes.data() + count, bytes.size() - count), code);
            return count == bytes.size();
        });
        return count - offset;
    }

    /// Sends requests of several clients through a node.
    /// @return the indexes of the clients.
    std::vector<std::size_t> sendMany(const test_mesh::vm& entry, int count)
    {
        std::vector<std::size_t> clients;
        clients.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index)
            clients.push_back(mesh.send(entry, entry.id + '-' + std::to_string(index)));
        return clients;
    }

    /// Checks that the requests which an instance has received since a time fit its rate limit.
    static void expectWithinRateLimit(
        std::size_t receivedCount, double perSecond, std::chrono::steady_clock::time_point since)
    {
        constexpr double tolerance = 1.5;
        constexpr double extra = 5;
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - since;
        CHECK_COMPARE(
            static_cast<double>(receivedCount), <=, perSecond * elapsed.count() * tolerance + extra);
    }

    /// @return rules with a route to `front` and one to `orders`, which `front` calls.
    static traffic_rules makeRulesWithDownstreamCall()
    {
        auto rules = test_mesh::makeRules("front", true);
        auto inner = rules.routes[0];
        inner.name = "inner";
        inner.pathPrefix = "/inner/";
        inner.destinations = { { "orders", 1 } };
        rules.routes.push_back(inner);
        return rules;
    }
};

TEST(mesh_node, forwardsARequestToTheInstanceOfAnotherVm)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& other = mesh.addVm("i-2", "orders");
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    const auto& response = mesh.await(mesh.send(
        entry, "id-1", "/a?b=c", { { "Caller-Service", "forged" }, { "Request-Deadline", "900" } }));
    LONGS_EQUAL(200, response.head.status);
    STRCMP_EQUAL("/a?b=c", response.body.c_str());
    const auto& seen = other.received.at(0).fields;
    STRCMP_EQUAL("front", seen.get("Caller-Service").c_str());
    STRCMP_EQUAL("i-2", seen.get("Expect-Instance").c_str());
    STRCMP_EQUAL("id-1", seen.get("Request-Id").c_str());
    CHECK(std::stoi(seen.get("Request-Deadline")) <= 900);
    CHECK(seen.find("fg-call") == nullptr);
    CHECK(response.head.fields.find("fg-reply") == nullptr);
}

TEST(mesh_node, answers503BeforeRulesArriveAnd404WithoutARoute)
{
    auto& entry = mesh.addVm("i-1", "front");
    const auto& early = mesh.await(mesh.send(entry, "id-1"));
    LONGS_EQUAL(503, early.head.status);
    CHECK(early.head.fields.find("Retry-After") != nullptr);
    mesh.publishInstances();
    auto rules = test_mesh::makeRules("front", true);
    rules.routes[0].pathPrefix = "/known/";
    mesh.publishRules(rules);
    LONGS_EQUAL(404, mesh.await(mesh.send(entry, "id-2", "/unknown")).head.status);
}

TEST(mesh_node, ignoresAnOlderVersionOfTheRules)
{
    auto& entry = mesh.addVm("i-1", "front");
    mesh.publishInstances();
    auto rules = test_mesh::makeRules("front", true);
    rules.version = 7;
    mesh.publishRules(rules);
    auto older = test_mesh::makeRules("nowhere", true);
    older.version = 6;
    mesh.publishRules(older);
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-1")).head.status);
}

TEST(mesh_node, retriesAnIdempotentRequestWhoseResponseWasLost)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& first = mesh.addVm("i-2", "orders", "a");
    auto& second = mesh.addVm("i-3", "orders", "b");
    first.handler = test_mesh::makeDroppingHandler();
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-1")).head.status);
    CHECK_EQUAL(1U, first.received.size());
    CHECK_EQUAL(1U, second.received.size());
}

TEST(mesh_node, neverRetriesANonIdempotentRequestThatMayHaveRun)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& first = mesh.addVm("i-2", "orders", "a");
    auto& second = mesh.addVm("i-3", "orders", "b");
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    std::size_t sent = 0;
    for (const auto& handler : { test_mesh::makeDroppingHandler(), test_mesh::makeRespondingHandler(500),
             test_mesh::makeRespondingHandler(503) }) {
        first.handler = handler;
        second.handler = handler;
        const auto& response = mesh.await(mesh.send(entry, "id-" + std::to_string(++sent)));
        CHECK(response.head.status >= 500);
        CHECK_EQUAL(sent, countReceived(first, second));
    }
}

TEST(mesh_node, answers502IfANonIdempotentRequestMayHaveRun)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& first = mesh.addVm("i-2", "orders");
    first.handler = test_mesh::makeDroppingHandler();
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    LONGS_EQUAL(502, mesh.await(mesh.send(entry, "id-1")).head.status);
}

// Clients send a request again after these statuses. Only an instance that says so has not run it.
TEST(mesh_node, forwardsNoRefusalThatDoesNotStateThatTheRequestHasNotRun)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    int sent = 0;
    for (const int status : { 408, 421, 429, 503 }) {
        only.handler = test_mesh::makeRespondingHandler(status, { { "Server-Stamp", "s" } });
        const auto& response = mesh.await(mesh.send(entry, "id-" + std::to_string(++sent)));
        LONGS_EQUAL(502, response.head.status);
        CHECK(response.head.fields.find("Server-Stamp") == nullptr);
        CHECK_EQUAL(static_cast<std::size_t>(sent), only.received.size());
    }
}

TEST(mesh_node, retriesARejectedNonIdempotentRequestOnAnotherInstance)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& first = mesh.addVm("i-2", "orders", "a");
    auto& second = mesh.addVm("i-3", "orders", "b");
    first.handler = test_mesh::makeRespondingHandler(503, { { "Not-Run", "1" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-1")).head.status);
    CHECK_EQUAL(1U, second.received.size());
}

TEST(mesh_node, retriesOnAnInstanceThatRefusedWithFreeSlots)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    only.handler = [&only](const std::shared_ptr<incoming_call>& call) {
        const bool isFirst = only.received.size() == 1;
        (isFirst ? test_mesh::makeRespondingHandler(503, { { "Not-Run", "1" }, { "Server-Load", "1,0,2" } })
                 : test_mesh::makeRespondingHandler(200))(call);
    };
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    const auto& response = mesh.await(mesh.send(entry, "id-1", "/x", { { "Request-Deadline", "900" } }));
    LONGS_EQUAL(200, response.head.status);
    CHECK_EQUAL(2U, only.received.size());
    const auto& again = only.received[1].fields;
    STRCMP_EQUAL("id-1", again.get("Request-Id").c_str());
    STRCMP_EQUAL("front", again.get("Caller-Service").c_str());
    LONGS_EQUAL(1, std::count_if(again.getAll().begin(), again.getAll().end(), [](const header_field& field) {
        return equalsIgnoringCase(field.name, "Request-Deadline");
    }));
}

// A late copy of the refusal could not be told from the response to a second send there, which may be
// running.
TEST(mesh_node, sendsARequestThatMustRunOnceToAnInstanceOnce)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& first = mesh.addVm("i-2", "orders", "a");
    auto& second = mesh.addVm("i-3", "orders", "b");
    for (auto* refusing : { &first, &second })
        refusing->handler
            = test_mesh::makeRespondingHandler(503, { { "Not-Run", "1" }, { "Server-Load", "0,0,2" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    LONGS_EQUAL(503, mesh.await(mesh.send(entry, "id-1")).head.status);
    CHECK_EQUAL(1U, first.received.size());
    CHECK_EQUAL(1U, second.received.size());
}

TEST(mesh_node, forwardsABadRequestStatusWithoutRetry)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    only.handler = test_mesh::makeRespondingHandler(400, { { "Not-Run", "1" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    LONGS_EQUAL(400, mesh.await(mesh.send(entry, "id-1")).head.status);
    CHECK_EQUAL(1U, only.received.size());
}

TEST(mesh_node, doesNotRetryOnAFullInstance)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& full = mesh.addVm("i-2", "orders", "a");
    auto& free = mesh.addVm("i-3", "orders", "b");
    full.handler = test_mesh::makeRespondingHandler(503, { { "Not-Run", "1" }, { "Server-Load", "2,1,2" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-1")).head.status);
    CHECK_EQUAL(1U, full.received.size());
    CHECK_EQUAL(1U, free.received.size());
}

TEST(mesh_node, returnsTheEarlierFailureIfTheRetryIsRefused)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& failing = mesh.addVm("i-2", "orders", "a");
    auto& full = mesh.addVm("i-3", "orders", "b");
    failing.handler = test_mesh::makeRespondingHandler(500, { { "Server-Stamp", "s" } });
    full.handler = test_mesh::makeRespondingHandler(503, { { "Not-Run", "1" }, { "Server-Load", "2,1,2" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    const auto& response = mesh.await(mesh.send(entry, "id-1"));
    CHECK_EQUAL(1U, failing.received.size());
    CHECK_EQUAL(1U, full.received.size());
    LONGS_EQUAL(500, response.head.status);
    STRCMP_EQUAL("s", response.head.fields.get("Server-Stamp").c_str());
}

TEST(mesh_node, answers503WithRetryAfterIfEveryInstanceRejects)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    only.handler = test_mesh::makeRespondingHandler(503, { { "Not-Run", "1" }, { "Instance-Note", "s" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    const auto& response = mesh.await(mesh.send(entry, "id-1"));
    LONGS_EQUAL(503, response.head.status);
    CHECK(response.head.fields.find("Retry-After") != nullptr);
    CHECK(response.head.fields.find("Instance-Note") == nullptr);
}

TEST(mesh_node, retriesElsewhereIfAnotherInstanceHasTheAddress)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& first = mesh.addVm("i-2", "orders", "a");
    auto& second = mesh.addVm("i-3", "orders", "b");
    first.handler = test_mesh::makeRespondingHandler(421, { { "Not-Run", "1" } });
    int staleCount = 0;
    entry.node->setPlatformHooks({ nullptr, nullptr, nullptr, [&] { ++staleCount; } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-1")).head.status);
    CHECK_EQUAL(1U, second.received.size());
    LONGS_EQUAL(1, staleCount);
}

// Another writer left an entry with the address of an instance and a service that the rules don't name.
TEST(mesh_node, anEntryOfAnUnknownServiceHidesNoInstance)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    auto foreign = test_mesh::makeRecord(only);
    foreign.id = "foreign";
    foreign.service = "nowhere";
    foreign.startedAtMs = 1700000000123;
    entry.node->updateInstance(foreign);
    only.node->updateInstance(foreign);
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-1")).head.status);
}

TEST(mesh_node, retriesElsewhereIfTheInstanceIsDown)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& first = mesh.addVm("i-2", "orders", "a");
    mesh.addVm("i-3", "orders", "b");
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    first.instance->close();
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-1")).head.status);
}

TEST(mesh_node, doesNotForwardAResponseToAnotherRequest)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    only.handler = [](const std::shared_ptr<incoming_call>& call) {
        response_head head;
        head.fields.add("Request-Id", "somebody-else");
        call->respond(head, "not yours");
    };
    mesh.publishInstances();
    auto rules = test_mesh::makeRules("orders", false);
    rules.routes[0].timeout = milliseconds(300);
    mesh.publishRules(rules);
    LONGS_EQUAL(504, mesh.await(mesh.send(entry, "id-1")).head.status);
}

TEST(mesh_node, endsARequestAtItsRoutesTimeout)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    only.handler = test_mesh::makeHoldingHandler(only);
    mesh.publishInstances();
    auto rules = test_mesh::makeRules("orders", false);
    rules.routes[0].timeout = milliseconds(200);
    mesh.publishRules(rules);
    LONGS_EQUAL(504, mesh.await(mesh.send(entry, "id-1")).head.status);
    mesh.runUntil([&] { return only.held.at(0)->isEnded(); });
}

TEST(mesh_node, failsOverAnIdempotentRequestFromAnUnresponsiveInstance)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& unresponsive = mesh.addVm("i-2", "orders", "a");
    auto& other = mesh.addVm("i-3", "orders", "b");
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-0")).head.status);
    unresponsive.handler = test_mesh::makeHoldingHandler(unresponsive);
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-1")).head.status);
    CHECK_EQUAL(2U, unresponsive.received.size());
    CHECK_EQUAL(1U, other.received.size());
    mesh.runUntil([&] { return unresponsive.held.at(0)->isEnded(); });
}

// An instance works on a request for long without answering others. When no other instance takes the request,
// the first one must be allowed to complete it.
TEST(mesh_node, keepsAnUnresponsiveAttemptOpenIfNoOtherInstanceTakesTheRequest)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& slow = mesh.addVm("i-2", "orders", "a");
    auto& full = mesh.addVm("i-3", "orders", "b");
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-0")).head.status);
    slow.handler = test_mesh::makeHoldingHandler(slow);
    full.handler = test_mesh::makeRespondingHandler(503, { { "Not-Run", "1" }, { "Server-Load", "2,1,2" } });
    const auto client = mesh.send(entry, "id-1");
    mesh.runUntil([&] { return full.received.size() == 1; });
    CHECK_FALSE(slow.held.at(0)->isEnded());
    test_mesh::makeRespondingHandler(200)(slow.held[0]);
    LONGS_EQUAL(200, mesh.await(client).head.status);
}

// The instance that had stopped responding answers before the one that was tried next.
TEST(mesh_node, usesTheFirstAnswerOfTwoOpenAttempts)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& slow = mesh.addVm("i-2", "orders", "a");
    auto& other = mesh.addVm("i-3", "orders", "b");
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-0")).head.status);
    slow.handler = test_mesh::makeHoldingHandler(slow);
    other.handler = test_mesh::makeHoldingHandler(other);
    const auto client = mesh.send(entry, "id-1");
    mesh.runUntil([&] { return other.held.size() == 1; });
    test_mesh::makeRespondingHandler(200)(slow.held.at(0));
    LONGS_EQUAL(200, mesh.await(client).head.status);
    mesh.runUntil([&] { return other.held.at(0)->isEnded(); });
}

TEST(mesh_node, doesNotFailOverANonIdempotentRequestFromAnUnresponsiveInstance)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& unresponsive = mesh.addVm("i-2", "orders", "a");
    auto& other = mesh.addVm("i-3", "orders", "b");
    unresponsive.handler = test_mesh::makeHoldingHandler(unresponsive);
    mesh.publishInstances();
    auto rules = test_mesh::makeRules("orders", false);
    rules.routes[0].timeout = milliseconds(900);
    mesh.publishRules(rules);
    LONGS_EQUAL(504, mesh.await(mesh.send(entry, "id-1")).head.status);
    CHECK(other.received.empty());
}

TEST(mesh_node, cancelsOverBothHopsIfTheClientDisconnects)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    only.handler = test_mesh::makeHoldingHandler(only);
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    const auto clientIndex = mesh.send(entry, "id-1");
    mesh.runUntil([&] { return only.held.size() == 1; });
    mesh.disconnectClient(clientIndex);
    mesh.runUntil([&] { return only.held.at(0)->isEnded(); });
}

TEST(mesh_node, runsNoMoreRequestsThanTheInstanceHasSlots)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    only.handler = test_mesh::makeHoldingHandler(only);
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    const auto first = mesh.send(entry, "id-1");
    mesh.send(entry, "id-2");
    const auto third = mesh.send(entry, "id-3");
    mesh.runUntil([&] { return only.held.size() == 2; });
    CHECK_FALSE(mesh.getResult(third).has_value());
    test_mesh::makeRespondingHandler(200)(only.held[0]);
    mesh.runUntil([&] { return only.held.size() == 3; });
    LONGS_EQUAL(200, mesh.await(first).head.status);
}

// A request waits at the gate of an instance that then leaves. It must not reach the instance long after the
// other nodes have stopped choosing it.
TEST(mesh_node, movesRequestsThatWaitForALeavingInstance)
{
    constexpr milliseconds longTime { 60000 };
    auto& entry = mesh.addVm("i-1", "front");
    auto& leaving = mesh.addVm("i-2", "orders");
    leaving.slots = 1;
    leaving.handler = test_mesh::makeHoldingHandler(leaving);
    mesh.publishInstances();
    auto rules = test_mesh::makeRules("orders", false);
    rules.routes[0].latencyTarget = longTime;
    rules.routes[0].timeout = longTime;
    mesh.publishRules(rules);
    const auto first = mesh.send(entry, "id-1");
    mesh.runUntil([&] { return leaving.held.size() == 1; });
    const auto second = mesh.send(entry, "id-2");
    const auto& other = mesh.addVm("i-3", "orders");
    other.node->applyRules(rules);
    leaving.isDraining = true;
    mesh.publishInstances();
    LONGS_EQUAL(200, mesh.await(second).head.status);
    CHECK_EQUAL(1U, other.received.size());
    CHECK_EQUAL(1U, leaving.received.size());
    test_mesh::makeRespondingHandler(200)(leaving.held[0]);
    LONGS_EQUAL(200, mesh.await(first).head.status);
}

TEST(mesh_node, admitsRequestsAgainIfTheInstanceReturns)
{
    auto& entry = mesh.addVm("i-1", "orders");
    entry.isDraining = true;
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    mesh.runUntil([&] { return mesh.await(mesh.send(entry, "id-1")).head.status == 503; });
    entry.isDraining = false;
    mesh.publishInstances();
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-2")).head.status);
}

TEST(mesh_node, aDownstreamCallInheritsTheDeadlineOfItsParent)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& callee = mesh.addVm("i-2", "orders");
    entry.handler = test_mesh::makeHoldingHandler(entry);
    mesh.publishInstances();
    mesh.publishRules(makeRulesWithDownstreamCall());
    mesh.send(entry, "parent", "/x", { { "Request-Deadline", "700" } });
    mesh.runUntil([&] { return entry.held.size() == 1; });
    mesh.await(mesh.send(entry, "parent.child", "/inner/x"));
    CHECK(std::stoi(callee.received.at(0).fields.get("Request-Deadline")) <= 700);
}

TEST(mesh_node, doesNotRetryAFailureCausedByADownstreamRefusal)
{
    expectNoRetryOfParent(test_mesh::makeRespondingHandler(503, { { "Not-Run", "1" } }), 503);
}

TEST(mesh_node, doesNotRetryAFailureCausedByADownstreamFailure)
{
    expectNoRetryOfParent(test_mesh::makeDroppingHandler(), 502);
}

TEST(mesh_node, limitsRetryAfterOfAShedRequest)
{
    auto& entry = mesh.addVm("i-1", "front");
    entry.handler = test_mesh::makeRespondingHandler(504);
    mesh.publishInstances();
    auto rules = test_mesh::makeRules("front", true);
    rules.routes[0].maxInstances = 1;
    mesh.publishRules(rules);
    std::optional<outgoing_result> shed;
    std::size_t sent = 0;
    mesh.runUntil([&] {
        const auto& response = mesh.await(
            mesh.send(entry, "id-" + std::to_string(++sent), "/x", { { "Request-Deadline", "6000" } }));
        if (response.head.status == 503)
            shed = response;
        return shed.has_value();
    });
    CHECK(shed->body.find("shed") != std::string::npos);
    const auto pauseS = std::stod(shed->head.fields.get("Retry-After"));
    CHECK(pauseS > 0.9);
    CHECK(pauseS <= 2);
}

TEST(mesh_node, refusesRequestsAfterTheNoticePeriodOfAShutdown)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    only.handler = test_mesh::makeHoldingHandler(only);
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    const auto early = mesh.send(entry, "early");
    mesh.runUntil([&] { return only.held.size() == 1; });
    bool isStopped = false;
    entry.node->stop([&] { isStopped = true; });
    only.handler = test_mesh::makeRespondingHandler(200);
    std::size_t served = 0;
    std::optional<outgoing_result> refusal;
    mesh.runUntil([&] {
        if (refusal)
            return true;
        const auto& response = mesh.await(mesh.send(entry, "late-" + std::to_string(served)));
        if (response.head.status == 200)
            ++served;
        else
            refusal = response;
        return false;
    });
    LONGS_EQUAL(503, refusal->head.status);
    CHECK(refusal->head.fields.find("Retry-After") != nullptr);
    // The first request and the served ones were forwarded, the refused one was not.
    CHECK_EQUAL(1 + served, only.received.size());
    CHECK_FALSE(isStopped);
    test_mesh::makeRespondingHandler(200)(only.held[0]);
    LONGS_EQUAL(200, mesh.await(early).head.status);
    mesh.runUntil([&] { return isStopped; });
}

// A request whose run is likely to last beyond the grace period would be cut off at its end.
TEST(mesh_node, aStoppingNodeRefusesRequestsThatAreLikelyToOutlastIt)
{
    constexpr milliseconds gracePeriod { 400 };
    constexpr std::chrono::milliseconds runTime { 1000 };
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    mesh.publishInstances();
    auto rules = test_mesh::makeRules("orders", false);
    rules.routes.push_back(rules.routes.front());
    rules.routes.back().name = "slow";
    rules.routes.back().pathPrefix = "/slow/";
    mesh.publishRules(rules);
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-1", "/x")).head.status);
    only.handler = test_mesh::makeHoldingHandler(only);
    const auto slow = mesh.send(entry, "id-2", "/slow/x");
    const auto end = std::chrono::steady_clock::now() + runTime;
    mesh.runUntil([&] { return !only.held.empty() && std::chrono::steady_clock::now() > end; });
    only.handler = test_mesh::makeRespondingHandler(200);
    only.handler(only.held[0]);
    LONGS_EQUAL(200, mesh.await(slow).head.status);
    mesh_settings settings;
    settings.gracePeriod = gracePeriod;
    entry.node->reloadSettings(settings, {});
    entry.node->stop([] {});
    const auto& refusal = mesh.await(mesh.send(entry, "id-3", "/slow/x"));
    LONGS_EQUAL(503, refusal.head.status);
    DOUBLES_EQUAL(0.1, std::stod(refusal.head.fields.get("Retry-After")), 1e-9);
    CHECK_EQUAL(2U, only.received.size());
}

// Another node can send a request that must run once elsewhere, as long as it has not been taken.
TEST(mesh_node, aStoppingNodeTakesNoRequestThatMustRunOnceAndMayOutlastIt)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& stopping = mesh.addVm("i-2", "orders");
    mesh.publishInstances();
    auto rules = test_mesh::makeRules("orders", false);
    rules.routes.front().timeout = milliseconds(15000);
    mesh.publishRules(rules);
    stopping.node->stop([] {});
    const std::vector<header_field> longDeadline { { "Request-Deadline", "15000" } };
    const std::vector<header_field> shortDeadline { { "Request-Deadline", "1000" } };
    LONGS_EQUAL(503, mesh.await(mesh.send(entry, "id-1", "/x", longDeadline)).head.status);
    CHECK(stopping.received.empty());
    auto& other = mesh.addVm("i-3", "orders");
    mesh.publishInstances();
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-2", "/x", longDeadline)).head.status);
    CHECK_EQUAL(1U, other.received.size());
    other.node->stop([] {});
    LONGS_EQUAL(200, mesh.await(mesh.send(entry, "id-3", "/x", shortDeadline)).head.status);
}

TEST(mesh_node, aPendingTickDoesNotRunAfterTheNodeIsDestroyed)
{
    boost::asio::io_context io;
    mesh_settings config;
    config.callersListener = config.peersListener = config.readyListener = { "127.0.0.1", 0 };
    auto node = std::make_unique<mesh_node>(io, config, makePlatformProtocol());
    CHECK(node->start());
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    // The handler of the expired timer is queued in the same run, after the handler that destroys the node.
    boost::asio::post(io, [&] { node.reset(); });
    io.run_for(std::chrono::milliseconds(100));
    CHECK(node == nullptr);
}

TEST(mesh_node, aStoppingNodeCompletesRequestsInFlight)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& only = mesh.addVm("i-2", "orders");
    only.handler = test_mesh::makeHoldingHandler(only);
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    const auto clientIndex = mesh.send(entry, "id-1");
    mesh.runUntil([&] { return only.held.size() == 1; });
    bool isStopped = false;
    entry.node->stop([&] { isStopped = true; });
    test_mesh::makeRespondingHandler(200)(only.held[0]);
    const auto& response = mesh.await(clientIndex);
    LONGS_EQUAL(200, response.head.status);
    mesh.runUntil([&] { return isStopped; });
}

// A response that was handed to a slow client is not cut off by a planned stop.
TEST(mesh_node, aPlannedStopWaitsForAClientThatReadsSlowly)
{
    constexpr std::size_t largerThanSocketBuffers = 8388608;
    constexpr int ticksAfterRefusal = 20;
    auto& entry = mesh.addVm("i-1", "front");
    entry.handler = [](const std::shared_ptr<incoming_call>& call) {
        const auto id = call->getRequest().fields.get("Request-Id");
        response_head head;
        head.fields.add("Request-Id", id);
        call->respond(head, std::string(id == "slow" ? largerThanSocketBuffers : 1, 'x'));
    };
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("front", true));
    auto client = mesh.connectRawClient(entry);
    boost::asio::write(
        client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: shop\r\nRequest-Id: slow\r\n\r\n")));
    mesh.runUntil([&] { return entry.received.size() == 1; });
    bool isStopped = false;
    entry.node->stop([&] { isStopped = true; });
    std::vector<char> response(largerThanSocketBuffers);
    std::size_t count = 0;
    client.non_blocking(true);
    // Reads now and then, as the kernel resets connections whose client reads nothing for seconds.
    constexpr std::chrono::milliseconds readPause { 500 };
    constexpr std::size_t readBytes = 262144;
    auto nextReadAt = std::chrono::steady_clock::now();
    mesh.runUntil([&] {
        if (std::chrono::steady_clock::now() >= nextReadAt) {
            boost::system::error_code code;
            count += client.read_some(boost::asio::buffer(response.data() + count, readBytes), code);
            nextReadAt += readPause;
        }
        return mesh.await(mesh.send(entry, "late")).head.status == 503;
    });
    int ticks = 0;
    mesh.runUntil([&] { return ++ticks > ticksAfterRefusal; });
    CHECK_FALSE(isStopped);
    CHECK_EQUAL(response.size(), count + readWhileRunning(client, response, count));
    mesh.runUntil([&] { return isStopped; });
}

// A client that doesn't read its responses must not make the process exceed its memory.
TEST(mesh_node, acceptsNoFurtherRequestsWhileUnreadResponsesTakeTooMuchMemory)
{
    constexpr std::size_t responseBytes = 3145728;
    constexpr int pipelinedRequests = 16;
    auto& entry = mesh.addVm("i-1", "front");
    entry.slots = pipelinedRequests;
    entry.handler = [](const std::shared_ptr<incoming_call>& call) {
        const auto id = call->getRequest().fields.get("Request-Id");
        response_head head;
        head.fields.add("Request-Id", id);
        call->respond(head, std::string(id == "large" ? responseBytes : 1, 'x'));
    };
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("front", true));
    auto client = mesh.connectRawClient(entry);
    std::string requests;
    for (int index = 0; index < pipelinedRequests; ++index)
        requests += "GET / HTTP/1.1\r\nHost: shop\r\nRequest-Id: large\r\n\r\n";
    boost::asio::write(client, boost::asio::buffer(requests));
    mesh.runUntil([&] { return mesh.await(mesh.send(entry, "small")).head.status == 503; });
    client.close();
    mesh.runUntil([&] { return mesh.await(mesh.send(entry, "small")).head.status == 200; });
}

// The platform removes an instance from its list while a request runs there.
TEST(mesh_node, anInstanceThatIsNoLongerListedCompletesItsRequests)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& other = mesh.addVm("i-2", "orders");
    auto& alternative = mesh.addVm("i-3", "orders");
    other.handler = test_mesh::makeHoldingHandler(other);
    alternative.handler = test_mesh::makeHoldingHandler(alternative);
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    const auto running = mesh.send(entry, "id-1");
    mesh.runUntil([&] { return countReceived(other, alternative) == 1; });
    auto& runner = other.received.empty() ? alternative : other;
    entry.node->removeInstance(runner.id, {});
    runner.node->removeInstance(runner.id, {});
    int turns = 0;
    mesh.runUntil([&] { return ++turns > 50; });
    CHECK_EQUAL(1U, countReceived(other, alternative));
    test_mesh::makeRespondingHandler(200)(runner.held[0]);
    LONGS_EQUAL(200, mesh.await(running).head.status);
}

TEST(mesh_node, allNodesTogetherKeepToTheRateThatAnInstanceStates)
{
    std::vector<test_mesh::vm*> entries;
    for (const char* id : { "i-1", "i-2", "i-3" })
        entries.push_back(&mesh.addVm(id, "front"));
    auto& limited = mesh.addVm("i-4", "orders");
    limited.slots = 100;
    limited.handler = test_mesh::makeRespondingHandler(200, { { "Server-Limit", "1" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    for (const auto* entry : entries)
        mesh.await(mesh.send(*entry, "first-" + entry->id));
    limited.received.clear();
    const auto since = std::chrono::steady_clock::now();
    std::vector<std::size_t> clients;
    for (const auto* entry : entries) {
        for (const auto client : sendMany(*entry, 10))
            clients.push_back(client);
    }
    for (const auto client : clients)
        mesh.await(client);
    expectWithinRateLimit(limited.received.size(), 1, since);
}

// A restarted node has no response of its instance yet, but the other nodes have.
TEST(mesh_node, aRestartedNodeKeepsToTheRateThatOtherNodesKnow)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& limited = mesh.addVm("i-2", "orders");
    limited.slots = 100;
    limited.handler = test_mesh::makeRespondingHandler(200, { { "Server-Limit", "1" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    mesh.await(mesh.send(entry, "first"));
    mesh.restartNode(limited);
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    limited.handler = test_mesh::makeHoldingHandler(limited);
    const auto since = std::chrono::steady_clock::now();
    const auto clients = sendMany(entry, 20);
    mesh.runUntil([&] {
        const auto ended = std::count_if(clients.begin(), clients.end(),
            [&](std::size_t client) { return mesh.getResult(client).has_value(); });
        return static_cast<std::size_t>(ended) + limited.held.size() >= clients.size();
    });
    expectWithinRateLimit(limited.held.size(), 1, since);
}

TEST(mesh_node, doesNotSendARefusedRequestAgainBeyondTheRateLimit)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& limited = mesh.addVm("i-2", "orders");
    limited.handler = test_mesh::makeRespondingHandler(503, { { "Not-Run", "1" }, { "Server-Limit", "0" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    LONGS_EQUAL(503, mesh.await(mesh.send(entry, "id-1")).head.status);
    CHECK_EQUAL(1U, limited.received.size());
}

TEST(mesh_node, sendsAsBeforeOnceAnInstanceStatesNoRateLimit)
{
    auto& entry = mesh.addVm("i-1", "front");
    auto& limited = mesh.addVm("i-2", "orders");
    limited.handler = test_mesh::makeRespondingHandler(200, { { "Server-Limit", "10" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", true));
    mesh.await(mesh.send(entry, "limited"));
    limited.handler = test_mesh::makeRespondingHandler(200);
    mesh.runUntil([&] { return mesh.await(mesh.send(entry, "unlimited")).head.status == 200; });
    for (const auto client : sendMany(entry, 20))
        LONGS_EQUAL(200, mesh.await(client).head.status);
}

TEST(mesh_node, sendsNothingMoreToAnInstanceThatAnnouncesItsStop)
{
    auto& entry = mesh.addVm("i-1", "front", "a");
    auto& leaving = mesh.addVm("i-2", "orders", "a");
    auto& staying = mesh.addVm("i-3", "orders", "b");
    leaving.handler = test_mesh::makeRespondingHandler(200, { { "Server-Leaving", "1" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    mesh.await(mesh.send(entry, "first"));
    CHECK_EQUAL(1U, leaving.received.size());
    mesh.publishInstances(); // The platform still lists it as ready.
    for (const auto client : sendMany(entry, 10))
        LONGS_EQUAL(200, mesh.await(client).head.status);
    CHECK_EQUAL(1U, leaving.received.size());
    CHECK_EQUAL(10U, staying.received.size());
}

TEST(mesh_node, aRejectionAnnouncesTheStopOfAnInstanceToo)
{
    auto& entry = mesh.addVm("i-1", "front", "a");
    auto& leaving = mesh.addVm("i-2", "orders", "a");
    mesh.addVm("i-3", "orders", "b");
    leaving.handler = test_mesh::makeRespondingHandler(
        503, { { "Not-Run", "1" }, { "Server-Load", "2,1,2" }, { "Server-Leaving", "1" } });
    mesh.publishInstances();
    mesh.publishRules(test_mesh::makeRules("orders", false));
    for (const char* id : { "id-1", "id-2", "id-3" })
        LONGS_EQUAL(200, mesh.await(mesh.send(entry, id)).head.status);
    CHECK_EQUAL(1U, leaving.received.size());
}
