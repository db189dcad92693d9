#include "node/admin_handler.h"

#include "core/explanation.h"

#include <cmath>
#include <cstdlib>
#include <map>
#include <set>

namespace fuchsiagauge {
namespace {

    constexpr char whyPath[] = "/why/";
    constexpr char jsonType[] = "application/json";

    std::vector<class_counters> copyCounters(const call_counters& counters)
    {
        std::vector<class_counters> copies;
        for (const auto& [name, counts] : counters.getClasses()) {
            class_counters copy;
            copy.name = name;
            copy.offered = counts.offered.get();
            copy.answered = counts.answered.get();
            copy.shed = counts.shed.get();
            copy.expired = counts.expired.get();
            copies.push_back(copy);
        }
        return copies;
    }

    /// Adds the router's in-flight count and ejection state of an instance.
    void addRoutingState(const instance_snapshot& snapshot, instance_status& status)
    {
        constexpr double percent = 100;
        status.inFlight = snapshot.ownInFlight;
        status.isEjected = snapshot.isEjected;
        if (snapshot.isEjected)
            status.reason = std::to_string(std::lround(percent * snapshot.successRate))
                + " % of this node's recent calls there succeeded";
    }

} // namespace

admin_handler::admin_handler(node_context& nodeContext, metrics_registry& metrics, const audit_trail& audit,
    std::function<void(node_status&)> fillControlStatus)
    : m_nodeContext(nodeContext)
    , m_metrics(metrics)
    , m_audit(audit)
    , m_fillControlStatus(std::move(fillControlStatus))
    , m_startedAt(nodeContext.now())
{
}

void admin_handler::handle(call_request& request, response_writer& writer, boost::asio::yield_context yield)
{
    if (request.method != "GET" && request.method != "HEAD") {
        sendErrorResponse(writer, error_kind::MethodNotAllowed, "operators read by GET", {}, yield);
        return;
    }
    std::string contentType = jsonType;
    const auto body = makeBody(request, contentType);
    if (!body) {
        sendErrorResponse(writer, error_kind::UnknownService,
            "there are /status, /metrics, /audit, /why/NAME and /healthz", {}, yield);
        return;
    }
    response_head head;
    head.fields.set("content-type", contentType);
    writer.sendComplete(head, *body, yield);
}

std::optional<std::string> admin_handler::makeBody(const call_request& request, std::string& contentType)
{
    const auto path = request.getPath();
    if (path == "/healthz")
        return "{\"state\":\"ok\"}\n";
    if (path == "/status")
        return formatNodeStatus(makeStatus()) + "\n";
    if (path == "/audit")
        return makeAuditPage(request.target) + "\n";
    if (path.rfind(whyPath, 0) == 0)
        return explainName(path.substr(sizeof(whyPath) - 1)) + "\n";
    if (path != "/metrics")
        return std::nullopt;
    contentType = "text/plain; version=0.0.4";
    updateGauges();
    return m_metrics.formatPrometheusText(m_nodeContext.now());
}

node_status admin_handler::makeStatus() const
{
    const auto& configuration = m_nodeContext.sharedState.configuration.get();
    const auto& admission = *m_nodeContext.admission;
    node_status status;
    status.instance = m_nodeContext.identity.instance;
    status.service = m_nodeContext.identity.service;
    status.region = m_nodeContext.identity.region;
    status.zone = m_nodeContext.identity.zone;
    status.startNumber = m_nodeContext.identity.startNumber;
    status.uptime = m_nodeContext.now() - m_startedAt;
    status.state
        = m_nodeContext.sharedState.target.get().isLeaving ? node_state::Leaving : node_state::Serving;
    status.configuration.preset = configuration.document.activePreset;
    status.configuration.revision = configuration.revision;
    status.configuration.digest = configuration.digest;
    status.target.inFlight = admission.getInFlight();
    status.target.limit = admission.getLimit();
    status.target.queued = admission.getQueued();
    status.target.admissionLevel = admission.getAdmissionLevel();
    status.classes = copyCounters(m_nodeContext.counters);
    status.link.budgetBytesPerSecond = m_nodeContext.sharedState.link.get().bytesPerSecond;
    status.instances = describeInstances();
    if (m_fillControlStatus)
        m_fillControlStatus(status);
    return status;
}

void admin_handler::updateGauges()
{
    const auto& admission = *m_nodeContext.admission;
    const auto set = [this](const char* name, const char* help, double value) {
        m_metrics.getGauge(name, help).set(value);
    };
    set("fuchsiagauge_in_flight", "Requests in flight at the local target.", admission.getInFlight());
    set("fuchsiagauge_limit", "Concurrency limit of the local target.", admission.getLimit());
    set("fuchsiagauge_queued", "Requests queued in the node.", admission.getQueued());
    set("fuchsiagauge_admission_level", "Rank below which requests are refused.",
        admission.getAdmissionLevel());
    set("fuchsiagauge_revision", "Configuration revision in force.",
        static_cast<double>(m_nodeContext.sharedState.configuration.get().revision));
    set("fuchsiagauge_instances", "Known instances, this node's own included.",
        static_cast<double>(m_nodeContext.sharedState.fleet.get().instances.size()));
}

std::string admin_handler::makeAuditPage(const std::string& target) const
{
    const auto position = target.find("after=");
    const auto after = position == std::string::npos
        ? 0
        : std::strtoull(target.c_str() + position + sizeof("after=") - 1, nullptr, 10);
    return formatAuditPage(m_audit.getPageAfter(after));
}

std::vector<instance_status> admin_handler::describeInstances() const
{
    const auto& fleet = m_nodeContext.sharedState.fleet.get();
    std::map<std::string, instance_status> statuses;
    std::set<std::string> services;
    for (const auto& [id, view] : fleet.instances) {
        statuses[id] = { id, view.service, view.region, view.zone, view.state, false, "", 0 };
        services.insert(view.service);
    }
    for (const auto& service : services) {
        for (const auto& snapshot :
            m_nodeContext.routing->describe(service, m_nodeContext.now(), fleet).instances) {
            const auto found = statuses.find(snapshot.id);
            if (found != statuses.end())
                addRoutingState(snapshot, found->second);
        }
    }
    std::vector<instance_status> list;
    list.reserve(statuses.size());
    for (const auto& [id, status] : statuses)
        list.push_back(status);
    return list;
}

std::string admin_handler::explainName(const std::string& name) const
{
    return formatExplanation(explain(makeStatus(), m_nodeContext.getPreset(), name));
}

} // namespace fuchsiagauge
