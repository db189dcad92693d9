#include "policy/call_tree_node.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr double minReportedLoad = 0.5; ///< Lower loads don't limit any entry.
    constexpr double runTimeWeight = 0.05; ///< Of the newest sample.
    constexpr milliseconds measuringTime { 100 }; ///< By which a measured load lags behind the calls.
    constexpr double callTimeShare = 0.5; ///< Calls are made about halfway through a run.

} // namespace

call_tree_node::call_tree_node(std::string service)
    : m_service(std::move(service))
{
}

void call_tree_node::onArrival(milliseconds now, int priority, milliseconds serviceTime)
{
    m_offered.onArrival(now, priority, serviceTime);
}

std::optional<bool> call_tree_node::isAdmitted(
    milliseconds now, const std::string& route, int priority, double fraction) const
{
    const auto needs = m_demand.getNeeds(route);
    const double share = m_admission.getShare(now, priority, needs);
    return share < 1 ? std::optional(fraction < share) : std::nullopt;
}

std::string call_tree_node::findBottleneck(milliseconds now, const std::string& route, int priority) const
{
    return m_admission.findBottleneck(now, priority, m_demand.getNeeds(route));
}

std::vector<service_need> call_tree_node::onReply(milliseconds now, int priority, const std::string& service,
    milliseconds serviceTime, const std::vector<service_capacity>& capacities)
{
    std::vector<service_need> needs { { service, 1, serviceTime } };
    const bool isLoadStated = std::any_of(capacities.begin(), capacities.end(),
        [&](const service_capacity& stated) { return stated.service == service; });
    if (!isLoadStated && m_admission.isInformed(now, priority, needs))
        m_admission.onLoad(now, priority, { service, minReportedLoad, {} });
    for (const auto& stated : capacities) {
        if (stated.load > 0)
            m_admission.onLoad(now, priority, { stated.service, stated.load, stated.age });
        if (stated.service != service && stated.calls > 0)
            addNeeds(needs, { { stated.service, stated.calls, stated.work } });
    }
    return needs;
}

void call_tree_node::onCompletion(
    const std::string& route, const std::vector<service_need>& needs, milliseconds runTime)
{
    if (needs.empty())
        return;
    m_demand.onCompletion(route, needs, runTime);
    m_runTime = m_runTime == milliseconds() ? runTime : m_runTime + (runTime - m_runTime) * runTimeWeight;
}

std::vector<service_capacity> call_tree_node::getCapacities(
    milliseconds now, const std::string& route, int priority, int slots) const
{
    const double ownLoad = m_offered.getLoad(now, priority, slots);
    const auto loads = m_admission.getLoads(now, priority);
    if (ownLoad < minReportedLoad && (loads.empty() || loads.front().load < minReportedLoad))
        return {};
    std::vector<service_capacity> capacities { { m_service, ownLoad, {}, 0, {} } };
    const auto needs = m_demand.getNeeds(route);
    for (const auto& known : loads) {
        const auto need = std::find_if(needs.begin(), needs.end(),
            [&](const service_need& candidate) { return candidate.service == known.service; });
        if (need != needs.end() && capacities.size() < maxReportedServices)
            capacities.push_back({ known.service, known.load, known.age, need->calls, need->work });
    }
    return capacities;
}

void call_tree_node::tick(milliseconds now)
{
    m_admission.tick(now, m_runTime * callTimeShare + measuringTime);
}

} // namespace fuchsiagauge
