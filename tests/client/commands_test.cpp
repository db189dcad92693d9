#include "client/command_line.h"
#include "client/exit_code.h"
#include "core/audit_trail.h"
#include "core/explanation.h"
#include "core/node_status.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include <CppUTest/TestHarness.h> // Must be included last: it redefines `new` as a macro.

using namespace fuchsiagauge;
using json = nlohmann::json;

namespace {

const char exampleDocument[] = FUCHSIAGAUGE_SOURCE_DIR "/docs/examples/vysivka.json";
const char otherDocument[] = FUCHSIAGAUGE_SOURCE_DIR "/docs/examples/cutworks.json";

node_status makeStatus(const std::string& instance, const std::string& zone, std::uint64_t revision)
{
    node_status status;
    status.instance = instance;
    status.service = "orders";
    status.region = "zapad";
    status.zone = zone;
    status.startNumber = 5;
    status.configuration = { "peak", revision, "d" + std::to_string(revision), false, "" };
    status.control.readers = { "orders-1" };
    return status;
}

std::string makeAuditPage(
    const std::string& instance, std::uint64_t startNumber, std::uint64_t firstMs, int count)
{
    audit_page page { instance, startNumber, 1, {} };
    for (int i = 1; i <= count; ++i)
        page.entries.push_back({ static_cast<std::uint64_t>(i), firstMs + 10ULL * i, instance,
            audit_event::NodeStarted, "", "", 0 });
    return formatAuditPage(page);
}

} // namespace

TEST_GROUP(client)
{
    std::map<std::string, fetch_result> responses; // Keys have the form "ip:port path".
    std::vector<std::string> requestedKeys;
    std::ostringstream out;
    std::ostringstream err;
    milliseconds now;
    std::function<void()> onSleep = [] {};

    void setResponse(const std::string& key, const std::string& body, int status = 200)
    {
        responses[key] = { {}, true, status, body, {} };
    }

    std::vector<fetch_result> fetch(const std::vector<fetch_request>& requests)
    {
        std::vector<fetch_result> results;
        for (const auto& request : requests) {
            const auto key = formatAddress(request.node) + ' ' + request.path;
            requestedKeys.push_back(key);
            const auto found = responses.find(key);
            results.push_back(found != responses.end()
                    ? found->second
                    : fetch_result { {}, false, 0, "", { error_kind::TargetUnreachable, "refused" } });
            results.back().node = request.node;
        }
        return results;
    }

    int run(std::vector<const char*> arguments)
    {
        out.str("");
        err.str("");
        arguments.insert(arguments.begin(), "fuchsiagauge");
        const client_environment environment { [this](const auto& requests, milliseconds) {
                                                  return fetch(requests);
                                              },
            [this](milliseconds pause) {
                now = now + pause;
                onSleep();
            },
            [this] { return now; }, out, err };
        return runCommandLine(environment, static_cast<int>(arguments.size()), arguments.data());
    }

    json runJson(std::vector<const char*> arguments, int expectedCode)
    {
        arguments.push_back("--json");
        CHECK_EQUAL(expectedCode, run(arguments));
        return json::parse(out.str());
    }
};

TEST(client, returnsTwoOnUsageErrors)
{
    const std::vector<std::vector<const char*>> invalidCommandLines = { {}, { "dance" }, { "status" },
        { "check" }, { "check", "/nowhere" }, { "status", "--node", "1.2.3.4" },
        { "status", "--nodes-from", "/nowhere" }, { "top", "--node", "1.2.3.4:5", "--interval-ms", "0" },
        { "completion", "fish" }, { "diff", exampleDocument } };
    for (const auto& arguments : invalidCommandLines) {
        CHECK_EQUAL(ExitUsage, run(arguments));
        CHECK(!err.str().empty());
    }
    CHECK_EQUAL(ExitSuccess, run({ "--help" }));
    CHECK_EQUAL(ExitSuccess, run({ "--version" }));
}

TEST(client, checksAndComparesDocuments)
{
    CHECK_EQUAL(ExitSuccess, run({ "check", exampleDocument, "--strict" }));
    STRCMP_CONTAINS("valid; presets maintenance, ordinary, peak; in force: ordinary", out.str().c_str());
    CHECK(runJson({ "check", exampleDocument }, ExitSuccess)["valid"] == true);
    CHECK_EQUAL(ExitProblemFound, run({ "check", FUCHSIAGAUGE_SOURCE_DIR "/Makefile" }));
    STRCMP_CONTAINS("fault: not JSON", out.str().c_str());
    CHECK_EQUAL(ExitSuccess, run({ "diff", exampleDocument, exampleDocument }));
    CHECK_EQUAL(ExitProblemFound, run({ "diff", exampleDocument, otherDocument }));
    STRCMP_CONTAINS("In force: service `proofs` is removed.", out.str().c_str());
    CHECK(runJson({ "diff", exampleDocument, otherDocument }, ExitProblemFound).size() > 3);
}

TEST(client, statusShowsOutdatedNodesAndPartitions)
{
    auto behind = makeStatus("orders-2", "zapad-b", 41);
    behind.control.cutOffZones = { "zapad-a" };
    setResponse("1.1.1.1:1 /status", formatNodeStatus(makeStatus("orders-1", "zapad-a", 42)));
    setResponse("1.1.1.1:2 /status", formatNodeStatus(behind));
    CHECK_EQUAL(ExitProblemFound, run({ "status", "--node", "1.1.1.1:1", "--node", "1.1.1.1:2" }));
    STRCMP_CONTAINS("preset peak, revision 42: in force on 1 of 2 nodes queried, 1 behind, 0 unreached",
        out.str().c_str());
    STRCMP_CONTAINS("orders-2: behind: revision 41, the newest is 42; it has not received the newer document "
                    "yet (in availability zone zapad-b, cut off from availability zone zapad-a)",
        out.str().c_str());
    const auto report = runJson({ "status", "--node", "1.1.1.1:1", "--node", "1.1.1.1:3" }, ExitUnreachable);
    CHECK_EQUAL(1, report["unreached"].get<int>());
    CHECK_EQUAL(ExitSuccess, run({ "status", "--node", "1.1.1.1:1" }));
}

TEST(client, statusReportsDifferentDocumentsWithOneRevision)
{
    auto other = makeStatus("orders-2", "zapad-b", 42);
    other.configuration.digest = "x";
    setResponse("1.1.1.1:1 /status", formatNodeStatus(makeStatus("orders-1", "zapad-a", 42)));
    setResponse("1.1.1.1:2 /status", formatNodeStatus(other));
    CHECK_EQUAL(ExitProblemFound, run({ "status", "--node", "1.1.1.1:1", "--node", "1.1.1.1:2" }));
    STRCMP_CONTAINS(
        "fleet: revision 42 refers to 2 different documents on different nodes", out.str().c_str());
}

TEST(client, topShowsRatesBetweenRefreshes)
{
    auto status = makeStatus("orders-1", "zapad-a", 42);
    status.classes = { { "order", 100, 90, 10, 0 } };
    setResponse("1.1.1.1:1 /status", formatNodeStatus(status));
    onSleep = [&] {
        status.classes = { { "order", 300, 190, 110, 0 } };
        setResponse("1.1.1.1:1 /status", formatNodeStatus(status));
    };
    const auto view
        = runJson({ "top", "--node", "1.1.1.1:1", "--interval-ms", "2000", "--count", "1" }, ExitSuccess);
    DOUBLES_EQUAL(100, view["rates"][0]["offered_per_second"].get<double>(), 1e-9);
    DOUBLES_EQUAL(50, view["rates"][0]["shed_per_second"].get<double>(), 1e-9);
}

TEST(client, whyPrintsExplanationOfEachNode)
{
    setResponse("1.1.1.1:1 /why/order",
        formatExplanation({ "orders-1", "order", explanation_kind::Class, { "Because." } }));
    setResponse(
        "1.1.1.1:1 /why/a%2Fb", formatExplanation({ "orders-1", "a/b", explanation_kind::Nothing, {} }));
    CHECK_EQUAL(ExitSuccess, run({ "why", "order", "--node", "1.1.1.1:1" }));
    STRCMP_EQUAL("orders-1:\n  Because.\n", out.str().c_str());
    CHECK_EQUAL(ExitProblemFound, run({ "why", "a/b", "--node", "1.1.1.1:1" }));
    setResponse("1.1.1.1:1 /why/order", "<html>");
    CHECK_EQUAL(ExitBadResponse, run({ "why", "order", "--node", "1.1.1.1:1" }));
    setResponse("1.1.1.1:1 /why/order", "{}", 404);
    CHECK_EQUAL(ExitBadResponse, run({ "why", "order", "--node", "1.1.1.1:1" }));
}

TEST(client, auditMergesTrailsByTime)
{
    setResponse("1.1.1.1:1 /audit?after=0", makeAuditPage("orders-1", 5, 1000, 2));
    setResponse("1.1.1.1:2 /audit?after=0", makeAuditPage("orders-2", 5, 1005, 1));
    CHECK_EQUAL(ExitSuccess, run({ "audit", "--node", "1.1.1.1:1", "--node", "1.1.1.1:2" }));
    STRCMP_EQUAL("1970-01-01T00:00:01.010Z orders-1 node-started revision=0\n"
                 "1970-01-01T00:00:01.015Z orders-2 node-started revision=0\n"
                 "1970-01-01T00:00:01.020Z orders-1 node-started revision=0\n",
        out.str().c_str());
}

TEST(client, auditFollowsNodeAcrossRestart)
{
    setResponse("1.1.1.1:1 /audit?after=0", makeAuditPage("orders-1", 5, 1000, 2));
    onSleep = [&] {
        setResponse("1.1.1.1:1 /audit?after=0", makeAuditPage("orders-1", 6, 9000, 1));
        setResponse("1.1.1.1:1 /audit?after=2", formatAuditPage({ "orders-1", 6, 1, {} }));
        setResponse("1.1.1.1:1 /audit?after=1", formatAuditPage({ "orders-1", 6, 1, {} }));
    };
    CHECK_EQUAL(ExitSuccess, run({ "audit", "--follow", "--count", "3", "--json", "--node", "1.1.1.1:1" }));
    const auto lines = out.str();
    CHECK_EQUAL(3, std::count(lines.begin(), lines.end(), '\n'));
    STRCMP_CONTAINS("\"wall_time_ms\":9010", out.str().c_str());
}

TEST(client, ticketAsksNextNodeWhenOneIsUnreachable)
{
    setResponse("1.1.1.1:2 /fuchsiagauge/tickets/t1~a", "{\"state\":\"answered\"}");
    CHECK_EQUAL(ExitSuccess, run({ "ticket", "t1~a", "--node", "1.1.1.1:1", "--node", "1.1.1.1:2" }));
    STRCMP_CONTAINS("answered: The order ran once", out.str().c_str());
    setResponse("1.1.1.1:2 /fuchsiagauge/tickets/t1~a", "{\"state\":\"unknown\"}");
    CHECK_EQUAL(ExitProblemFound, run({ "ticket", "t1~a", "--node", "1.1.1.1:2" }));
    setResponse("1.1.1.1:2 /fuchsiagauge/tickets/t1~a", "{\"state\":\"dinner\"}");
    CHECK_EQUAL(ExitBadResponse, run({ "ticket", "t1~a", "--node", "1.1.1.1:2" }));
    CHECK_EQUAL(ExitUnreachable, run({ "ticket", "t1~a", "--node", "1.1.1.1:9" }));
}

TEST(client, completionListsEveryCommand)
{
    for (const auto* shell : { "bash", "zsh" }) {
        CHECK_EQUAL(ExitSuccess, run({ "completion", shell }));
        for (const auto* word :
            { "check", "diff", "status", "top", "why", "audit", "ticket", "--follow", "--node" })
            STRCMP_CONTAINS(word, out.str().c_str());
    }
}

TEST(client, placeShowsWhereARequestGoes)
{
    setResponse("1.2.3.4:5 /place?host=shop&path=%2Fa%26b",
        R"({"node":"n-1","zone":"a","route":"orders","admission":{"accepted":true,"status":200,"reason":"",)"
        R"("priority":2},"quota":{"rate_per_s":5.0,"burst":2.0},"services":[{"service":"orders","weight":1.0,)"
        R"("chosen":"i-1","why":"lowest cost","candidates":[{"instance":"i-1","zone":"a","state":"filling",)"
        R"("cost_ms":12.34,"distance_ms":0,"wait_ms":0,"run_ms":0,"failure_ms":0,"introduction_ms":0,)"
        R"("expected_run_ms":null,"load":null}],"left_out":[{"instance":"i-2","zone":"b","state":"full",)"
        R"("cost_ms":1,"distance_ms":0,"wait_ms":0,"run_ms":0,"failure_ms":0,"introduction_ms":0,)"
        R"("expected_run_ms":null,"load":{"busy":1,"waiting":0,"usable_slots":4,"slots":4,)"
        R"("limit_per_s":null,"age_ms":3.0},"reason":"avoided"}]}]})");
    CHECK_EQUAL(ExitSuccess, run({ "place", "--node", "1.2.3.4:5", "--host", "shop", "--path", "/a&b" }));
    STRCMP_CONTAINS("route orders, priority 2, accepted, quota 5.0/s, burst 2.0", out.str().c_str());
    STRCMP_CONTAINS("i-1, lowest cost", out.str().c_str());
    STRCMP_CONTAINS("12.3", out.str().c_str());
    STRCMP_CONTAINS("avoided", out.str().c_str());
    setResponse("1.2.3.4:5 /place?service=a", R"({"error":"no"})", 400);
    CHECK_EQUAL(ExitBadResponse, run({ "place", "--node", "1.2.3.4:5", "--service", "a" }));
    STRCMP_CONTAINS("HTTP status 400: no", err.str().c_str());
    setResponse("1.2.3.4:5 /place?service=b", "[]");
    CHECK_EQUAL(ExitBadResponse, run({ "place", "--node", "1.2.3.4:5", "--service", "b" }));
    CHECK_EQUAL(ExitUsage, run({ "place", "--node", "1.2.3.4:5", "--host", "shop" }));
}
