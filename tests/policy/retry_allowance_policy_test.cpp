#include "policy/retry_allowance_policy.h"

#include <random>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h> // Redefines new, so it must come last.

using namespace fuchsiagauge;

TEST_GROUP(retry_allowance_policy) {};

namespace {

/// A call tree in which every node has its own policy, and responses fail or are lost at random.
class call_tree {
public:
    call_tree(unsigned seed, int depth, int fanOut, double failureShare, double lossShare)
        : m_random(seed)
        , m_depth(depth)
        , m_fanOut(fanOut)
        , m_failureShare(failureShare)
        , m_lossShare(lossShare)
    {
    }

    /// @return the allowance left at the edge after the request.
    int run(int allowance) { return runNode(0, allowance).unspent; }

    int getRetries() const { return m_retries; }

private:
    struct outcome {
        int unspent;
        bool isSuccess;
    };

    struct pending_attempt {
        int call;
        int grantedRetries;
    };

    bool drawChance(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }

    outcome runNode(int level, int allowance)
    {
        retry_allowance_policy policy;
        policy.open("work", allowance);
        std::vector<pending_attempt> openAttempts;
        const int calls = level == m_depth ? 0 : 1 + static_cast<int>(m_random() % m_fanOut);
        openAttempts.reserve(static_cast<std::size_t>(calls));
        for (int call = 0; call < calls; ++call)
            openAttempts.push_back({ call, *policy.beginAttempt("work", false) });
        bool isSuccess = !drawChance(m_failureShare);
        while (!openAttempts.empty() && m_retries < maxRetries) {
            std::swap(openAttempts[m_random() % openAttempts.size()], openAttempts.back());
            const auto attempt = openAttempts.back();
            openAttempts.pop_back();
            const auto response = runNode(level + 1, attempt.grantedRetries);
            const bool isLost = drawChance(m_lossShare);
            policy.endAttempt(
                "work", attempt.grantedRetries, isLost ? std::nullopt : std::optional<int>(response.unspent));
            if (!isLost && response.isSuccess)
                continue;
            if (const auto grantedRetries = policy.beginAttempt("work", true)) {
                ++m_retries;
                openAttempts.push_back({ attempt.call, *grantedRetries });
                continue;
            }
            isSuccess = false;
        }
        return { policy.close("work"), isSuccess };
    }

    static constexpr int maxRetries = 1000; ///< Stops a run in which the policy fails to limit the retries.

    std::mt19937 m_random;
    int m_depth;
    int m_fanOut;
    double m_failureShare;
    double m_lossShare;
    int m_retries = 0;
};

} // namespace

TEST(retry_allowance_policy, keepsTheWholeTreeWithinTheAllowance)
{
    const bool hasPassed = rc::check("spent and unspent retries together never exceed the allowance", [] {
        const int allowance = *rc::gen::inRange(0, 11);
        const int depth = *rc::gen::inRange(1, 6);
        const int fanOut = *rc::gen::inRange(1, 4);
        const double failureShare = *rc::gen::inRange(0, 11) / 10.0;
        const double lossShare = *rc::gen::inRange(0, 11) / 10.0;
        call_tree tree(*rc::gen::arbitrary<unsigned>(), depth, fanOut, failureShare, lossShare);
        const int unspent = tree.run(allowance);
        RC_ASSERT(unspent >= 0);
        RC_ASSERT(tree.getRetries() + unspent <= allowance);
        RC_ASSERT(lossShare > 0 || tree.getRetries() + unspent == allowance);
    });
    CHECK(hasPassed);
}

TEST(retry_allowance_policy, keepsAChainOfFourteenWithinTheAllowance)
{
    for (unsigned seed = 0; seed < 200; ++seed) {
        call_tree tree(seed, 14, 1, 0.3, 0.1);
        tree.run(2);
        CHECK(tree.getRetries() <= 2);
    }
}

TEST(retry_allowance_policy, grantsTheLastRetryToTheDeepestLevel)
{
    int allowance = 1;
    for (int level = 0; level < 14; ++level) {
        retry_allowance_policy policy;
        policy.open("work", allowance);
        allowance = *policy.beginAttempt("work", false);
    }
    LONGS_EQUAL(1, allowance);
}

TEST(retry_allowance_policy, grantsNoRetriesForUnregisteredRequests)
{
    retry_allowance_policy policy;
    CHECK(policy.beginAttempt("none", false) == std::optional<int>(0));
    CHECK(!policy.beginAttempt("none", true));
    policy.endAttempt("none", 3, 3);
    LONGS_EQUAL(0, policy.close("none"));
    LONGS_EQUAL(0, policy.getSize());
}

TEST(retry_allowance_policy, creditsNoMoreThanIsOutstanding)
{
    struct row {
        int grantedRetries;
        std::optional<int> unspent;
        int left;
    };
    const row rows[] = {
        { 2, 2, 4 }, // All granted retries are returned.
        { 2, 9, 4 }, // More is returned than was granted.
        { 9, 9, 4 }, // The grant was never made.
        { 2, std::nullopt, 2 }, // The response was lost.
        { 2, -5, 2 }, // The unspent number is negative.
        { -3, 3, 2 }, // The granted number is negative.
    };
    for (const auto& row : rows) {
        retry_allowance_policy policy;
        policy.open("work", 4);
        LONGS_EQUAL(2, *policy.beginAttempt("work", false));
        policy.endAttempt("work", row.grantedRetries, row.unspent);
        policy.endAttempt("work", row.grantedRetries, row.unspent);
        LONGS_EQUAL(row.left, policy.close("work"));
    }
}

TEST(retry_allowance_policy, ignoresASecondRegistration)
{
    retry_allowance_policy policy;
    policy.open("work", 1);
    policy.open("work", 10);
    LONGS_EQUAL(1, policy.close("work"));
}

TEST(retry_allowance_policy, clampsAGrantAboveTheRemainingAllowance)
{
    retry_allowance_policy policy([](int) { return 100; });
    policy.open("work", 3);
    LONGS_EQUAL(3, *policy.beginAttempt("work", false));
    CHECK(!policy.beginAttempt("work", true));
}
