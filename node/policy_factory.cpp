#include "node/policy_factory.h"

#include "policy/naive_policies.h"
#include "policy/retry_allowance_policy.h"
#include "policy/router.h"

#include <algorithm>
#include <array>

namespace fuchsiagauge {
namespace {

    constexpr int naiveRetries = 3;

    /// The mechanisms in use.
    struct policy_switches {
        router_switches routing;
        admission_switches admission;
    };

    /// One mechanism that can be switched off by its name.
    struct switch_row {
        const char* name;
        bool& (*find)(policy_switches&);
    };

    constexpr std::array switchTable {
        switch_row { "adaptive-limit", [](policy_switches& s) -> bool& { return s.admission.hasLimit; } },
        switch_row { "rank-order", [](policy_switches& s) -> bool& { return s.admission.hasRankOrder; } },
        switch_row { "wait-shed", [](policy_switches& s) -> bool& { return s.admission.hasWaitShed; } },
        switch_row { "admission-level", [](policy_switches& s) -> bool& { return s.admission.hasLevel; } },
        switch_row { "locality", [](policy_switches& s) -> bool& { return s.routing.hasLocality; } },
        switch_row { "two-choices", [](policy_switches& s) -> bool& { return s.routing.hasTwoChoices; } },
        switch_row { "caller-shed", [](policy_switches& s) -> bool& { return s.routing.hasCallerShed; } },
        switch_row { "ejection", [](policy_switches& s) -> bool& { return s.routing.hasEjection; } },
        switch_row { "slow-start", [](policy_switches& s) -> bool& { return s.routing.hasSlowStart; } },
    };

    std::optional<policy_switches> readSwitches(const std::vector<std::string>& switchedOff)
    {
        policy_switches switches;
        for (const auto& name : switchedOff) {
            const auto* row = std::find_if(switchTable.begin(), switchTable.end(),
                [&name](const switch_row& one) { return name == one.name; });
            if (row == switchTable.end())
                return fail(
                    error_kind::BadSettings, "policy.switched_off: there is no mechanism `" + name + "`");
            row->find(switches) = false;
        }
        return switches;
    }

} // namespace

bool makePolicies(node_parts& parts, const admission_hooks& hooks)
{
    const auto switches = readSwitches(parts.config.getTextList("policy.switched_off"));
    if (!switches)
        return false;
    if (parts.config.getFlag("policy.naive")) {
        parts.routing = std::make_unique<naive_router>();
        parts.admission = std::make_unique<naive_admission>();
        parts.retries = std::make_unique<naive_retries>(naiveRetries);
        parts.attemptsPerCall = 1 + naiveRetries;
        parts.hasRetryRatio = false;
        return true;
    }
    const auto& identity = parts.identity;
    const auto rules = parts.getPreset().getServiceRules(identity.service);
    const auto random = [&parts] { return parts.ids.makeFraction(); };
    parts.routing = std::make_unique<router>(identity.region, identity.zone, random, switches->routing);
    parts.admission = std::make_unique<admission_controller>(rules, hooks, switches->admission);
    parts.retries = std::make_unique<retry_allowance_policy>();
    return true;
}

} // namespace fuchsiagauge
