#pragma once

#include "core/call_context.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/fleet_view.h"
#include "core/node_report.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fuchsiagauge {

/// Returns a random number in [0, 1).
using random_hook = std::function<double()>;

/// A call for which an instance is chosen.
struct routing_request {
    std::string service;
    std::string className;
    std::uint32_t rank = 0;
    bool mayCrossRegions = true;
    std::vector<std::string> excluded; ///< Ids of instances that were already tried.
    /// Whether the call may probe an ejected instance as soon as a probe is due. False for at-most-once
    /// classes, which probe it only after an additional delay.
    bool mayProbe = true;
};

/// Distance between this node and an instance.
enum class instance_distance {
    SameZone,
    SameRegion,
    OtherRegion,
};

/// A router's state for one instance.
struct instance_snapshot {
    std::string id;
    instance_distance distance = instance_distance::SameZone;
    int ownInFlight = 0; ///< Calls of this node that are not answered yet.
    double load = 0; ///< Estimated number of calls in flight divided by the limit.
    std::uint32_t admissionLevel = 0;
    double successRate = 1; ///< Over recent calls, from 0 to 1.
    bool isEjected = false;
    bool isLeaving = false;
    double slowStartShare = 1; ///< Fraction of the limit that may be used; below 1 during slow start.
};

/// A router's state for one service, shown by the `why` command.
struct router_snapshot {
    std::string service;
    std::vector<instance_snapshot> instances;
};

/// Chooses the instance for each call of a node.
class routing_policy {
public:
    virtual ~routing_policy() = default;

    /// Chooses an instance.
    /// @param now the current time.
    /// @param request the call.
    /// @param fleet the known instances.
    /// @return the instance id, or nothing with error_kind::NoTarget, or nothing with error_kind::Shed if
    /// every usable instance currently refuses calls of this rank.
    virtual std::optional<std::string> choose(
        milliseconds now, const routing_request& request, const fleet_view& fleet)
        = 0;

    /// @return whether calls other than probes may be sent to an instance, that is, whether it is not known
    /// to be failing or leaving.
    virtual bool isUsable(const std::string& id, milliseconds now) const = 0;

    /// Records that a call was sent to an instance. Exactly one onResponse() or onFailure() must follow.
    virtual void onSend(const std::string& id, milliseconds now) = 0;

    /// Records a response.
    /// @param id the instance.
    /// @param now the current time.
    /// @param report the report that the answering node attached.
    /// @param latency time from the call to the response.
    /// @param isSuccess false if the target answered with a 5xx status.
    virtual void onResponse(const std::string& id, milliseconds now, const node_report& report,
        milliseconds latency, bool isSuccess)
        = 0;

    /// Records that a call ended without a response from the target.
    virtual void onFailure(const std::string& id, milliseconds now, error_kind kind) = 0;

    /// Records that an instance accepts no new calls.
    virtual void onLeaving(const std::string& id) = 0;

    /// Records the state reported by an instance's health endpoint. Implementations treat it as a hint only.
    virtual void onHealth(const std::string& id, bool isHealthy) = 0;

    /// @return the state of all instances of a service.
    virtual router_snapshot describe(
        const std::string& service, milliseconds now, const fleet_view& fleet) const = 0;
};

} // namespace fuchsiagauge
