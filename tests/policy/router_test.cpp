#include "policy/naive_policies.h"
#include "policy/router.h"
#include "tests/policy/target_model.h"

#include <cstdio>
#include <map>
#include <memory>

#include <CppUTest/TestHarness.h> // Redefines new, so it comes last.

using namespace fuchsiagauge;

TEST_GROUP(router) {};
TEST_GROUP(router_faults) {};

namespace {

constexpr double deadlineMs = 1000;
constexpr int instanceLimit = 10;

/// How a simulated instance reacts to a call.
struct reaction {
    enum class kind {
        Answer,
        ServerError, ///< A 5xx status of the target.
        Refused, ///< The connection is refused.
        NoResponse, ///< No response until the deadline.
    };

    kind what = kind::Answer;
    double latencyMs = 20;
};

using reaction_hook = std::function<reaction(double sinceFaultMs)>;

const reaction_hook unreachable = [](double) { return reaction { reaction::kind::Refused, 0.1 }; };
const reaction_hook frozen = [](double) { return reaction { reaction::kind::NoResponse, deadlineMs }; };
const reaction_hook slow = [](double) { return reaction { reaction::kind::Answer, 200 }; };
const reaction_hook failing = [](double) { return reaction { reaction::kind::ServerError, 1 }; };
const reaction_hook halfFailing = [](double sinceMs) {
    return static_cast<int>(sinceMs * 1000) % 2 == 0 ? failing(sinceMs) : reaction {};
};
const reaction_hook flapping = [](double sinceMs) {
    return static_cast<int>(sinceMs / 1000) % 2 == 0 ? unreachable(sinceMs) : reaction {};
};
const reaction_hook cold = [](double sinceMs) {
    return reaction { reaction::kind::Answer, sinceMs < 3000 ? 300.0 : 20.0 };
};

instance_view makeInstance(const std::string& id, const std::string& region, const std::string& zone)
{
    instance_view instance;
    instance.id = id;
    instance.service = "store";
    instance.region = region;
    instance.zone = zone;
    instance.startNumber = 1;
    return instance;
}

/// @return a fleet with two instances in each of three availability zones: the router's own (a), another one
/// of its region (b) and one of another region (c).
fleet_view makeFleet()
{
    fleet_view fleet;
    for (const auto& instance : { makeInstance("a1", "zapad", "z1"), makeInstance("a2", "zapad", "z1"),
             makeInstance("b1", "zapad", "z2"), makeInstance("b2", "zapad", "z2"),
             makeInstance("c1", "vychod", "v1"), makeInstance("c2", "vychod", "v1") })
        fleet.instances[instance.id] = instance;
    return fleet;
}

routing_request makeRequest(std::uint32_t rank = 1)
{
    routing_request request;
    request.service = "store";
    request.rank = rank;
    return request;
}

/// Outcome counts of the calls made during one run.
struct call_count {
    int calls = 0;
    int attempts = 0;
    int served = 0;
    std::map<std::string, int> attemptsByInstance;

    double getServedShare() const { return static_cast<double>(served) / calls; }

    double getShare(const std::string& idPrefix) const
    {
        int sum = 0;
        for (const auto& [id, count] : attemptsByInstance)
            sum += id.compare(0, idPrefix.size(), idPrefix) == 0 ? count : 0;
        return attempts == 0 ? 0 : static_cast<double>(sum) / attempts;
    }
};

/// Simulates a caller's router and instances with injected faults. A call that fails with an error is retried
/// once on another instance; one without a response is not.
class routing_model {
public:
    routing_model(unsigned seed, bool isNaive, router_switches switches = {})
        : m_random(seed)
        , m_fleet(makeFleet())
    {
        if (isNaive)
            m_router = std::make_unique<naive_router>();
        else
            m_router = std::make_unique<router>(
                "zapad", "z1", [this] { return m_random.getUniform(); }, switches);
        m_loop.after(1, [this] { call(); });
    }

    void setFault(const std::string& id, const reaction_hook& fault)
    {
        m_faults[id] = fault;
        m_faultAt = m_loop.now();
    }

    void clearFaults() { m_faults.clear(); }

    void restart(const std::string& id) { ++m_fleet.instances.at(id).startNumber; }

    /// Advances the simulation.
    /// @return the counts of the calls that start in this time, including those that end later.
    std::shared_ptr<const call_count> run(double seconds)
    {
        m_count = std::make_shared<call_count>();
        m_loop.runUntil(m_loop.now() + milliseconds(seconds * 1000));
        return m_count;
    }

    routing_policy& get() { return *m_router; }
    milliseconds now() const { return m_loop.now(); }
    const fleet_view& getFleet() const { return m_fleet; }

private:
    void call()
    {
        constexpr double callsPerSecond = 400;
        m_loop.after(m_random.getExponential(1000 / callsPerSecond), [this] { call(); });
        ++m_count->calls;
        attempt(m_count, {}, 1);
    }

    void attempt(
        const std::shared_ptr<call_count>& count, const std::vector<std::string>& excluded, int retries)
    {
        auto request = makeRequest();
        request.excluded = excluded;
        const auto chosen = m_router->choose(m_loop.now(), request, m_fleet);
        if (!chosen)
            return;
        const auto& id = *chosen;
        ++count->attempts;
        ++count->attemptsByInstance[id];
        ++m_inFlight[id];
        m_router->onSend(id, m_loop.now());
        const auto fault = m_faults.find(id);
        const double sinceMs = (m_loop.now() - m_faultAt).getCount();
        const auto reacted = fault == m_faults.end() ? reaction {} : fault->second(sinceMs);
        m_loop.after(reacted.latencyMs, [this, count, id, reacted, excluded, retries] {
            if (reportOutcome(id, reacted)) {
                ++count->served;
                return;
            }
            auto tried = excluded;
            tried.push_back(id);
            if (retries > 0 && reacted.what != reaction::kind::NoResponse)
                attempt(count, tried, retries - 1);
        });
    }

    /// Reports the outcome of a call to the router.
    /// @return whether the call was answered successfully.
    bool reportOutcome(const std::string& id, const reaction& reacted)
    {
        node_report report;
        report.inFlight = --m_inFlight[id];
        report.limit = instanceLimit;
        report.startNumber = m_fleet.instances.at(id).startNumber;
        const milliseconds latency(reacted.latencyMs);
        switch (reacted.what) {
        case reaction::kind::Answer:
            m_router->onResponse(id, m_loop.now(), report, latency, true);
            return true;
        case reaction::kind::NoResponse:
            m_router->onFailure(id, m_loop.now(), error_kind::AnswerTimeout);
            return false;
        case reaction::kind::ServerError:
            m_router->onResponse(id, m_loop.now(), report, latency, false);
            return false;
        case reaction::kind::Refused:
            m_router->onFailure(id, m_loop.now(), error_kind::TargetUnreachable);
            break;
        }
        return false;
    }

    event_loop m_loop;
    seeded_random m_random;
    fleet_view m_fleet;
    std::unique_ptr<routing_policy> m_router;
    std::map<std::string, reaction_hook> m_faults;
    milliseconds m_faultAt;
    std::map<std::string, int> m_inFlight;
    std::shared_ptr<call_count> m_count = std::make_shared<call_count>();
};

/// A combination of faults and the expected routing.
struct fault_case {
    const char* name;
    std::map<std::string, reaction_hook> faults;
    const char* watched; ///< Id or id prefix of the instances whose share of the attempts is checked.
    double minShare;
    double maxShare;
    double minServed; ///< Fraction of the calls served while the fault lasts.
};

const std::vector<fault_case>& getFaultCases()
{
    static const std::vector<fault_case> cases = {
        { "none: own zone only", {}, "a", 0.99, 1, 1 },
        { "slow: less than an equal share", { { "a1", slow } }, "a1", 0.01, 0.25, 1 },
        { "unreachable: probes only", { { "a1", unreachable } }, "a1", 0, 0.02, 0.999 },
        { "frozen: probes only", { { "a1", frozen } }, "a1", 0, 0.02, 0.99 },
        { "flapping: reinstated slowly", { { "a1", flapping } }, "a1", 0, 0.5, 0.999 },
        { "every answer a server error: probes only", { { "a1", failing } }, "a1", 0, 0.02, 0.999 },
        { "half of the answers server errors", { { "a1", halfFailing } }, "a1", 0, 0.2, 0.99 },
        { "cold: a small share for the cold instance", { { "a1", cold } }, "a2", 0.45, 1, 1 },
        { "other zone cut off", { { "b1", unreachable }, { "b2", unreachable } }, "b", 0, 0.02, 0.999 },
        { "other region cut off", { { "c1", unreachable }, { "c2", unreachable } }, "c", 0, 0.02, 0.999 },
        { "own zone cut off: own region", { { "a1", unreachable }, { "a2", unreachable } }, "b", 0.95, 1,
            0.99 },
        { "own zone frozen: own region", { { "a1", frozen }, { "a2", frozen } }, "b", 0.95, 1, 0.98 },
        { "own region cut off: other region",
            { { "a1", unreachable }, { "a2", unreachable }, { "b1", unreachable }, { "b2", unreachable } },
            "c", 0.4, 1, 0.9 },
        { "frozen and failing: probes only to the frozen one", { { "a1", frozen }, { "b1", failing } }, "a1",
            0, 0.02, 0.99 },
        { "frozen and failing: probes only to the failing one", { { "a1", frozen }, { "b1", failing } }, "b1",
            0, 0.02, 0.99 },
        { "slow and unreachable", { { "a1", slow }, { "a2", unreachable } }, "b", 0.5, 1, 0.99 },
        { "flapping and frozen", { { "a1", flapping }, { "a2", frozen } }, "a2", 0, 0.02, 0.98 },
    };
    return cases;
}

void checkFaultCase(const fault_case& testCase, unsigned seed)
{
    routing_model model(seed, false);
    model.run(10);
    for (const auto& [id, fault] : testCase.faults)
        model.setFault(id, fault);
    const auto first = model.run(10);
    const auto rest = model.run(10);
    model.clearFaults();
    model.run(5);
    const auto after = model.run(5);
    model.run(deadlineMs / 1000);
    const double served = static_cast<double>(first->served + rest->served) / (first->calls + rest->calls);
    const double share = rest->getShare(testCase.watched);
    char text[200];
    std::snprintf(text, sizeof text, "%s, seed %u: served %.4f, share of %s %.4f", testCase.name, seed,
        served, testCase.watched, share);
    CHECK_TEXT(served >= testCase.minServed, text);
    CHECK_TEXT(share >= testCase.minShare && share <= testCase.maxShare, text);
    std::snprintf(text, sizeof text, "%s, seed %u, after: served %.4f, share of a1 %.4f, of a2 %.4f",
        testCase.name, seed, after->getServedShare(), after->getShare("a1"), after->getShare("a2"));
    CHECK_TEXT(after->getServedShare() >= 0.999, text);
    CHECK_TEXT(after->getShare("a1") >= 0.4 && after->getShare("a2") >= 0.4, text);
}

std::optional<std::string> chooseOnce(
    router& tested, double nowMs, const fleet_view& fleet, std::uint32_t rank)
{
    return tested.choose(milliseconds(nowMs), makeRequest(rank), fleet);
}

/// Makes every instance report an admission level.
void reportLevel(router& tested, double nowMs, const fleet_view& fleet, std::uint32_t level)
{
    node_report report;
    report.admissionLevel = level;
    report.limit = instanceLimit;
    report.startNumber = 1;
    for (const auto& [id, instance] : fleet.instances) {
        tested.onSend(id, milliseconds(nowMs));
        tested.onResponse(id, milliseconds(nowMs), report, milliseconds(1), true);
    }
}

} // namespace

TEST(router_faults, routesAroundEachFault)
{
    for (const auto& testCase : getFaultCases()) {
        for (const unsigned seed : { 1U, 2U, 3U })
            checkFaultCase(testCase, seed);
    }
}

TEST(router_faults, theNaiveRouterKeepsUsingAFailingInstance)
{
    for (const auto& fault : { unreachable, frozen, failing }) {
        routing_model naive(1, true);
        naive.setFault("a1", fault);
        const auto count = naive.run(10);
        CHECK(count->getShare("a1") > 0.1);
    }
}

TEST(router_faults, ejectsAtMostHalfOfTheInstancesWhenAllFail)
{
    routing_model model(1, false);
    model.run(5);
    for (const auto& [id, instance] : model.getFleet().instances)
        model.setFault(id, failing);
    const auto count = model.run(10);
    CHECK(count->attempts >= count->calls);
    int ejected = 0;
    for (const auto& instance : model.get().describe("store", model.now(), model.getFleet()).instances)
        ejected += instance.isEjected ? 1 : 0;
    CHECK(ejected <= 3);
    model.clearFaults();
    model.run(2);
    const auto after = model.run(5);
    model.run(1);
    CHECK(after->getServedShare() >= 0.999);
}

TEST(router_faults, givesARestartedInstanceASmallShareAtFirst)
{
    routing_model model(1, false);
    model.run(10);
    model.setFault("a1", unreachable);
    model.run(5);
    model.clearFaults();
    model.restart("a1");
    CHECK(model.run(0.2)->getShare("a1") < 0.35);
    model.run(5);
    CHECK(model.run(5)->getShare("a1") >= 0.4);
}

TEST(router_faults, reportsAFailingInstanceAsUnusable)
{
    routing_model model(1, false);
    model.run(5);
    CHECK(model.get().isUsable("a1", model.now()));
    model.setFault("a1", unreachable);
    model.run(5);
    CHECK(!model.get().isUsable("a1", model.now()));
    model.clearFaults();
    model.run(10);
    CHECK(model.get().isUsable("a1", model.now()));
}

TEST(router, sendsNothingToALeavingInstance)
{
    routing_model model(1, false);
    model.run(1);
    model.get().onLeaving("a1");
    DOUBLES_EQUAL(0, model.run(5)->getShare("a1"), 0);
    model.restart("a1");
    model.run(5);
    CHECK(model.run(5)->getShare("a1") >= 0.4);
}

TEST(router, shedsRefusedRanksExceptForProbes)
{
    const auto fleet = makeFleet();
    router tested("zapad", "z1", [] { return 0.5; });
    reportLevel(tested, 0, fleet, 100);
    CHECK(chooseOnce(tested, 10, fleet, 100).has_value());
    CHECK(!chooseOnce(tested, 10, fleet, 99));
    CHECK(getLastError().kind == error_kind::Shed);
    int passed = 0;
    for (int index = 0; index < 1000; ++index) {
        const double nowMs = 10 + index;
        const auto chosen = chooseOnce(tested, nowMs, fleet, 99);
        if (!chosen)
            continue;
        ++passed;
        tested.onSend(*chosen, milliseconds(nowMs));
    }
    CHECK(passed >= 6);
    CHECK(passed <= 40);
    reportLevel(tested, 1100, fleet, 0);
    CHECK(chooseOnce(tested, 1110, fleet, 99).has_value());
}

TEST(router, ignoresAnExpiredAdmissionLevel)
{
    const auto fleet = makeFleet();
    router tested("zapad", "z1", [] { return 0.5; });
    reportLevel(tested, 0, fleet, 100);
    CHECK(chooseOnce(tested, 6000, fleet, 1).has_value());
}

TEST(router, failsWithNoTarget)
{
    auto fleet = makeFleet();
    router tested("zapad", "z1", [] { return 0.5; });
    auto request = makeRequest();
    request.service = "none";
    CHECK(!tested.choose(milliseconds(0), request, fleet));
    CHECK(getLastError().kind == error_kind::NoTarget);
    request = makeRequest();
    request.excluded = { "a1", "a2", "b1", "b2" };
    request.mayCrossRegions = false;
    CHECK(!tested.choose(milliseconds(0), request, fleet));
    request.mayCrossRegions = true;
    CHECK(tested.choose(milliseconds(0), request, fleet).has_value());
    for (auto& [id, instance] : fleet.instances)
        instance.state = instance_state::Leaving;
    CHECK(!chooseOnce(tested, 0, fleet, 1));
}

TEST(router, spillsOverWhenTheNearInstancesAreAtTheirLimit)
{
    const auto fleet = makeFleet();
    router tested("zapad", "z1", [] { return 0.5; });
    reportLevel(tested, 0, fleet, 0);
    std::map<char, int> byZone;
    for (int call = 0; call < 6 * instanceLimit; ++call) {
        const auto chosen = chooseOnce(tested, 3000, fleet, 1);
        tested.onSend(*chosen, milliseconds(3000));
        ++byZone[chosen->front()];
    }
    for (const char zone : { 'a', 'b', 'c' })
        LONGS_EQUAL(2 * instanceLimit, byZone[zone]);
}
