#pragma once

#include "core/clock.h"

namespace fuchsiagauge {

/// Adapts a target's concurrency limit from measured service times.
///
/// The mean service time of a window is the in-flight time over the completions (Little's law). A rise alone
/// does not lower the limit: a slow dependency raises it at any concurrency. The limit is halved for one
/// window and set back for another; only if the service time falls and rises with it is the target queueing.
/// Where too few requests would end at half the limit to tell, the rise is learned as normal instead.
class concurrency_limit {
public:
    /// @param minimum floor of the limit.
    /// @param maximum ceiling of the limit.
    concurrency_limit(int minimum, int maximum);

    /// Changes floor and ceiling; a limit above the ceiling falls at once, one below it grows by steps.
    /// @param minimum floor.
    /// @param maximum ceiling.
    /// @param isPublished whether the target stated the ceiling; queueing at the target is then unlikely, and
    /// only a large rise of the service time is looked into.
    void setBounds(int minimum, int maximum, bool isPublished);

    /// Lets slow start begin at a higher limit.
    void setSlowStartLimit(int limit);

    /// Counts a request that is handed to the target.
    void onStart(milliseconds now);

    /// Counts a request that ended.
    /// @param now the present instant.
    /// @param isSaturated whether the limit holds requests back at present.
    void onFinish(milliseconds now, bool isSaturated);

    /// Ends a probe that gets too few samples to tell, and takes the service time as the new normal one.
    void tick(milliseconds now);

    /// @return the limit.
    int get() const;

private:
    enum class phase {
        Measuring,
        Draining, ///< Waits until the in-flight count is down to the probe's limit.
        Probing, ///< Runs at half the limit to find the service time without queueing.
        Confirming, ///< Runs at the limit again, to compare with the probe.
    };

    bool isProbing() const { return m_phase == phase::Draining || m_phase == phase::Probing; }
    int getRequiredSamples() const;
    int getRequiredProbeSamples() const;
    bool isWindowOver(milliseconds now) const;
    void endWindow(milliseconds now);
    /// A queueing target ends as many requests at half the limit; one that waits for a slow dependency, which
    /// is likelier where the target stated its slots, half as many.
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
    double m_inFlightMs = 0; ///< In-flight count, summed over the window's time.
    int m_samples = 0;
    bool m_wasSaturated = false;
    double m_baselineMs = 0; ///< Service time without queueing; 0: not known.
    double m_probeTriggerMs = 0; ///< Service time that led to the probe.
    double m_probedMs = 0; ///< Service time during the probe.
    int m_windowsUntilProbe = 0;
    bool m_isPublished = false;
    bool m_isSlowStart = true;
};

} // namespace fuchsiagauge
