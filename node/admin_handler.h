#pragma once

#include "core/audit_trail.h"
#include "core/metrics.h"
#include "core/node_status.h"
#include "node/node_context.h"
#include "transport/response_writer.h"

#include <functional>

namespace fuchsiagauge {

/// Serves the admin endpoints: `/status`, `/metrics`, `/audit`, `/why/NAME` and `/healthz`.
class admin_handler {
public:
    /// @param nodeContext the node's components; must outlive the handler.
    /// @param metrics the metrics that `/metrics` returns.
    /// @param audit the audit trail that `/audit` returns.
    /// @param fillControlStatus adds the state of the node's connections to other nodes and to the platform
    /// to a status; may be empty.
    admin_handler(node_context& nodeContext, metrics_registry& metrics, const audit_trail& audit,
        std::function<void(node_status&)> fillControlStatus);

    /// Serves one request to the admin address.
    void handle(call_request& request, response_writer& writer, boost::asio::yield_context yield);

    /// @return the node's state as reported by `/status`.
    node_status makeStatus() const;

private:
    std::optional<std::string> makeBody(const call_request& request, std::string& contentType);
    void updateGauges();
    std::string makeAuditPage(const std::string& target) const;
    std::vector<instance_status> describeInstances() const;
    std::string explainName(const std::string& name) const;

    node_context& m_nodeContext;
    metrics_registry& m_metrics;
    const audit_trail& m_audit;
    std::function<void(node_status&)> m_fillControlStatus;
    milliseconds m_startedAt;
};

} // namespace fuchsiagauge
