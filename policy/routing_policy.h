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

/// Gives a number in [0, 1).
using random_hook = std::function<double()>;

/// A call that needs an instance.
struct routing_request {
    std::string service;
    std::string className;
    std::uint32_t rank = 0;
    bool mayCrossRegions = true;
    std::vector<std::string> excluded; ///< Instances already tried.
    bool mayProbe = true; ///< False for at-most-once classes, which try an ejected instance only at length.
};

/// How near an instance stands.
enum class instance_distance {
    SameZone,
    SameRegion,
    OtherRegion,
};

/// What a router knows of one instance.
struct instance_snapshot {
    std::string id;
    instance_distance distance = instance_distance::SameZone;
    int ownInFlight = 0; ///< Calls of this node that are not answered.
    double load = 0; ///< Estimated in-flight count over the limit.
    std::uint32_t admissionLevel = 0;
    double successRate = 1; ///< Over recent calls, 0 to 1.
    bool isEjected = false;
    bool isLeaving = false;
    double slowStartShare = 1; ///< Below 1 during slow start.
};

/// What a router knows of one service, for `why`.
struct router_snapshot {
    std::string service;
    std::vector<instance_snapshot> instances;
};

/// Chooses the instance for each call of a node.
class routing_policy {
public:
    virtual ~routing_policy() = default;

    /// Chooses an instance.
    /// @param now the present instant.
    /// @param request the call.
    /// @param fleet the instances known.
    /// @return the instance id; nothing with error_kind::NoTarget, or with error_kind::Shed if every usable
    /// instance refuses the rank at present.
    virtual std::optional<std::string> choose(
        milliseconds now, const routing_request& request, const fleet_view& fleet)
        = 0;

    /// @return whether calls other than probes may go to an instance: it is not known to be failing or
    /// leaving.
    virtual bool isUsable(const std::string& id, milliseconds now) const = 0;

    /// Counts a call that is sent to an instance; one onAnswer() or onFailure() follows.
    virtual void onSend(const std::string& id, milliseconds now) = 0;

    /// Takes in an answer.
    /// @param id the instance.
    /// @param now the present instant.
    /// @param report what the answering node said of itself.
    /// @param latency time from the call to the answer.
    /// @param isSuccess false for a 5xx of the target.
    virtual void onAnswer(const std::string& id, milliseconds now, const node_report& report,
        milliseconds latency, bool isSuccess)
        = 0;

    /// Takes in a call that ended without the target's answer.
    virtual void onFailure(const std::string& id, milliseconds now, error_kind kind) = 0;

    /// Takes in that an instance takes no new work.
    virtual void onLeaving(const std::string& id) = 0;

    /// Takes in what an instance's health endpoint says; a hint only.
    virtual void onHealth(const std::string& id, bool isHealthy) = 0;

    /// @return what is known of a service's instances.
    virtual router_snapshot describe(
        const std::string& service, milliseconds now, const fleet_view& fleet) const = 0;
};

} // namespace fuchsiagauge
