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

    /// Adds what the router knows of an instance.
    void addEvidence(const instance_snapshot& known, instance_status& status)
    {
        constexpr double percent = 100;
        status.inFlight = known.ownInFlight;
        status.isEjected = known.isEjected;
        if (known.isEjected)
            status.reason = std::to_string(std::lround(percent * known.successRate))
                + " % of this node's recent calls there succeeded";
    }

} // namespace

admin_handler::admin_handler(node_parts& parts, metrics_registry& metrics, const audit_trail& audit,
    std::function<void(node_status&)> describeControl)
    : m_parts(parts)
    , m_metrics(metrics)
    , m_audit(audit)
    , m_describeControl(std::move(describeControl))
    , m_startedAt(parts.now())
{
}

void admin_handler::handle(call_request& request, answer_writer& writer, boost::asio::yield_context yield)
{
    if (request.method != "GET" && request.method != "HEAD") {
        sendErrorAnswer(writer, error_kind::MethodNotAllowed, "operators read by GET", {}, yield);
        return;
    }
    std::string contentType = jsonType;
    const auto body = answer(request, contentType);
    if (!body) {
        sendErrorAnswer(writer, error_kind::UnknownService,
            "there are /status, /metrics, /audit, /why/NAME and /healthz", {}, yield);
        return;
    }
    answer_head head;
    head.fields.set("content-type", contentType);
    writer.sendWhole(head, *body, yield);
}

std::optional<std::string> admin_handler::answer(const call_request& request, std::string& contentType)
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
    return m_metrics.formatPrometheusText(m_parts.now());
}

node_status admin_handler::makeStatus() const
{
    const auto& configuration = m_parts.board.configuration.get();
    const auto& admission = *m_parts.admission;
    node_status status;
    status.instance = m_parts.identity.instance;
    status.service = m_parts.identity.service;
    status.region = m_parts.identity.region;
    status.zone = m_parts.identity.zone;
    status.startNumber = m_parts.identity.startNumber;
    status.uptime = m_parts.now() - m_startedAt;
    status.state = m_parts.board.target.get().isLeaving ? node_state::Leaving : node_state::Serving;
    status.configuration.preset = configuration.document.activePreset;
    status.configuration.revision = configuration.revision;
    status.configuration.digest = configuration.digest;
    status.target.inFlight = admission.getInFlight();
    status.target.limit = admission.getLimit();
    status.target.queued = admission.getQueued();
    status.target.admissionLevel = admission.getAdmissionLevel();
    status.classes = copyCounters(m_parts.counters);
    status.link.budgetBytesPerSecond = m_parts.board.link.get().bytesPerSecond;
    status.instances = describeInstances();
    if (m_describeControl)
        m_describeControl(status);
    return status;
}

void admin_handler::updateGauges()
{
    const auto& admission = *m_parts.admission;
    const auto set = [this](const char* name, const char* help, double value) {
        m_metrics.getGauge(name, help).set(value);
    };
    set("fuchsiagauge_in_flight", "Requests at the local target.", admission.getInFlight());
    set("fuchsiagauge_limit", "Concurrency limit of the local target.", admission.getLimit());
    set("fuchsiagauge_queued", "Requests that wait in the node.", admission.getQueued());
    set("fuchsiagauge_admission_level", "Rank below which requests are refused.",
        admission.getAdmissionLevel());
    set("fuchsiagauge_revision", "Configuration revision in force.",
        static_cast<double>(m_parts.board.configuration.get().revision));
    set("fuchsiagauge_instances", "Instances known.",
        static_cast<double>(m_parts.board.fleet.get().instances.size()));
}

std::string admin_handler::makeAuditPage(const std::string& target) const
{
    const auto position = target.find("after=");
    const auto after = position == std::string::npos
        ? 0
        : std::strtoull(target.c_str() + position + sizeof("after=") - 1, nullptr, 10);
    return formatAuditPage(m_audit.getAfter(after));
}

std::vector<instance_status> admin_handler::describeInstances() const
{
    const auto& fleet = m_parts.board.fleet.get();
    std::map<std::string, instance_status> statuses;
    std::set<std::string> services;
    for (const auto& [id, view] : fleet.instances) {
        statuses[id] = { id, view.service, view.region, view.zone, view.state, false, "", 0 };
        services.insert(view.service);
    }
    for (const auto& service : services) {
        for (const auto& known : m_parts.routing->describe(service, m_parts.now(), fleet).instances) {
            const auto found = statuses.find(known.id);
            if (found != statuses.end())
                addEvidence(known, found->second);
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
    return formatExplanation(explain(makeStatus(), m_parts.getPreset(), name));
}

} // namespace fuchsiagauge
