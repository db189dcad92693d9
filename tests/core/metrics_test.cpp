#include "core/metrics.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <stdexcept>

using namespace fuchsiagauge;

TEST_GROUP(metrics)
{
    metrics_registry registry;
    latency_distribution latency { milliseconds(1000) };

    void recordMany(double value, int count, double atMs)
    {
        for (int i = 0; i < count; ++i)
            latency.record(milliseconds(value), milliseconds(atMs));
    }
};

TEST(metrics, returnsTheSameMetricForTheSameNameAndLabels)
{
    auto& first = registry.getCounter("calls_total", "Calls.", { { "class", "order" } });
    for (int i = 0; i < 100; ++i)
        registry.getCounter("calls_total", "Calls.", { { "class", std::to_string(i) } });
    POINTERS_EQUAL(&first, &registry.getCounter("calls_total", "", { { "class", "order" } }));
    CHECK_THROWS(std::logic_error, registry.getGauge("calls_total", "Calls."));
}

TEST(metrics, formatsPrometheusText)
{
    registry.getCounter("b_total", "Calls\nof a class.", { { "class", "a\"b\\c\nd" }, { "zone", "z" } })
        .add(3);
    registry.getGauge("1a-x", "Limit.").set(2.5);
    registry.getLatency("c_ms", "Latency.", { { "class", "o" } }).record(milliseconds(4), milliseconds(0));
    STRCMP_EQUAL("# HELP _1a_x Limit.\n# TYPE _1a_x gauge\n_1a_x 2.5\n"
                 "# HELP b_total Calls\\nof a class.\n# TYPE b_total counter\n"
                 "b_total{class=\"a\\\"b\\\\c\\nd\",zone=\"z\"} 3\n"
                 "# HELP c_ms Latency.\n# TYPE c_ms summary\n"
                 "c_ms{class=\"o\",quantile=\"0.5\"} 4\nc_ms{class=\"o\",quantile=\"0.9\"} 4\n"
                 "c_ms{class=\"o\",quantile=\"0.99\"} 4\nc_ms{class=\"o\",quantile=\"1\"} 4\n"
                 "c_ms_sum{class=\"o\"} 4\nc_ms_count{class=\"o\"} 1\n",
        registry.formatPrometheusText(milliseconds(1)).c_str());
}

TEST(metrics, estimatesPercentiles)
{
    std::mt19937 random(7);
    for (int i = 0; i < 20000; ++i)
        latency.record(milliseconds(std::uniform_real_distribution<>(0, 100)(random)), milliseconds(0));
    const auto summary = latency.getSummary(milliseconds(0));
    CHECK_EQUAL(20000, summary.count);
    DOUBLES_EQUAL(50, summary.mean.getCount(), 2);
    DOUBLES_EQUAL(50, summary.p50.getCount(), 3);
    DOUBLES_EQUAL(90, summary.p90.getCount(), 3);
    DOUBLES_EQUAL(99, summary.p99.getCount(), 1);
    DOUBLES_EQUAL(100, summary.maximum.getCount(), 0.1);
}

TEST(metrics, dropsValuesOlderThanTheWindow)
{
    recordMany(100, 20, 0);
    recordMany(1, 20, 600);
    DOUBLES_EQUAL(100, latency.getSummary(milliseconds(700)).maximum.getCount(), 0);
    DOUBLES_EQUAL(1, latency.getSummary(milliseconds(1200)).maximum.getCount(), 0);
    CHECK_EQUAL(0, latency.getSummary(milliseconds(5000)).count);
    CHECK_EQUAL(40, latency.getTotalCount());
    DOUBLES_EQUAL(2020, latency.getTotalTime().getCount(), 0);
}

TEST(metrics, returnsTheMaximumAsQuantileOfFewValues)
{
    recordMany(3, 4, 0);
    latency.record(milliseconds(-1), milliseconds(0));
    DOUBLES_EQUAL(3, latency.getSummary(milliseconds(0)).p50.getCount(), 0);
    DOUBLES_EQUAL(2.4, latency.getSummary(milliseconds(0)).mean.getCount(), 1e-9);
}
