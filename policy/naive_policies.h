#pragma once

#include "policy/admission_policy.h"
#include "policy/retry_policy.h"
#include "policy/routing_policy.h"

#include <map>
#include <set>

namespace fuchsiagauge {

/// Baseline: round robin over the instances whose health endpoint reports them as healthy.
class naive_router : public routing_policy {
public:
    std::optional<std::string> choose(
        milliseconds now, const routing_request& request, const fleet_view& fleet) override;
    bool isUsable(const std::string& id, milliseconds now) const override;
    void onSend(const std::string& id, milliseconds now) override;
    void onResponse(const std::string& id, milliseconds now, const node_report& report, milliseconds latency,
        bool isSuccess) override;
    void onFailure(const std::string& id, milliseconds now, error_kind kind) override;
    void onLeaving(const std::string& id) override;
    void onHealth(const std::string& id, bool isHealthy) override;
    router_snapshot describe(
        const std::string& service, milliseconds now, const fleet_view& fleet) const override;

private:
    std::set<std::string> m_unhealthy;
    std::map<std::string, std::uint64_t> m_nextIndex; ///< Position in the round robin, by service.
};

/// Baseline: starts every request immediately.
class naive_admission : public admission_policy {
public:
    void submit(milliseconds now, const admission_request& request, decision_hook decide) override;
    void finish(const std::string& attemptId, milliseconds now, bool isSuccess) override;
    void onDownstreamShed(const std::string& attemptId) override;
    void cancel(const std::string& attemptId, milliseconds now) override;
    void tick(milliseconds now) override;
    void setRules(const service_rules& rules) override;
    void setPublishedSlots(int slots) override;
    void setLeaving(bool isLeaving) override;
    int getLimit() const override;
    int getInFlight() const override { return static_cast<int>(m_running.size()); }
    int getQueued() const override { return 0; }
    std::uint32_t getAdmissionLevel() const override { return 0; }

private:
    std::set<std::string> m_running;
};

/// Baseline: the same fixed number of retries at each hop.
///
/// The retries are not divided among hops: each hop starts with the full number. The calls made for one
/// request are assumed to be sequential.
class naive_retries : public retry_policy {
public:
    /// @param retries the number of retries for each call.
    explicit naive_retries(int retries);

    void open(const std::string& attemptId, int allowance) override;
    std::optional<int> beginAttempt(const std::string& attemptId, bool isRetry) override;
    void endAttempt(const std::string& attemptId, int grantedRetries, std::optional<int> unspent) override;
    int close(const std::string& attemptId) override;

private:
    int m_retries;
    std::map<std::string, int> m_retriesUsed; ///< Retries of the current call, by attempt id of the caller.
};

} // namespace fuchsiagauge
