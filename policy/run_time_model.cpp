#include "policy/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace fuchsiagauge {
namespace {

    constexpr double shortestDurationMs = 1; ///< Keeps the logarithm finite.
    /// Weights of the newest sample in the moving averages. Instances change their speed more often than
    /// routes change their duration.
    constexpr double routeWeight = 0.02;
    constexpr double instanceWeight = 0.05;
    /// Assumed until there are enough samples; run times usually spread by about a factor of two.
    constexpr double initialLogVariance = 0.5;

    /// @return the weight of a sample: that of a plain average at first, then the given one.
    double getWeight(double steadyWeight, double earlierSamples)
    {
        return std::max(steadyWeight, 1.0 / (earlierSamples + 1));
    }

} // namespace

milliseconds run_time_estimate::getMean() const { return milliseconds(std::exp(logMean + logVariance / 2)); }

double run_time_estimate::getExcessProbability(milliseconds limit) const
{
    if (limit.getCount() <= 0)
        return 1;
    const double distance = std::log(limit.getCount()) - logMean;
    if (logVariance <= 0)
        return distance < 0 ? 1 : 0;
    return std::erfc(distance / std::sqrt(2 * logVariance)) / 2;
}

void run_time_model::record(const std::string& instance, const std::string& route, milliseconds duration)
{
    const double sample = std::log(std::max(duration.getCount(), shortestDurationMs));
    auto& routeStats = m_routes[route];
    auto& instanceStats = m_instances[instance];
    if (routeStats.samples == 0) {
        routeStats.logMean = sample - instanceStats.logSlowness;
        routeStats.logVariance = initialLogVariance;
    }
    const double deviation = sample - routeStats.logMean - instanceStats.logSlowness;
    const double weight = getWeight(routeWeight, routeStats.samples);
    routeStats.logMean += weight * deviation;
    // The first samples also differ by the slowness of the instances, which is not known yet.
    routeStats.logVariance += routeWeight * (deviation * deviation - routeStats.logVariance);
    instanceStats.logSlowness += getWeight(instanceWeight, instanceStats.samples + 1) * deviation;
    ++routeStats.samples;
    ++instanceStats.samples;
}

void run_time_model::fade(const std::string& instance, double share)
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return;
    found->second.logSlowness *= share;
    found->second.samples *= share;
}

milliseconds run_time_model::getUsualTime(const std::string& route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end()
        ? milliseconds()
        : run_time_estimate { found->second.logMean, found->second.logVariance }.getMean();
}

double run_time_model::getUsualLogMean(const std::string& route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? 0 : found->second.logMean;
}

std::optional<run_time_estimate> run_time_model::estimate(
    const std::string& instance, const std::string& route) const
{
    const auto routeStats = m_routes.find(route);
    if (routeStats == m_routes.end())
        return std::nullopt;
    const auto instanceStats = m_instances.find(instance);
    const double logSlowness = instanceStats == m_instances.end() ? 0 : instanceStats->second.logSlowness;
    return run_time_estimate { routeStats->second.logMean + logSlowness, routeStats->second.logVariance };
}

} // namespace fuchsiagauge
