#include "tests/policy/chain_model.h"

#include <cstdio>

#include <CppUTest/TestHarness.h> // Redefines new, so it must come last.

using namespace fuchsiagauge;

TEST_GROUP(chain) {};

namespace {

constexpr double minGoodputShare = 0.95; ///< Relative to the naive goodput at full load.
constexpr double minImportantShare = 0.99;
constexpr double maxWastedShare = 0.05;

/// Averages over several seeds; the number of attempts is the maximum.
struct chain_result {
    double goodputShare = 0; ///< Share of the deepest hop's capacity.
    double importantShare = 0;
    double wastedShare = 0;
    int maxDeepestHopAttempts = 0;
};

chain_result runChain(chain_setup setup)
{
    constexpr double seconds = 20;
    constexpr int seedCount = 4;
    chain_result result;
    for (int seed = 1; seed <= seedCount; ++seed) {
        setup.seed = static_cast<unsigned>(seed);
        chain_model model(setup);
        model.run(5);
        const auto count = model.run(seconds);
        model.run(3);
        const int served = count->important.served + count->sheddable.served;
        result.goodputShare += served / seconds / chain_model::getCapacity() / seedCount;
        result.importantShare += count->important.getServedShare() / seedCount;
        result.wastedShare += chain_model::getWastedShare(*count, seconds) / seedCount;
        result.maxDeepestHopAttempts = std::max(result.maxDeepestHopAttempts, count->maxDeepestHopAttempts);
    }
    return result;
}

const char* describe(double load, const chain_result& result)
{
    static char text[200];
    std::snprintf(text, sizeof text, "load %.0f: goodput %.4f, important %.4f, wasted %.4f, attempts %d",
        load, result.goodputShare, result.importantShare, result.wastedShare, result.maxDeepestHopAttempts);
    return text;
}

} // namespace

TEST(chain, keepsGoodputAndImportantWorkAtEveryLoad)
{
    chain_setup setup;
    setup.isNaive = true;
    const double best = runChain(setup).goodputShare;
    setup.isNaive = false;
    for (const double load : { 2.0, 5.0, 10.0 }) {
        setup.load = load;
        const auto result = runChain(setup);
        CHECK_TEXT(result.goodputShare >= minGoodputShare * best, describe(load, result));
        CHECK_TEXT(result.importantShare >= minImportantShare, describe(load, result));
        CHECK_TEXT(result.wastedShare <= maxWastedShare, describe(load, result));
        CHECK_TEXT(result.maxDeepestHopAttempts <= 1 + setup.retries, describe(load, result));
    }
}

TEST(chain, collapsesWithTheNaivePolicies)
{
    chain_setup setup;
    setup.isNaive = true;
    setup.load = 2;
    const auto result = runChain(setup);
    CHECK_TEXT(result.goodputShare < 0.5, describe(2, result));
    LONGS_EQUAL((1 + setup.retries) * (1 + setup.retries), result.maxDeepestHopAttempts);
}

TEST(chain, wastesWorkWithoutTheDownstreamLevel)
{
    chain_setup setup;
    setup.load = 10;
    setup.switches.hasDownstreamLevel = false;
    const auto result = runChain(setup);
    CHECK_TEXT(result.wastedShare > maxWastedShare, describe(10, result));
}

TEST(chain, losesImportantWorkWithoutRankOrder)
{
    chain_setup setup;
    setup.load = 5;
    setup.switches.hasRankOrder = false;
    const auto result = runChain(setup);
    CHECK_TEXT(result.importantShare < minImportantShare, describe(5, result));
}

TEST(chain, returnsToNormalAfterOverload)
{
    chain_setup setup;
    setup.load = 10;
    chain_model model(setup);
    model.run(10);
    model.setLoad(0.7);
    model.run(2);
    const auto count = model.run(10);
    model.run(2);
    CHECK(count->sheddable.getServedShare() >= minGoodputShare);
    CHECK(count->important.getServedShare() >= minImportantShare);
}
