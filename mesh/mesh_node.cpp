#include "mesh/mesh_node.h"

#include "core/decision_log.h"
#include "core/error.h"
#include "core/metrics.h"
#include "mesh/inbound_call.h"
#include "mesh/mesh_context.h"
#include "mesh/outbound_call.h"
#include "transport/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <random>
#include <unistd.h>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds tickInterval { 20 }; ///< Timeouts and refusals are late by this at most.
    constexpr milliseconds slowTickInterval { 500 }; ///< For idle connections and missing entries.
    constexpr milliseconds pauseLimit { 1000 }; ///< A longer gap between ticks means that the process slept.
    /// After the signal to stop the clients learn within two questions, a second apart, that the node is not
    /// ready; requests come until then.
    constexpr milliseconds noticeTime { 3000 };
    constexpr double graceShare = 0.92; ///< Of the time until the process is killed.
    constexpr int readyStatus = 200;
    constexpr int notReadyStatus = 503;
    constexpr int notFoundStatus = 404;

    std::uint64_t getWallTimeMs()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }

    std::function<double()> makeRandom()
    {
        auto generator = std::make_shared<std::mt19937>(std::random_device {}());
        return [generator] { return std::uniform_real_distribution<double>(0, 1)(*generator); };
    }

} // namespace

struct mesh_node::state : std::enable_shared_from_this<mesh_node::state> {
    state(boost::asio::io_context& context, mesh_settings settings, target_protocol spoken);

    bool open();
    void tick();
    void scheduleTick();
    void slowTick(milliseconds now);
    void checkPause(milliseconds now);
    void takeClientCall(const std::shared_ptr<incoming_call>& call);
    void answerAdmin(const std::shared_ptr<incoming_call>& call);
    bool isReady() const;
    void onInstanceChange(const instance_directory::entry& known, const char* what);
    void onAskAgain(const std::string& requestId);
    void followOwnInstance();
    void checkStopped(milliseconds now);
    bool isRefusing() const;
    milliseconds getNoticeTime() const;
    void refuseStopping(const std::shared_ptr<incoming_call>& call);
    std::string formatMetrics();

    boost::asio::io_context& io;
    mesh_settings config;
    target_protocol protocol;
    clock time = clock::makeBoot();
    std::function<double()> random = makeRandom();
    metrics_registry metrics;
    mesh_counters counters { metrics };
    decision_log log;
    instance_directory directory;
    instance_picker picker;
    traffic_splitter splits;
    local_target target;
    peer_pools peers;
    mesh_context parts;
    http_server callers;
    http_server otherNodes;
    http_server readiness;
    http_server admin;
    boost::asio::steady_timer timer;
    std::vector<std::shared_ptr<outbound_call>> openCalls;
    milliseconds tickedAt;
    milliseconds slowTickedAt;
    milliseconds stoppingSince;
    std::function<void()> onStopped;
    std::string ownInstance;
    bool hasListing = false;
    bool isStopping = false;
};

mesh_node::state::state(boost::asio::io_context& context, mesh_settings settings, target_protocol spoken)
    : io(context)
    , config(std::move(settings))
    , protocol(std::move(spoken))
    , log(config.node, time, getWallTimeMs, makeDescriptorSink(STDOUT_FILENO), config.logLevel == "debug")
    , directory(
          [this](const instance_directory::entry& known, const char* what) { onInstanceChange(known, what); })
    , picker(config.place, random)
    , target(context, time, config.target, protocol, config.repeats,
          [this](const std::string& requestId) { onAskAgain(requestId); })
    , peers(context, time)
    , parts { config, time, protocol, std::make_shared<const traffic_rules>(), directory, picker, splits,
        target, peers, counters, log, random, {} }
    , callers(context, time, config.maxConnections,
          [this](const std::shared_ptr<incoming_call>& call) { takeClientCall(call); })
    , otherNodes(context, time, config.maxConnections,
          [this](const std::shared_ptr<incoming_call>& call) { serveInboundCall(parts, call); })
    , readiness(context, time, config.maxConnections,
          [this](const std::shared_ptr<incoming_call>& call) { answerAdmin(call); })
    , admin(context, time, config.maxConnections,
          [this](const std::shared_ptr<incoming_call>& call) { answerAdmin(call); })
    , timer(context)
    , tickedAt(time.now())
    , slowTickedAt(time.now())
{
    client_limits peerLimits;
    constexpr std::size_t peerHeaderBytes = 65536; // A client's header section and the envelope.
    constexpr std::size_t peerBodyBytes = 67108864; // The operators' limit holds where the client comes in.
    constexpr milliseconds peerIdleTimeout { 60000 }; // The sending node closes first.
    peerLimits.headerBytes = peerHeaderBytes;
    peerLimits.bodyBytes = peerBodyBytes;
    peerLimits.idleTimeout = peerIdleTimeout;
    otherNodes.setLimits(peerLimits);
}

bool mesh_node::state::open()
{
    const bool isOpen = callers.open(config.callersListener) && otherNodes.open(config.peersListener)
        && readiness.open(config.readyListener);
    if (!isOpen)
        return false;
    return config.metricsListener.host.empty() || admin.open(config.metricsListener);
}

void mesh_node::state::scheduleTick()
{
    timer.expires_after(std::chrono::milliseconds(static_cast<int>(tickInterval.getCount())));
    timer.async_wait([weak = weak_from_this()](const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (code || !self)
            return;
        self->tick();
        self->scheduleTick();
    });
}

void mesh_node::state::tick()
{
    const auto now = time.now();
    checkPause(now);
    tickedAt = now;
    const auto calls = openCalls;
    for (const auto& call : calls)
        call->tick(now);
    openCalls.erase(
        std::remove_if(openCalls.begin(), openCalls.end(), [](const auto& call) { return call->isEnded(); }),
        openCalls.end());
    target.tick();
    peers.tick();
    log.flush();
    if (now - slowTickedAt >= slowTickInterval)
        slowTick(now);
    if (isStopping)
        checkStopped(now);
}

void mesh_node::state::slowTick(milliseconds now)
{
    slowTickedAt = now;
    callers.tick();
    otherNodes.tick();
    readiness.tick();
    admin.tick();
    directory.tick(now);
    picker.pruneUnlisted(directory);
    target.setInstanceCount(static_cast<int>(directory.findService(config.service).size()));
}

void mesh_node::state::checkPause(milliseconds now)
{
    const auto gap = now - tickedAt;
    if (gap > pauseLimit)
        log.write(decision::PauseDetected, {}, { { "ms", gap.getCount() } });
}

/// @return whether the time is over in which clients and peers learn that the node is stopping.
bool mesh_node::state::isRefusing() const
{
    return isStopping && time.now() - stoppingSince >= getNoticeTime();
}

milliseconds mesh_node::state::getNoticeTime() const { return std::min(noticeTime, config.grace * 0.5); }

/// What comes late in a shutdown could be cut off by its end, so it goes elsewhere.
void mesh_node::state::refuseStopping(const std::shared_ptr<incoming_call>& call)
{
    constexpr const char* retryAfterS = "0.1"; // Clients come back at once, to another node.
    answer_head head;
    head.status = notReadyStatus;
    head.fields.add("Retry-After", retryAfterS);
    counters.countRequest({}, notReadyStatus, "stopping", milliseconds(), time.now());
    log.write(decision::RequestRefused, protocol.readClient(call->getRequest().fields).requestId,
        { { "reason", std::string("stopping") } });
    call->answer(head, {});
}

void mesh_node::state::takeClientCall(const std::shared_ptr<incoming_call>& call)
{
    if (isRefusing()) {
        refuseStopping(call);
        return;
    }
    const auto started = std::make_shared<outbound_call>(parts, call);
    started->start();
    if (!started->isEnded())
        openCalls.push_back(started);
}

bool mesh_node::state::isReady() const { return !isStopping && parts.rules->version > 0 && hasListing; }

void mesh_node::state::answerAdmin(const std::shared_ptr<incoming_call>& call)
{
    answer_head head;
    const auto path = call->getRequest().getPath();
    if (path == "/metrics") {
        head.fields.add("Content-Type", "text/plain; version=0.0.4");
        call->answer(head, formatMetrics());
        return;
    }
    head.status = path != "/ready" ? notFoundStatus : isReady() ? readyStatus : notReadyStatus;
    call->answer(head, {});
}

std::string mesh_node::state::formatMetrics()
{
    const auto load = target.getLoad();
    counters.slotsBusy.set(load.busy);
    counters.slotsWaiting.set(load.waiting);
    counters.openCalls.set(static_cast<double>(openCalls.size()));
    counters.instances.set(static_cast<double>(directory.getEntries().size()));
    return metrics.formatPrometheusText(time.now());
}

void mesh_node::state::onInstanceChange(const instance_directory::entry& known, const char* what)
{
    const auto& record = known.record;
    log.write(decision::InstanceChanged, {},
        { { "instance", record.id }, { "service", record.service }, { "zone", record.zone },
            { "address", formatAddress(record.target) }, { "change", std::string(what) },
            { "slots", static_cast<double>(record.slots) },
            { "revision", static_cast<double>(record.revision) } });
}

void mesh_node::state::onAskAgain(const std::string& requestId)
{
    counters.askedAgain.add();
    log.write(decision::RequestAskedAgain, requestId, { { "instance", ownInstance } });
}

/// Keeps the gate in step with what the platform says of the instance on this VM.
void mesh_node::state::followOwnInstance()
{
    const auto* own = directory.findByTarget(config.target, config.service);
    if (!own)
        return;
    target.setSlots(own->record.slots);
    const auto start = own->record.id + '/' + std::to_string(own->record.bornAtMs);
    if (start == ownInstance)
        return;
    if (!ownInstance.empty())
        target.forgetConnections();
    ownInstance = start;
}

void mesh_node::state::checkStopped(milliseconds now)
{
    const auto elapsed = now - stoppingSince;
    const bool isIdle = callers.getOpenCalls() == 0 && otherNodes.getOpenCalls() == 0;
    if (isRefusing())
        target.setLeaving(true);
    const bool isDone = isIdle && isRefusing();
    if (!isDone && elapsed < config.grace * graceShare)
        return;
    log.write(decision::NodeStopped, {},
        { { "open", static_cast<double>(callers.getOpenCalls()) }, { "ms", elapsed.getCount() } });
    log.flush();
    const auto done = std::move(onStopped);
    onStopped = nullptr;
    if (done)
        done();
}

mesh_node::mesh_node(boost::asio::io_context& io, mesh_settings config, target_protocol protocol)
    : m_state(std::make_shared<state>(io, std::move(config), std::move(protocol)))
{
}

mesh_node::~mesh_node() = default;

bool mesh_node::start()
{
    if (!m_state->open())
        return false;
    m_state->log.write(decision::NodeStarted, {},
        { { "service", m_state->config.service }, { "zone", m_state->config.place.zone } });
    m_state->scheduleTick();
    return true;
}

void mesh_node::stop(std::function<void()> onStopped)
{
    m_state->onStopped = std::move(onStopped);
    if (m_state->isStopping)
        return;
    m_state->isStopping = true;
    m_state->stoppingSince = m_state->time.now();
    m_state->callers.beginClosing();
    m_state->log.write(
        decision::NodeStopping, {}, { { "open", static_cast<double>(m_state->callers.getOpenCalls()) } });
}

void mesh_node::takeRules(traffic_rules rules)
{
    auto& self = *m_state;
    const auto before = self.parts.rules->version;
    if (rules.version <= before)
        return;
    self.callers.setLimits(rules.limits);
    self.counters.rulesVersion.set(static_cast<double>(rules.version));
    self.log.write(decision::RulesAdopted, {},
        { { "version", static_cast<double>(rules.version) }, { "before", static_cast<double>(before) },
            { "routes", static_cast<double>(rules.routes.size()) } });
    self.parts.rules = std::make_shared<const traffic_rules>(std::move(rules));
}

void mesh_node::noteBadRules(const std::string& why)
{
    m_state->log.write(decision::RulesRefused, {},
        { { "reason", why }, { "version", static_cast<double>(m_state->parts.rules->version) } });
}

void mesh_node::takeListing(const std::vector<instance_record>& listed)
{
    m_state->directory.takeListing(listed, m_state->time.now());
    m_state->hasListing = true;
    m_state->followOwnInstance();
}

void mesh_node::takeInstance(const instance_record& record)
{
    m_state->directory.put(record, m_state->time.now());
    m_state->followOwnInstance();
}

void mesh_node::takeRemoval(const std::string& id, const std::string& why)
{
    if (!why.empty())
        m_state->log.write(decision::EntryIgnored, {}, { { "instance", id }, { "reason", why } });
    m_state->directory.remove(id, m_state->time.now());
}

void mesh_node::setStaleHook(std::function<void()> onStale) { m_state->parts.onStale = std::move(onStale); }

void mesh_node::notePlatformLost(const std::string& why)
{
    m_state->counters.platformFailures.add();
    m_state->directory.onPlatformDisconnected();
    m_state->log.write(decision::PlatformLost, {},
        { { "reason", why }, { "rules", static_cast<double>(m_state->parts.rules->version) } });
}

void mesh_node::notePlatformRegained()
{
    m_state->directory.onPlatformReconnected(m_state->time.now());
    m_state->log.write(
        decision::PlatformRegained, {}, { { "rules", static_cast<double>(m_state->parts.rules->version) } });
}

void mesh_node::notePlatformCall() { m_state->counters.platformCalls.add(); }

void mesh_node::reloadSettings(const std::optional<mesh_settings>& config, const std::string& why)
{
    if (!config) {
        m_state->log.write(decision::SettingsRefused, {}, { { "reason", why } });
        return;
    }
    m_state->config.grace = config->grace;
    m_state->log.write(decision::SettingsReloaded, {}, {});
}

} // namespace fuchsiagauge
