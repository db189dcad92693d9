#include "policy/reader_election.h"

#include <algorithm>
#include <memory>
#include <random>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagauge;

namespace {

constexpr int fleetSize = 790;
constexpr milliseconds step { 1000 };
constexpr double tenthOfThePlatformLimit = 200;
constexpr double platformLimit = 2000;

/// Nodes that call the platform as often as they are allowed to, each with its own view.
class election_fleet {
public:
    explicit election_fleet(unsigned seed)
        : m_random(seed)
    {
        for (int i = 0; i < fleetSize; ++i)
            m_nodes.push_back(std::make_unique<reader_election>(
                reader_election::options(), getName(i), [this] { return drawUniform(); }, m_now));
    }

    static std::string getName(int node) { return "node-" + std::to_string(node); }

    double drawUniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    /// Advances the virtual time by one second.
    /// @param getView returns a node's view of its zone.
    /// @return the number of calls of all nodes.
    template <typename View> int runSecond(const View& getView)
    {
        m_now = m_now + step;
        int calls = 0;
        for (int i = 0; i < fleetSize; ++i) {
            const auto& view = getView(i);
            auto& node = *m_nodes[static_cast<std::size_t>(i)];
            node.update(view, view.size(), view.size(), m_now);
            while (node.tryTakeCallPermit(m_now))
                ++calls;
        }
        return calls;
    }

    int countReaders() const
    {
        return static_cast<int>(std::count_if(m_nodes.begin(), m_nodes.end(),
            [](const auto& node) { return node->getRole() != reader_role::None; }));
    }

private:
    std::mt19937 m_random;
    milliseconds m_now { 1000 };
    std::vector<std::unique_ptr<reader_election>> m_nodes;
};

std::vector<std::string> makeNames(int count)
{
    std::vector<std::string> names(static_cast<std::size_t>(count));
    int node = 0;
    for (auto& name : names)
        name = election_fleet::getName(node++);
    return names;
}

/// @return the instances of a node's zone; the fleet has six zones.
const std::vector<std::string>& getZone(int node)
{
    constexpr int zoneCount = 6;
    static const auto zones = [] {
        std::vector<std::vector<std::string>> made(zoneCount);
        for (int i = 0; i < fleetSize; ++i)
            made[static_cast<std::size_t>(i % zoneCount)].push_back(election_fleet::getName(i));
        return made;
    }();
    return zones[static_cast<std::size_t>(node % zoneCount)];
}

} // namespace

TEST_GROUP(reader_election_rate) {};

TEST(reader_election_rate, hasTwoReadersInEachZone)
{
    election_fleet fleet(1);
    fleet.runSecond(getZone);
    LONGS_EQUAL(12, fleet.countReaders());
}

TEST(reader_election_rate, staysUnderATenthOfThePlatformLimitWhenAllPromoteThemselves)
{
    election_fleet fleet(2);
    int peak = 0;
    for (int second = 0; second < 300; ++second)
        peak = std::max(peak, fleet.runSecond(getZone));
    LONGS_EQUAL(fleetSize, fleet.countReaders());
    CHECK(peak <= tenthOfThePlatformLimit);
}

TEST(reader_election_rate, staysUnderATenthOfThePlatformLimitWhenEachNodeSeesOnlyItself)
{
    election_fleet fleet(3);
    int calls = 0;
    int peak = 0;
    constexpr int seconds = 300;
    for (int second = 0; second < seconds; ++second) {
        const int made = fleet.runSecond(
            [](int node) { return std::vector<std::string> { election_fleet::getName(node) }; });
        calls += made;
        peak = std::max(peak, made);
    }
    CHECK(calls <= seconds * tenthOfThePlatformLimit);
    CHECK(peak <= 2 * tenthOfThePlatformLimit);
}

TEST(reader_election_rate, staysUnderThePlatformLimitWithArbitraryViews)
{
    election_fleet fleet(4);
    int peak = 0;
    for (int second = 0; second < 60; ++second) {
        peak = std::max(peak, fleet.runSecond([&fleet](int node) {
            std::vector<std::string> view { election_fleet::getName(node) };
            for (int i = static_cast<int>(fleet.drawUniform() * 20); i > 0; --i)
                view.push_back(election_fleet::getName(static_cast<int>(fleet.drawUniform() * fleetSize)));
            return view;
        }));
    }
    CHECK(peak <= platformLimit);
}

TEST(reader_election_rate, promotesANodeThatKnowsOfNoReader)
{
    const bool hasPassed = rc::check("a node that knows of no reader promotes itself", [] {
        const auto zoneSize = *rc::gen::inRange(0, 40);
        const auto seed = *rc::gen::inRange(0U, 1000000U);
        std::mt19937 random(seed);
        const auto drawUniform = [&random] { return std::uniform_real_distribution<double>(0, 1)(random); };
        milliseconds now { 1000 };
        reader_election node({}, "self", drawUniform, now);
        const auto zone = makeNames(zoneSize);
        for (int second = 0; second < 61; ++second, now = now + step)
            node.update(zone, zone.size(), zone.size(), now);
        RC_ASSERT(node.getRole() != reader_role::None);
        RC_ASSERT(node.tryTakeCallPermit(now));
    });
    CHECK(hasPassed);
}

TEST(reader_election_rate, demotesAPromotedNodeWhenAnElectedReaderIsActive)
{
    milliseconds now { 1000 };
    reader_election node(
        {}, "self", [] { return 0.5; }, now);
    const auto zone = makeNames(100);
    for (int second = 0; second < 61; ++second, now = now + step)
        node.update(zone, 100, 100, now);
    CHECK(node.getRole() == reader_role::Promoted);
    node.mergeReaderStatus({ "node-1", true, milliseconds(500) }, now);
    node.update(zone, 100, 100, now);
    CHECK(node.getRole() == reader_role::None);
    STRCMP_EQUAL("node-1", node.getReaderStatus(now).instance.c_str());
}

TEST(reader_election_rate, promotesTheNextInstanceOfTheZoneWhenTheReadersAreUnresponsive)
{
    constexpr milliseconds limit { 15000 };
    const auto zone = makeNames(8);
    int promotedInTime = 0;
    for (const auto& self : zone) {
        milliseconds now { 1000 };
        reader_election node(
            {}, self, [] { return 0.5; }, now);
        for (int second = 0; second < 60; ++second, now = now + step) {
            node.mergeReaderStatus({ "reader", true, milliseconds(2000) }, now);
            node.update(zone, zone.size(), zone.size(), now);
        }
        const auto unresponsiveSince = now;
        while (node.getRole() == reader_role::None && now - unresponsiveSince < limit) {
            node.update(zone, zone.size(), zone.size(), now);
            now = now + step;
        }
        promotedInTime += now - unresponsiveSince < limit ? 1 : 0;
    }
    LONGS_EQUAL(8, promotedInTime);
}
