#include "policy/downstream_level.h"

#include <CppUTest/TestHarness.h> // Redefines new, so it must come last.

using namespace fuchsiagauge;

TEST_GROUP(downstream_level) {};

namespace {

constexpr std::uint32_t browsing = 100U << 16U;
constexpr std::uint32_t orders = 900U << 16U;

/// Sends requests of both classes; a share of the browsing requests fails downstream.
class caller {
public:
    /// @return the share of browsing requests that was admitted.
    double run(int durationMs, int failuresOfTen)
    {
        int admitted = 0;
        for (int step = 0; step < durationMs; ++step) {
            const milliseconds now(m_nowMs++);
            const auto hash = static_cast<std::uint32_t>(m_nowMs * 40503) % 65536;
            if (m_level.admit(now, browsing + hash)) {
                ++admitted;
                m_level.onEnd(browsing + hash, static_cast<int>(hash % 10) >= failuresOfTen);
            }
            if (!m_level.admit(now, orders + hash))
                ++m_refusedOrders;
            m_level.onEnd(orders + hash, true);
            m_level.tick(now);
        }
        return static_cast<double>(admitted) / durationMs;
    }

    int getRefusedOrders() const { return m_refusedOrders; }
    std::uint32_t getLowestClassLevel() const { return m_level.getLowestClassLevel(); }

private:
    downstream_level m_level;
    int m_nowMs = 0;
    int m_refusedOrders = 0;
};

} // namespace

TEST(downstream_level, refusesOnlyTheFailingClass)
{
    caller tested;
    DOUBLES_EQUAL(1, tested.run(2000, 0), 0);
    tested.run(2000, 10);
    const double share = tested.run(2000, 10);
    CHECK(share <= 0.05);
    CHECK(share >= 0.005);
    CHECK(tested.getLowestClassLevel() > browsing);
    LONGS_EQUAL(0, tested.getRefusedOrders());
}

TEST(downstream_level, admitsEverythingAgainAfterRecovery)
{
    caller tested;
    tested.run(4000, 10);
    tested.run(2000, 0);
    DOUBLES_EQUAL(1, tested.run(2000, 0), 0);
    LONGS_EQUAL(0, tested.getLowestClassLevel());
}

TEST(downstream_level, admitsAClassWithOccasionalFailures)
{
    caller tested;
    DOUBLES_EQUAL(1, tested.run(4000, 4), 0);
}
