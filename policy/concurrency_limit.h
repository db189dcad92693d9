#pragma once

#include "core/clock.h"

namespace fuchsiagauge {

/// Adapts a target's concurrency limit from measured service times.
///
/// The mean service time of a window is the in-flight time divided by the completions (Little's law). A rise
/// alone does not lower the limit, because a slow dependency raises the service time at any concurrency.
/// Instead, a probe halves the limit for one window and restores it for another. The target is queueing only
/// if the service time falls and rises with the limit. If too few requests would end during a probe for a
/// reliable result, the higher service time becomes the new baseline instead.
class concurrency_limit {
public:
    /// @param minimum the lowest limit, at least 1.
    /// @param maximum the highest limit.
    concurrency_limit(int minimum, int maximum);

    /// Changes the bounds. A limit above the new maximum falls immediately; one below it grows step by step.
    /// @param minimum the lowest limit.
    /// @param maximum the highest limit.
    /// @param isPublished whether the maximum comes from the target's published slots. Queueing at the target
    /// is then unlikely, and only a large rise of the service time triggers a probe.
    void setBounds(int minimum, int maximum, bool isPublished);

    /// Raises the limit to this value while slow start lasts.
    void setSlowStartLimit(int limit);

    /// Counts a request that is sent to the target.
    void onStart(milliseconds now);

    /// Counts a request that ended.
    /// @param now the current time.
    /// @param isSaturated whether the limit is reached or requests are queued.
    void onFinish(milliseconds now, bool isSaturated);

    /// Ends a probe that gets too few samples within its maximum duration, and makes the service time that
    /// triggered it the new baseline.
    void tick(milliseconds now);

    /// @return the current limit, which is lower during a probe.
    int get() const;

private:
    enum class phase {
        Measuring, ///< Runs at the normal limit.
        Draining, ///< Waits until the in-flight count has fallen to the probe's limit.
        Probing, ///< Runs at half the limit to measure the service time without queueing.
        Confirming, ///< Runs at the normal limit again, for comparison with the probe.
    };

    bool isProbing() const { return m_phase == phase::Draining || m_phase == phase::Probing; }
    int getRequiredSamples() const;
    int getRequiredProbeSamples() const;
    bool isWindowOver(milliseconds now) const;
    void endWindow(milliseconds now);
    /// @return whether enough requests would end within a probe. At half the limit, a queueing target
    /// completes as many requests as before. A target that waits for a slow dependency, which is more likely
    /// if it publishes its slots, completes half as many.
    bool canProbe(milliseconds now) const;
    void endMeasuring(milliseconds now, double meanMs);
    void endConfirming(double meanMs);
    void beginWindow(milliseconds now);
    void addInFlightTime(milliseconds now);
    void updateBaseline(double meanMs);
    void grow();

    double m_minimum;
    double m_maximum;
    double m_limit;
    phase m_phase = phase::Measuring;
    int m_inFlight = 0;
    milliseconds m_windowStart;
    milliseconds m_countedUntil;
    double m_inFlightMs = 0; ///< Integral of the in-flight count over the window.
    int m_samples = 0;
    bool m_wasSaturated = false;
    double m_baselineMs = 0; ///< Service time without queueing; 0: not known.
    double m_probeTriggerMs = 0; ///< Service time that triggered the probe.
    double m_probedMs = 0; ///< Service time during the probe.
    int m_windowsUntilProbe = 0;
    bool m_isPublished = false;
    bool m_isSlowStart = true;
};

} // namespace fuchsiagauge
