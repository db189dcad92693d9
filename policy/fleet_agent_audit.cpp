// Audit trail entries of fleet_agent.

#include "policy/fleet_agent.h"

#include <vector>

namespace fuchsiagauge {

void fleet_agent::auditInstances(const fleet_view& before)
{
    constexpr std::size_t maxAuditEntries = 10;
    const auto& self = m_state.members.getSelf().instance;
    std::vector<const instance_view*> changed;
    for (const auto& [id, instance] : m_view.instances) {
        const auto known = before.instances.find(id);
        const bool isSame = known != before.instances.end() && known->second.state == instance.state;
        if (!isSame && id != self)
            changed.push_back(&instance);
    }
    if (changed.size() > maxAuditEntries) {
        m_hooks.audit(audit_event::InstanceJoined, std::to_string(changed.size()) + " instances",
            "reported by the VM list or a peer");
        return;
    }
    for (const auto* instance : changed) {
        const auto known = before.instances.find(instance->id);
        auditInstance(*instance, known == before.instances.end() ? nullptr : &known->second);
    }
    for (const auto& [id, instance] : before.instances) {
        if (m_view.instances.count(id) == 0 && instance.state != instance_state::Gone)
            m_hooks.audit(audit_event::InstanceGone, id, "not in the VM list and not seen recently");
    }
}

void fleet_agent::auditInstance(const instance_view& instance, const instance_view* before)
{
    switch (instance.state) {
    case instance_state::Live:
        m_hooks.audit(audit_event::InstanceJoined, instance.id, before ? "restarted" : "new");
        break;
    case instance_state::Leaving:
        m_hooks.audit(audit_event::InstanceLeaving, instance.id, "reported by its node or the VM list");
        break;
    case instance_state::Gone:
        m_hooks.audit(audit_event::InstanceGone, instance.id, "another instance uses its address");
        break;
    }
}

void fleet_agent::auditReaderRole(milliseconds now)
{
    const auto role = m_state.election.getRole();
    const bool wasReading = m_auditedRole != reader_role::None;
    const bool isReading = role != reader_role::None;
    m_auditedRole = role;
    if (isReading && !wasReading)
        m_hooks.audit(audit_event::ReaderStarted, "started reading the platform",
            role == reader_role::Elected ? "elected in its zone" : "no active reader is known");
    if (!isReading && wasReading)
        m_hooks.audit(audit_event::ReaderStopped, "stopped reading the platform", "other nodes read it");
    const bool isPlatformReachable = m_state.election.hasReader(now);
    if (isPlatformReachable == m_wasPlatformReachable)
        return;
    m_wasPlatformReachable = isPlatformReachable;
    if (isPlatformReachable)
        m_hooks.audit(audit_event::PlatformRegained, "a reader is in contact with the platform", "");
    else
        m_hooks.audit(
            audit_event::PlatformLost, "no reader is in contact with the platform", m_lastPlatformFailure);
}

} // namespace fuchsiagauge
