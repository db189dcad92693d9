#include "core/metrics.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <stdexcept>
#include <variant>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds latencyWindow { 60000 };

    const char* getKindName(metric_kind kind)
    {
        switch (kind) {
        case metric_kind::Counter:
            return "counter";
        case metric_kind::Gauge:
            return "gauge";
        case metric_kind::Summary:
            break;
        }
        return "summary";
    }

    std::string formatNumber(double value)
    {
        char text[32];
        const auto [end, code] = std::to_chars(std::begin(text), std::end(text), value);
        return code == std::errc() ? std::string(text, end) : "0";
    }

    /// @return the name with every character that the Prometheus format does not allow replaced by `_`.
    std::string sanitizeName(std::string name)
    {
        const auto isAllowed = [](char character) {
            const auto lower = static_cast<char>(character | 0x20);
            return (lower >= 'a' && lower <= 'z') || (character >= '0' && character <= '9')
                || character == '_' || character == ':';
        };
        for (auto& character : name) {
            if (!isAllowed(character))
                character = '_';
        }
        const bool hasInvalidStart = name.empty() || (name.front() >= '0' && name.front() <= '9');
        return hasInvalidStart ? "_" + name : name;
    }

    std::string escapeText(const std::string& text, bool isLabel)
    {
        std::string escaped;
        for (const char character : text) {
            if (character == '\n')
                escaped += "\\n";
            else if (character == '\\' || (isLabel && character == '"'))
                escaped += { '\\', character };
            else
                escaped += character;
        }
        return escaped;
    }

    std::string formatLabels(const metric_labels& labels)
    {
        std::string text;
        for (const auto& label : labels)
            text += (text.empty() ? "" : ",") + sanitizeName(label.name) + "=\""
                + escapeText(label.value, true) + '"';
        return text;
    }

    /// Appends `name{labels} value`.
    void appendSample(
        std::string& out, const std::string& name, const std::string& labels, const std::string& value)
    {
        out += name;
        if (!labels.empty())
            out += '{' + labels + '}';
        out += ' ' + value + '\n';
    }

    void appendLatency(std::string& out, const std::string& name, const std::string& labels,
        const latency_distribution& distribution, milliseconds now)
    {
        const auto summary = distribution.getSummary(now);
        const auto appendQuantile = [&](const char* quantile, milliseconds value) {
            const auto label = (labels.empty() ? "" : labels + ',') + "quantile=\"" + quantile + '"';
            appendSample(out, name, label, formatNumber(value.getCount()));
        };
        appendQuantile("0.5", summary.p50);
        appendQuantile("0.9", summary.p90);
        appendQuantile("0.99", summary.p99);
        appendQuantile("1", summary.maximum);
        appendSample(out, name + "_sum", labels, formatNumber(distribution.getTotalTime().getCount()));
        appendSample(out, name + "_count", labels, std::to_string(distribution.getTotalCount()));
    }

} // namespace

struct metrics_registry::family {
    metric_kind kind = metric_kind::Counter;
    std::string help;
    std::map<std::string, std::unique_ptr<metric_counter>> counters;
    std::map<std::string, std::unique_ptr<metric_gauge>> gauges;
    std::map<std::string, std::unique_ptr<latency_distribution>> latencies;
};

struct metrics_registry::state {
    std::map<std::string, family> families;
};

metrics_registry::metrics_registry()
    : m_state(std::make_unique<state>())
{
}

metrics_registry::~metrics_registry() = default;

metrics_registry::family& metrics_registry::getFamily(
    const std::string& name, const std::string& help, metric_kind kind)
{
    const auto [found, isNew] = m_state->families.try_emplace(sanitizeName(name));
    auto& result = found->second;
    if (isNew) {
        result.kind = kind;
        result.help = help;
    }
    if (result.kind != kind)
        throw std::logic_error("the metric `" + name + "` is a " + getKindName(result.kind));
    return result;
}

metric_counter& metrics_registry::getCounter(
    const std::string& name, const std::string& help, const metric_labels& labels)
{
    auto& handle = getFamily(name, help, metric_kind::Counter).counters[formatLabels(labels)];
    if (!handle)
        handle = std::make_unique<metric_counter>();
    return *handle;
}

metric_gauge& metrics_registry::getGauge(
    const std::string& name, const std::string& help, const metric_labels& labels)
{
    auto& handle = getFamily(name, help, metric_kind::Gauge).gauges[formatLabels(labels)];
    if (!handle)
        handle = std::make_unique<metric_gauge>();
    return *handle;
}

latency_distribution& metrics_registry::getLatency(
    const std::string& name, const std::string& help, const metric_labels& labels)
{
    auto& handle = getFamily(name, help, metric_kind::Summary).latencies[formatLabels(labels)];
    if (!handle)
        handle = std::make_unique<latency_distribution>(latencyWindow);
    return *handle;
}

std::string metrics_registry::formatPrometheusText(milliseconds now) const
{
    std::string out;
    for (const auto& [name, family] : m_state->families) {
        out += "# HELP " + name + ' ' + escapeText(family.help, false) + '\n';
        out += "# TYPE " + name + ' ' + getKindName(family.kind) + '\n';
        for (const auto& [labels, counter] : family.counters)
            appendSample(out, name, labels, std::to_string(counter->get()));
        for (const auto& [labels, gauge] : family.gauges)
            appendSample(out, name, labels, formatNumber(gauge->get()));
        for (const auto& [labels, latency] : family.latencies)
            appendLatency(out, name, labels, *latency, now);
    }
    return out;
}

} // namespace fuchsiagauge
