#pragma once

#include "core/clock.h"

#include <map>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// Expected duration of a request at an instance. The logarithm of the duration is taken to be normally
/// distributed.
struct run_time_estimate {
    double logMean = 0; ///< Mean of the natural logarithm of the duration in milliseconds.
    double logVariance = 0;

    /// @return the mean duration.
    milliseconds getMean() const;

    /// @return the probability that a request takes longer than `limit`, 0 to 1.
    double getExcessProbability(milliseconds limit) const;
};

/// Learns how long the requests of each route take at each instance.
///
/// Requests of different routes take very different times, and an instance rarely serves all of them often.
/// So a duration is modelled as that of the route times the slowness of the instance, and both are learned
/// from all samples.
class run_time_model {
public:
    /// Records the duration of a request that did not wait for a slot.
    void record(const std::string& instance, const std::string& route, milliseconds duration);

    /// @return the expected duration; nothing if no request of the route has ended yet.
    std::optional<run_time_estimate> estimate(const std::string& instance, const std::string& route) const;

    /// @return the mean logarithm of the duration of a route's requests at an instance of average speed; 0 if
    /// none has ended.
    double getUsualLogMean(const std::string& route) const;

    /// @return the mean duration of a route's requests at an instance of average speed; 0 if none has ended.
    milliseconds getUsualTime(const std::string& route) const;

    /// Reduces what is known of the slowness of an instance, so that new samples count for more.
    /// @param share what remains, 0 to 1.
    void fade(const std::string& instance, double share);

    /// Removes what is known of an instance.
    void forget(const std::string& instance) { m_instances.erase(instance); }

private:
    struct route_stats {
        double logMean = 0; ///< At an instance of average speed.
        double logVariance = 0;
        int samples = 0;
    };

    struct instance_stats {
        double logSlowness = 0; ///< Logarithm of the factor on the duration of any route.
        double samples = 0;
    };

    std::map<std::string, route_stats> m_routes;
    std::map<std::string, instance_stats> m_instances;
};

} // namespace fuchsiagauge
