#include "node/policy_factory.h"

#include "policy/naive_policies.h"
#include "policy/retry_allowance_policy.h"
#include "policy/router.h"

#include <algorithm>
#include <array>

namespace fuchsiagauge {
namespace {

    constexpr int naiveRetries = 3;

    /// The policy mechanisms, each on or off.
    struct policy_switches {
        router_switches routing;
        admission_switches admission;
    };

    /// A mechanism that the setting `policy.switched_off` can name.
    struct named_switch {
        const char* name;
        bool& (*getFlag)(policy_switches&);
    };

    constexpr std::array switchTable {
        named_switch {
            "adaptive-limit", [](policy_switches& s) -> bool& { return s.admission.hasAdaptiveLimit; } },
        named_switch { "rank-order", [](policy_switches& s) -> bool& { return s.admission.hasRankOrder; } },
        named_switch { "wait-shed", [](policy_switches& s) -> bool& { return s.admission.hasWaitShed; } },
        named_switch { "admission-level", [](policy_switches& s) -> bool& { return s.admission.hasLevel; } },
        named_switch { "locality", [](policy_switches& s) -> bool& { return s.routing.hasLocality; } },
        named_switch { "two-choices", [](policy_switches& s) -> bool& { return s.routing.hasTwoChoices; } },
        named_switch { "caller-shed", [](policy_switches& s) -> bool& { return s.routing.hasCallerShed; } },
        named_switch { "ejection", [](policy_switches& s) -> bool& { return s.routing.hasEjection; } },
        named_switch { "slow-start", [](policy_switches& s) -> bool& { return s.routing.hasSlowStart; } },
    };

    std::optional<policy_switches> parseSwitches(const std::vector<std::string>& switchedOff)
    {
        policy_switches switches;
        for (const auto& name : switchedOff) {
            const auto* row = std::find_if(switchTable.begin(), switchTable.end(),
                [&name](const named_switch& candidate) { return name == candidate.name; });
            if (row == switchTable.end())
                return fail(
                    error_kind::BadSettings, "policy.switched_off: there is no mechanism `" + name + "`");
            row->getFlag(switches) = false;
        }
        return switches;
    }

} // namespace

bool makePolicies(node_context& nodeContext, const admission_hooks& hooks)
{
    const auto switches = parseSwitches(nodeContext.config.getTextList("policy.switched_off"));
    if (!switches)
        return false;
    if (nodeContext.config.getFlag("policy.naive")) {
        nodeContext.routing = std::make_unique<naive_router>();
        nodeContext.admission = std::make_unique<naive_admission>();
        nodeContext.retries = std::make_unique<naive_retries>(naiveRetries);
        nodeContext.attemptsPerCall = 1 + naiveRetries;
        nodeContext.hasRetryRatio = false;
        return true;
    }
    const auto& identity = nodeContext.identity;
    const auto rules = nodeContext.getPreset().getServiceRules(identity.service);
    const auto random = [&nodeContext] { return nodeContext.ids.makeRandomFraction(); };
    nodeContext.routing = std::make_unique<router>(identity.region, identity.zone, random, switches->routing);
    nodeContext.admission = std::make_unique<admission_controller>(rules, hooks, switches->admission);
    nodeContext.retries = std::make_unique<retry_allowance_policy>();
    return true;
}

} // namespace fuchsiagauge
