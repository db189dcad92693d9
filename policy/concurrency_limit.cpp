#include "policy/concurrency_limit.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double initialLimit = 10;
    constexpr double growthFactor = 1.05; ///< Per saturated window, after slow start.
    constexpr double slowStartFactor = 2; ///< Per saturated window, during slow start.
    constexpr double probeLimitFactor = 0.5; ///< The limit during a probe, relative to the normal limit.
    /// A service time above the baseline by this factor triggers a probe.
    constexpr double probeTriggerFactor = 1.3;
    /// Replaces probeTriggerFactor if the target publishes its slots.
    constexpr double publishedProbeTriggerFactor = 2;
    /// The target is not queueing if the service time during the probe is at least this share of the service
    /// time at the normal limit.
    constexpr double noQueueingRatio = 0.8;
    constexpr double headroomFactor = 1.05; ///< Leaves room above the limit that the probe suggests.
    constexpr double baselineFallWeight = 0.2; ///< Weight of a sample below the baseline.
    constexpr double baselineRiseWeight = 0.1; ///< Weight of a sample above the baseline.
    /// Samples per window during slow start, or once a window reaches its maximum duration.
    constexpr int minSamples = 20;
    constexpr int steadySamples = 100; ///< Per window after slow start.
    constexpr int probeSamples = 100;
    constexpr int windowsBetweenProbes = 10;
    constexpr milliseconds maxWindowDuration { 1000 };
    constexpr milliseconds maxProbeDuration { 2000 };

} // namespace

concurrency_limit::concurrency_limit(int minimum, int maximum)
    : m_minimum(std::max(1, minimum))
    , m_maximum(std::max(m_minimum, static_cast<double>(maximum)))
    , m_limit(std::clamp(initialLimit, m_minimum, m_maximum))
{
}

void concurrency_limit::setBounds(int minimum, int maximum, bool isPublished)
{
    m_isPublished = isPublished;
    m_minimum = std::max(1, minimum);
    m_maximum = std::max(m_minimum, static_cast<double>(maximum));
    m_limit = std::clamp(m_limit, m_minimum, m_maximum);
}

void concurrency_limit::setSlowStartLimit(int limit)
{
    if (m_isSlowStart)
        m_limit = std::clamp(std::max(m_limit, static_cast<double>(limit)), m_minimum, m_maximum);
}

int concurrency_limit::get() const
{
    return static_cast<int>(std::max(m_minimum, m_limit * (isProbing() ? probeLimitFactor : 1)));
}

void concurrency_limit::onStart(milliseconds now)
{
    addInFlightTime(now);
    ++m_inFlight;
}

void concurrency_limit::onFinish(milliseconds now, bool isSaturated)
{
    addInFlightTime(now);
    m_inFlight = std::max(0, m_inFlight - 1);
    m_wasSaturated = m_wasSaturated || isSaturated;
    ++m_samples;
    if (m_phase == phase::Draining && m_inFlight <= get()) {
        m_phase = phase::Probing;
        beginWindow(now);
        return;
    }
    if (m_phase != phase::Draining && isWindowOver(now))
        endWindow(now);
}

void concurrency_limit::tick(milliseconds now)
{
    if (m_phase == phase::Measuring || now - m_windowStart <= maxProbeDuration)
        return;
    m_phase = phase::Measuring;
    m_baselineMs = m_probeTriggerMs;
    m_windowsUntilProbe = windowsBetweenProbes;
    beginWindow(now);
}

int concurrency_limit::getRequiredSamples() const
{
    if (m_phase != phase::Measuring)
        return getRequiredProbeSamples();
    return std::max(2 * static_cast<int>(m_limit), m_isSlowStart ? minSamples : steadySamples);
}

int concurrency_limit::getRequiredProbeSamples() const
{
    return std::max(2 * static_cast<int>(m_limit), probeSamples);
}

bool concurrency_limit::isWindowOver(milliseconds now) const
{
    if (m_samples >= getRequiredSamples())
        return true;
    const bool isLong = m_phase == phase::Measuring && now - m_windowStart >= maxWindowDuration;
    return isLong && m_samples >= minSamples;
}

void concurrency_limit::endWindow(milliseconds now)
{
    const double meanMs = m_inFlightMs / m_samples;
    if (m_phase == phase::Probing) {
        m_probedMs = meanMs;
        m_phase = phase::Confirming;
    } else if (m_phase == phase::Confirming) {
        endConfirming(meanMs);
    } else {
        endMeasuring(now, meanMs);
    }
    beginWindow(now);
}

bool concurrency_limit::canProbe(milliseconds now) const
{
    const double completionsPerMs = m_samples / (now - m_windowStart).getCount();
    const double share = m_isPublished ? probeLimitFactor : 1;
    return completionsPerMs * share * maxProbeDuration.getCount() >= getRequiredProbeSamples();
}

void concurrency_limit::endMeasuring(milliseconds now, double meanMs)
{
    const double factor = m_isPublished ? publishedProbeTriggerFactor : probeTriggerFactor;
    const bool hasRisen = m_wasSaturated && m_baselineMs > 0 && meanMs > m_baselineMs * factor;
    m_windowsUntilProbe = std::max(0, m_windowsUntilProbe - 1);
    if (hasRisen && canProbe(now)) {
        m_probeTriggerMs = meanMs;
        if (m_windowsUntilProbe == 0)
            m_phase = phase::Draining;
        return;
    }
    updateBaseline(meanMs);
    if (m_wasSaturated)
        grow();
}

void concurrency_limit::endConfirming(double meanMs)
{
    m_phase = phase::Measuring;
    m_windowsUntilProbe = windowsBetweenProbes;
    const double ratio = m_probedMs / meanMs;
    if (ratio >= noQueueingRatio) {
        m_baselineMs = (m_probedMs + meanMs) / 2;
        return;
    }
    m_baselineMs = m_probedMs;
    m_limit = std::max(m_minimum, m_limit * std::max(probeLimitFactor, ratio * headroomFactor));
    m_isSlowStart = false;
}

void concurrency_limit::beginWindow(milliseconds now)
{
    m_windowStart = now;
    m_countedUntil = now;
    m_inFlightMs = 0;
    m_samples = 0;
    m_wasSaturated = false;
}

void concurrency_limit::addInFlightTime(milliseconds now)
{
    m_inFlightMs += m_inFlight * (now - m_countedUntil).getCount();
    m_countedUntil = now;
}

void concurrency_limit::updateBaseline(double meanMs)
{
    if (m_baselineMs == 0)
        m_baselineMs = meanMs;
    else
        m_baselineMs
            += (meanMs < m_baselineMs ? baselineFallWeight : baselineRiseWeight) * (meanMs - m_baselineMs);
}

void concurrency_limit::grow()
{
    const double grown = m_limit * (m_isSlowStart ? slowStartFactor : growthFactor);
    m_limit = std::min(m_maximum, std::max(grown, m_limit + 1));
    if (m_limit == m_maximum)
        m_isSlowStart = false;
}

} // namespace fuchsiagauge
