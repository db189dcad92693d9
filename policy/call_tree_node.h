#pragma once

#include "core/peer_envelope.h"
#include "policy/offered_load.h"
#include "policy/tree_admission.h"
#include "policy/tree_demand.h"

#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// What the node of one instance knows of the call trees that pass its instance: the load of the instance,
/// what requests need further down and how much work the services there have.
class call_tree_node {
public:
    /// @param service the service of the instance.
    explicit call_tree_node(std::string service);

    /// Counts a request that arrives at the instance's gate.
    /// @param serviceTime time for which it is expected to hold a slot.
    void onArrival(milliseconds now, int priority, milliseconds serviceTime);

    /// Decides whether a request that enters the call graph here may start.
    /// @param fraction a number in [0, 1), derived from the request's rank.
    /// @return nothing if the loads further down give no reason to decide, otherwise the decision.
    std::optional<bool> isAdmitted(
        milliseconds now, const std::string& route, int priority, double fraction) const;

    /// @return the service because of which requests of a route are refused; empty if there is none.
    std::string findBottleneck(milliseconds now, const std::string& route, int priority) const;

    /// Learns from the reply to a call that the instance made.
    /// @param service the service that was called.
    /// @param serviceTime the mean time for which a call holds a slot there.
    /// @param capacities what the reply states.
    /// @return what the call needed, with the calls below it.
    std::vector<service_need> onReply(milliseconds now, int priority, const std::string& service,
        milliseconds serviceTime, const std::vector<service_capacity>& capacities);

    /// Learns from a request that completed with all its calls.
    void onCompletion(const std::string& route, const std::vector<service_need>& needs, milliseconds runTime);

    /// @return what a reply to a call states; empty if no load is worth its bytes.
    std::vector<service_capacity> getCapacities(
        milliseconds now, const std::string& route, int priority, int slots) const;

    /// Updates the shares of requests that may enter.
    void tick(milliseconds now);

    const tree_demand& getDemand() const { return m_demand; }

private:
    std::string m_service;
    offered_load m_offered;
    tree_admission m_admission;
    tree_demand m_demand;
    milliseconds m_runTime; ///< Moving average over all routes with calls.
};

} // namespace fuchsiagauge
