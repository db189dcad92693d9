#include "policy/slot_gate.h"
#include "tests/policy/target_model.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h> // Redefines new, so it must come last.

using namespace fuchsiagauge;

namespace {

constexpr int slots = 10;
constexpr double serviceMs = 20; ///< The capacity is 500 requests per second.
constexpr milliseconds maxWait { 300 };

/// Requests of some organisations at one gate, in virtual time.
class competing_organisations {
public:
    struct load {
        double perSecond = 0;
        double work = 1; ///< Work of a request relative to `serviceMs`.
        bool retriesAtOnce = false; ///< Sends a refused request again after 1 ms, up to 20 times.
    };

    struct counts {
        int offered = 0;
        int started = 0;
        double getStartedShare() const { return static_cast<double>(started) / offered; }
    };

    competing_organisations() { m_gate.setSlots(slots, m_loop.now()); }

    void add(const std::string& organisation, double fromMs, double untilMs, const load& offered)
    {
        m_loop.at(milliseconds(fromMs), [=] { arrive(organisation, untilMs, offered); });
    }

    /// @return what happened to the requests that arrived since the last call.
    std::map<std::string, counts> run(double untilMs)
    {
        m_counts.clear();
        while (m_loop.now() < milliseconds(untilMs)) {
            m_loop.runUntil(m_loop.now() + milliseconds(10));
            m_gate.tick(m_loop.now());
        }
        return m_counts;
    }

private:
    void arrive(const std::string& organisation, double untilMs, const load& offered)
    {
        if (m_loop.now() >= milliseconds(untilMs))
            return;
        ++m_counts[organisation].offered;
        constexpr int maxRetries = 20;
        submit(organisation, offered, offered.retriesAtOnce ? maxRetries : 0);
        m_loop.after(m_random.getExponential(1000 / offered.perSecond),
            [=] { arrive(organisation, untilMs, offered); });
    }

    void submit(const std::string& organisation, const load& offered, int retriesLeft)
    {
        const auto id = ++m_lastId;
        const int rank = static_cast<int>(m_random.getUniform() * 1024);
        m_gate.submit(m_loop.now(), { id, 0, 0, rank, m_loop.now() + maxWait, organisation },
            [=](std::optional<error_kind> refusal) {
                if (refusal && retriesLeft > 0)
                    m_loop.after(1, [=] { submit(organisation, offered, retriesLeft - 1); });
                if (refusal)
                    return;
                ++m_counts[organisation].started;
                const double holdMs = serviceMs * offered.work;
                m_loop.after(holdMs, [=] { m_gate.finish(m_loop.now(), milliseconds(holdMs), id); });
            });
    }

    event_loop m_loop;
    seeded_random m_random { 3 };
    slot_gate m_gate;
    std::uint64_t m_lastId = 0;
    std::map<std::string, counts> m_counts;
};

} // namespace

TEST_GROUP(gate_fairness) { competing_organisations model; };

/// Guards against an organisation that sends far more than before and takes the slots of the others.
TEST(gate_fairness, servesTheOthersDuringTheSurgeOfOneOrganisation)
{
    model.add("surging", 0, 3000, { 50 });
    model.add("surging", 3000, 8000, { 2000 });
    for (const char* name : { "a", "b", "c" })
        model.add(name, 0, 8000, { 80 });
    model.run(3000);
    auto counts = model.run(8000);
    for (const char* name : { "a", "b", "c" })
        CHECK(counts[name].getStartedShare() >= 0.99);
    CHECK(counts["surging"].started
        >= 0.95 * (2500 - counts["a"].started - counts["b"].started - counts["c"].started));
}

/// Guards against a surge after a quiet time that keeps an organisation at full load waiting.
TEST(gate_fairness, servesAnOrganisationAtFullLoadWhenAnotherOneStarts)
{
    model.add("steady", 0, 6000, { 480 });
    model.add("new", 5000, 6000, { 2000 });
    model.run(5000);
    auto counts = model.run(6000);
    CHECK(counts["steady"].started >= 0.4 * 500);
    CHECK(counts["new"].started >= 0.4 * 500);
}

/// Guards against an organisation that gains slots by sending refused requests again at once.
TEST(gate_fairness, givesNothingForImmediateRetries)
{
    model.add("retrying", 0, 5000, { 600, 1, true });
    model.add("patient", 0, 5000, { 600 });
    auto counts = model.run(5000);
    DOUBLES_EQUAL(1, static_cast<double>(counts["retrying"].started) / counts["patient"].started, 0.1);
}

/// Guards against organisations that gain work by sending few but long requests.
TEST(gate_fairness, dividesWorkAndNotRequests)
{
    model.add("long", 0, 10000, { 300, 4 });
    model.add("short", 0, 10000, { 1000 });
    model.run(2000);
    auto counts = model.run(10000);
    DOUBLES_EQUAL(4, static_cast<double>(counts["short"].started) / counts["long"].started, 0.6);
}

TEST(gate_fairness, keepsTheOrderOfRanksWithOneOrganisation)
{
    slot_gate gate;
    std::vector<std::uint64_t> started;
    const milliseconds now { 1000 };
    const int ranks[] = { 0, 7, 3, 9, 5 };
    std::uint64_t id = 0;
    for (const int rank : ranks) {
        ++id;
        gate.submit(now, { id, 0, 0, rank, now + milliseconds(10000), "a" },
            [&started, id](std::optional<error_kind>) { started.push_back(id); });
    }
    for (int count = 0; count < 4; ++count)
        gate.finish(now, milliseconds(10), started.back());
    CHECK((std::vector<std::uint64_t> { 1, 3, 5, 2, 4 }) == started);
}

TEST(gate_fairness, refusesTheOrganisationThatReceivedMostWhenTimeIsShort)
{
    slot_gate gate;
    std::map<std::uint64_t, bool> refused;
    const milliseconds now { 1000 };
    const auto submit = [&](std::uint64_t id, const char* organisation, double waitMs) {
        gate.submit(now, { id, 0, 0, 0, now + milliseconds(waitMs), organisation },
            [&refused, id](std::optional<error_kind> refusal) { refused[id] = refusal.has_value(); });
    };
    submit(1, "a", 1000);
    gate.finish(now + milliseconds(100), milliseconds(100), 1);
    submit(2, "a", 1000);
    submit(3, "a", 150);
    CHECK(refused.count(3) == 0);
    submit(4, "b", 150);
    CHECK(refused[3]);
    CHECK(refused.count(4) == 0);
}
