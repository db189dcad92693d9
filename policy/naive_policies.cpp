#include "policy/naive_policies.h"

namespace fuchsiagauge {
namespace {

    constexpr int unlimitedConcurrency = 1 << 24; ///< The highest limit that a node report can hold.

} // namespace

std::optional<std::string> naive_router::choose(
    milliseconds /*now*/, const routing_request& request, const fleet_view& fleet)
{
    std::vector<std::string> candidates;
    for (const auto& [id, instance] : fleet.instances) {
        const bool isUsable = instance.state == instance_state::Live && m_unhealthy.count(id) == 0;
        if (instance.service == request.service && isUsable)
            candidates.push_back(id);
    }
    if (candidates.empty())
        return fail(error_kind::NoTarget, "no healthy instance of `" + request.service + "`");
    return candidates[m_nextIndex[request.service]++ % candidates.size()];
}

bool naive_router::isUsable(const std::string& id, milliseconds /*now*/) const
{
    return m_unhealthy.count(id) == 0;
}

void naive_router::onSend(const std::string& /*id*/, milliseconds /*now*/) { }

void naive_router::onResponse(const std::string& /*id*/, milliseconds /*now*/, const node_report& /*report*/,
    milliseconds /*latency*/, bool /*isSuccess*/)
{
}

void naive_router::onFailure(const std::string& /*id*/, milliseconds /*now*/, error_kind /*kind*/) { }

void naive_router::onLeaving(const std::string& /*id*/) { }

void naive_router::onHealth(const std::string& id, bool isHealthy)
{
    if (isHealthy)
        m_unhealthy.erase(id);
    else
        m_unhealthy.insert(id);
}

router_snapshot naive_router::describe(
    const std::string& service, milliseconds /*now*/, const fleet_view& fleet) const
{
    router_snapshot result;
    result.service = service;
    for (const auto& [id, instance] : fleet.instances) {
        if (instance.service != service)
            continue;
        instance_snapshot item;
        item.id = id;
        item.isEjected = m_unhealthy.count(id) > 0;
        item.isLeaving = instance.state != instance_state::Live;
        result.instances.push_back(item);
    }
    return result;
}

void naive_admission::submit(milliseconds /*now*/, const admission_request& request, decision_hook decide)
{
    m_running.insert(request.attemptId);
    decide(std::nullopt);
}

void naive_admission::finish(const std::string& attemptId, milliseconds /*now*/, bool /*isSuccess*/)
{
    m_running.erase(attemptId);
}

void naive_admission::onDownstreamShed(const std::string& /*attemptId*/) { }

void naive_admission::cancel(const std::string& /*attemptId*/, milliseconds /*now*/) { }

void naive_admission::tick(milliseconds /*now*/) { }

void naive_admission::setRules(const service_rules& /*rules*/) { }

void naive_admission::setPublishedSlots(int /*slots*/) { }

void naive_admission::setLeaving(bool /*isLeaving*/) { }

int naive_admission::getLimit() const { return unlimitedConcurrency; }

naive_retries::naive_retries(int retries)
    : m_retries(retries)
{
}

void naive_retries::open(const std::string& attemptId, int /*allowance*/)
{
    m_retriesUsed.emplace(attemptId, 0);
}

std::optional<int> naive_retries::beginAttempt(const std::string& attemptId, bool isRetry)
{
    int& used = m_retriesUsed[attemptId];
    if (!isRetry) {
        used = 0;
        return m_retries;
    }
    if (used >= m_retries)
        return std::nullopt;
    ++used;
    return m_retries;
}

void naive_retries::endAttempt(
    const std::string& /*attemptId*/, int /*grantedRetries*/, std::optional<int> /*unspent*/)
{
}

int naive_retries::close(const std::string& attemptId)
{
    m_retriesUsed.erase(attemptId);
    return 0;
}

} // namespace fuchsiagauge
