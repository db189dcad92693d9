#pragma once

#include "core/audit_trail.h"
#include "core/metrics.h"
#include "core/node_status.h"
#include "node/node_parts.h"
#include "transport/response_writer.h"

#include <functional>

namespace fuchsiagauge {

/// Answers operators: `/status`, `/metrics`, `/audit`, `/why/NAME` and `/healthz`.
class admin_handler {
public:
    /// @param describeControl gives the state of the node's links to other nodes and the platform.
    admin_handler(node_parts& parts, metrics_registry& metrics, const audit_trail& audit,
        std::function<void(node_status&)> describeControl);

    /// Serves one call.
    void handle(call_request& request, response_writer& writer, boost::asio::yield_context yield);

    /// @return the node's state as operators see it.
    node_status makeStatus() const;

private:
    std::optional<std::string> answer(const call_request& request, std::string& contentType);
    void updateGauges();
    std::string makeAuditPage(const std::string& target) const;
    std::vector<instance_status> describeInstances() const;
    std::string explainName(const std::string& name) const;

    node_parts& m_parts;
    metrics_registry& m_metrics;
    const audit_trail& m_audit;
    std::function<void(node_status&)> m_describeControl;
    milliseconds m_startedAt;
};

} // namespace fuchsiagauge
