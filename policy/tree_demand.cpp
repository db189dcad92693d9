#include "policy/tree_demand.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double retainedShare = 0.98; ///< Weight that the earlier requests keep with each new one.
    constexpr std::size_t maxRoutes = 64; ///< Further routes are treated as unknown.
    constexpr double negligibleCalls = 0.01; ///< Services that are called less often are forgotten.

} // namespace

void addNeeds(std::vector<service_need>& total, const std::vector<service_need>& added)
{
    for (const auto& need : added) {
        const auto known = std::find_if(total.begin(), total.end(),
            [&](const service_need& candidate) { return candidate.service == need.service; });
        if (known != total.end()) {
            known->calls += need.calls;
            known->work = known->work + need.work;
        } else if (total.size() < maxNeededServices) {
            total.push_back(need);
        }
    }
}

void tree_demand::onCompletion(
    const std::string& route, const std::vector<service_need>& needs, milliseconds runTime)
{
    if (m_routes.size() >= maxRoutes && m_routes.count(route) == 0)
        return;
    auto& demand = m_routes[route];
    demand.requests = demand.requests * retainedShare + 1;
    demand.runTimeMs = demand.runTimeMs * retainedShare + runTime.getCount();
    for (auto& need : demand.total) {
        need.calls *= retainedShare;
        need.work = need.work * retainedShare;
    }
    addNeeds(demand.total, needs);
    const auto isNegligible
        = [&](const service_need& need) { return need.calls < demand.requests * negligibleCalls; };
    demand.total.erase(
        std::remove_if(demand.total.begin(), demand.total.end(), isNegligible), demand.total.end());
}

std::vector<service_need> tree_demand::getNeeds(const std::string& route) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return {};
    auto needs = found->second.total;
    for (auto& need : needs) {
        need.calls /= found->second.requests;
        need.work = need.work * (1 / found->second.requests);
    }
    return needs;
}

std::vector<std::string> tree_demand::getRoutes() const
{
    std::vector<std::string> routes;
    routes.reserve(m_routes.size());
    for (const auto& [name, demand] : m_routes)
        routes.push_back(name);
    return routes;
}

milliseconds tree_demand::getRunTime(const std::string& route) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? milliseconds()
                                   : milliseconds(found->second.runTimeMs / found->second.requests);
}

} // namespace fuchsiagauge
