#include "mesh/mesh_node.h"

#include "core/error.h"
#include "core/event_log.h"
#include "core/metrics.h"
#include "core/text_fields.h"
#include "mesh/inbound_call.h"
#include "mesh/mesh_context.h"
#include "mesh/outbound_call.h"
#include "mesh/placement_report.h"
#include "mesh/quota_transport.h"
#include "mesh/replica_transport.h"
#include "policy/key_freshness.h"
#include "transport/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <random>
#include <set>
#include <unistd.h>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds tickInterval { 20 }; ///< Maximum delay of timeouts and refusals.
    /// Interval of the checks for idle connections and of the search for other nodes.
    constexpr milliseconds housekeepingInterval { 500 };
    /// A longer gap between ticks is logged as a pause of the process.
    constexpr milliseconds maxTickGap { 1000 };
    /// New requests are accepted for this time after the stop signal. Clients check readiness every second
    /// and need up to two checks to notice that the node is not ready; they send requests until then.
    constexpr milliseconds maxNoticePeriod { 3000 };
    /// The node stops before the end of the grace period even if requests are still in flight, so that it
    /// ends before the process is killed: at the later of these times.
    constexpr double usableGraceShare = 0.92;
    constexpr milliseconds exitTime { 250 };
    /// Share of the grace period, just before the node stops, in which requests may be cut off so that
    /// responses which are ready behind them are delivered.
    constexpr double deliveryGraceShare = 0.08;
    /// Time in which clients and peers may close idle connections after the node has shut them down.
    constexpr milliseconds maxConnectionShutdownTime { 300 };
    /// Share of the descriptors that incoming connections may take.
    constexpr double incomingDescriptorShare = 0.75;
    /// Shares of the time for which a node may act on items that are out of date.
    constexpr double readerStalenessShare = 0.75; ///< More than the platform client takes to notice silence.
    constexpr double nodeStalenessShare = 0.85; ///< Leaves time for one read of the platform.
    constexpr double gateClosingShare = 0.15; ///< What the node staleness leaves.
    constexpr double pollWaitShare = 0.3;
    constexpr double maxProofAgeMetricS = 1e6; ///< Reported if there is no proof.
    constexpr double msPerSecond = 1000;
    constexpr double answerMarginShare = 0.2;
    constexpr const char* unreadResponsesRetryAfterS = "0.5"; ///< Clients need time to read.
    constexpr int readyStatus = 200;
    constexpr int notReadyStatus = 503;
    constexpr int notFoundStatus = 404;

    std::uint64_t getWallTimeMs()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }

    replica_exchange::options makeExchangeOptions(const mesh_settings& config)
    {
        const auto bound = config.getStalenessBound();
        replica_exchange::options options;
        options.readerStaleness = bound * readerStalenessShare;
        options.nodeStaleness = bound * nodeStalenessShare;
        options.pollWait = std::min(options.pollWait, bound * pollWaitShare);
        options.answerMargin = std::min(options.answerMargin, bound * answerMarginShare);
        options.limitProofAge(config.revokeTime);
        return options;
    }

    std::function<double()> makeRandom()
    {
        auto generator = std::make_shared<std::mt19937>(std::random_device {}());
        return [generator] { return std::uniform_real_distribution<double>(0, 1)(*generator); };
    }

} // namespace

struct mesh_node::state : std::enable_shared_from_this<mesh_node::state> {
    state(boost::asio::io_context& ioContext, mesh_settings settings, target_protocol targetProtocol);

    void limitServer(http_server& server);
    bool open();
    void tick();
    void scheduleTick();
    void runHousekeeping(milliseconds now);
    void detectPause(milliseconds now);
    void reportRateLimit();
    void reportKeyFreshness(milliseconds now);
    void reportFilling();
    void handleClientCall(const std::shared_ptr<incoming_call>& call);
    void handlePeerCall(const std::shared_ptr<incoming_call>& call);
    void handleAdminCall(const std::shared_ptr<incoming_call>& call);
    replica_exchange::hooks makeExchangeHooks();
    quota_agent::hooks makeQuotaHooks();
    void updateNeighbours();
    void updateQuotaNodes(milliseconds now);
    std::set<std::string> findServices(const traffic_rules& rules) const;
    bool isReady() const;
    void onInstanceChange(const instance_directory::entry& entry, const char* change);
    void onLocalRetry(const std::string& requestId, const std::string& refusal);
    void syncWithLocalInstance();
    void updateLocalGate(milliseconds now);
    void finishStopIfDone(milliseconds now);
    bool isRefusingCalls() const;
    milliseconds getNoticePeriod() const;
    milliseconds getEndTime() const;
    void refuse(const std::shared_ptr<incoming_call>& call, const char* reason, const char* retryAfterS);
    std::string formatMetrics();

    boost::asio::io_context& io;
    mesh_settings config;
    target_protocol protocol;
    clock time = clock::makeBoot();
    std::function<double()> random = makeRandom();
    metrics_registry metrics;
    mesh_counters counters { metrics };
    event_log log;
    instance_directory directory;
    instance_picker picker;
    traffic_splitter splitter;
    std::shared_ptr<memory_account> account;
    std::shared_ptr<receive_memory> memory; ///< Of responses; part of `account`.
    std::shared_ptr<connection_budget> connections = std::make_shared<connection_budget>();
    local_target target;
    peer_pools peerPools;
    platform_hooks platform;
    replica_exchange exchange;
    key_freshness keys;
    quota_agent quota;
    mesh_context callContext;
    http_server callersServer;
    http_server peersServer;
    http_server readinessServer;
    http_server metricsServer;
    boost::asio::steady_timer timer;
    std::vector<std::shared_ptr<outbound_call>> openCalls;
    milliseconds lastTickAt;
    milliseconds lastHousekeepingAt;
    milliseconds stoppingSince;
    std::function<void()> onStopped;
    std::string localInstanceKey;
    /// Since when the instance on this VM is known to be draining or gone.
    std::optional<milliseconds> localInstanceLeavingSince;
    fill_state reportedFillState = fill_state::Full; ///< Last logged state of the local instance.
    std::optional<double> reportedRateLimit; ///< Last logged rate limit of the local instance.
    bool hasListing = false;
    bool isStopping = false;
    bool isShuttingDown = false; ///< Everything under way has ended; the connections are being closed.
    milliseconds shutdownStartedAt;
    std::size_t cutOffCallCount = 0; ///< Requests of clients that the stop has cut off.
};

mesh_node::state::state(
    boost::asio::io_context& ioContext, mesh_settings settings, target_protocol targetProtocol)
    : io(ioContext)
    , config(std::move(settings))
    , protocol(std::move(targetProtocol))
    , log(config.node, time, getWallTimeMs, makeDescriptorSink(STDOUT_FILENO), config.logLevel == "debug")
    , directory([this](const instance_directory::entry& entry, const char* change) {
        onInstanceChange(entry, change);
    })
    , picker(config.location, random)
    , account(std::make_shared<memory_account>(makeMemoryShares(config.memoryBytes)))
    , memory(account->getResponses())
    , target(ioContext, time, config.service, config.target, protocol, config.retryLimits, memory,
          [this](
              const std::string& requestId, const std::string& refusal) { onLocalRetry(requestId, refusal); })
    , peerPools(ioContext, time, memory)
    , exchange(time, makeExchangeOptions(config), config.peersListener.host, makeExchangeHooks())
    , keys(config.revokeTime)
    , quota(time.now(), config.peersListener.host, std::random_device {}(), makeQuotaHooks())
    , callContext { config, time, protocol, std::make_shared<const traffic_rules>(), directory, picker,
        splitter, target, peerPools, counters, log, random, std::nullopt,
        [this] { exchange.reportOutdated(); },
        [this] { return keys.mayUseKeys(time.now(), exchange.getProvenAt()); }, quota }
    , callersServer(ioContext, time, config.maxConnections,
          [this](const std::shared_ptr<incoming_call>& call) { handleClientCall(call); })
    , peersServer(ioContext, time, config.maxConnections,
          [this](const std::shared_ptr<incoming_call>& call) { handlePeerCall(call); })
    , readinessServer(ioContext, time, config.maxConnections,
          [this](const std::shared_ptr<incoming_call>& call) { handleAdminCall(call); })
    , metricsServer(ioContext, time, config.maxConnections,
          [this](const std::shared_ptr<incoming_call>& call) { handleAdminCall(call); })
    , timer(ioContext)
    , lastTickAt(time.now())
    , lastHousekeepingAt(time.now())
{
    quota.setTolerance(config.quotaTolerance);
    target.useCallTrees(config.usesCallTrees);
    client_limits peerLimits;
    constexpr std::size_t peerHeaderBytes = 65536; // Fits a client's header section and the call envelope.
    // Not the operators' limit, which the node that receives the request from the client enforces.
    constexpr std::size_t peerBodyBytes = 67108864;
    constexpr milliseconds peerIdleTimeout { 60000 }; // Long enough that the sending node closes first.
    peerLimits.headerBytes = peerHeaderBytes;
    peerLimits.bodyBytes = peerBodyBytes;
    peerLimits.idleTimeout = peerIdleTimeout;
    // Clients may read slowly. They run on this VM, so none is unreachable without its connection being
    // closed.
    constexpr milliseconds clientSendTimeout { 30000 };
    callersServer.setSendTimeout(clientSendTimeout);
    connections->limit
        = static_cast<std::size_t>(static_cast<double>(config.maxDescriptors) * incomingDescriptorShare);
    for (auto* server : { &callersServer, &peersServer, &readinessServer, &metricsServer })
        limitServer(*server);
    peersServer.setLimits(peerLimits);
}

/// Applies the limits on memory, connections and bodies to a listener.
void mesh_node::state::limitServer(http_server& server)
{
    server.setAccount(account);
    server.setBudget(connections);
    server.setReceiveLimits(config.receiveLimits);
    const auto onRefused = [this](const char* reason) {
        counters.countClientRefusal(reason);
        log.write(event_kind::ClientRefused, {},
            { { "reason", std::string(reason) },
                { "request_bytes", static_cast<double>(account->getRequestBytes()) },
                { "response_bytes", static_cast<double>(memory->getUsed()) },
                { "connections", static_cast<double>(connections->open) } });
    };
    server.setRefusalHooks(onRefused, [this, isForPeers = &server == &peersServer](response_head& head) {
        if (!isForPeers)
            return;
        const auto load = target.getLoad();
        peer_reply reply;
        reply.outcome = attempt_outcome::NoRoom;
        reply.busy = load.busy;
        reply.waiting = load.waiting;
        reply.slots = load.slots;
        reply.serviceTime = load.serviceTime;
        head.fields.add(peer_header::reply, formatPeerReply(reply));
    });
}

bool mesh_node::state::open()
{
    const bool isOpen = callersServer.open(config.callersListener) && peersServer.open(config.peersListener)
        && readinessServer.open(config.readyListener);
    if (!isOpen)
        return false;
    return config.metricsListener.host.empty() || metricsServer.open(config.metricsListener);
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
    detectPause(now);
    lastTickAt = now;
    const auto calls = openCalls;
    for (const auto& call : calls)
        call->tick(now);
    openCalls.erase(
        std::remove_if(openCalls.begin(), openCalls.end(), [](const auto& call) { return call->isEnded(); }),
        openCalls.end());
    account->tick(now);
    directory.tick(now);
    updateLocalGate(now);
    target.tick();
    reportRateLimit();
    reportFilling();
    peerPools.tick();
    exchange.tick();
    reportKeyFreshness(now);
    quota.tick(now);
    log.flush();
    if (now - lastHousekeepingAt >= housekeepingInterval)
        runHousekeeping(now);
    if (isStopping)
        finishStopIfDone(now);
}

void mesh_node::state::runHousekeeping(milliseconds now)
{
    lastHousekeepingAt = now;
    callersServer.tick();
    peersServer.tick();
    readinessServer.tick();
    metricsServer.tick();
    updateNeighbours();
    updateQuotaNodes(now);
    picker.pruneUnlisted(directory);
    target.setInstanceCount(static_cast<int>(directory.findService(config.service).size()));
}

void mesh_node::state::detectPause(milliseconds now)
{
    const auto gap = now - lastTickAt;
    if (gap > maxTickGap)
        log.write(event_kind::PauseDetected, {}, { { "ms", gap.getCount() } });
}

/// Logs when the local instance states another rate limit, or none any more.
void mesh_node::state::reportRateLimit()
{
    const auto limit = target.getLoad().rateLimit;
    if (limit == reportedRateLimit)
        return;
    log.write(event_kind::LimitChanged, {},
        { { "instance", localInstanceKey }, { "limit_per_s", limit.value_or(0) },
            { "before", reportedRateLimit.value_or(0) }, { "limited", std::string(limit ? "yes" : "no") } });
    reportedRateLimit = limit;
}

/// Logs when keys are refused because the rules are not proved current, and when they are accepted again.
void mesh_node::state::reportKeyFreshness(milliseconds now)
{
    const auto provenAt = exchange.getProvenAt();
    if (!keys.isLimited() || !keys.hasChanged(now, provenAt))
        return;
    const bool isProved = provenAt > freshness_proof::never;
    log.write(event_kind::KeyFreshnessChanged, {},
        { { "keys", std::string(keys.mayUseKeys(now, provenAt) ? "accepted" : "refused") },
            { "age_ms", isProved ? (now - provenAt).getCount() : -1 }, { "source", exchange.getSource() },
            { "reads", std::string(exchange.isReader() ? "yes" : "no") },
            { "rules", static_cast<double>(callContext.rules->version) } });
}

/// Logs when the local instance starts to be filled with requests, and when it is full.
void mesh_node::state::reportFilling()
{
    const auto state = target.getFillState();
    if (state == reportedFillState)
        return;
    const auto load = target.getLoad();
    log.write(event_kind::FillChanged, {},
        { { "instance", localInstanceKey }, { "state", std::string(getFillStateName(state)) },
            { "before", std::string(getFillStateName(reportedFillState)) },
            { "usable", static_cast<double>(load.slots) },
            { "slots", static_cast<double>(load.isFilling() ? load.fullSlots : load.slots) },
            { "busy", static_cast<double>(load.busy) }, { "waiting", static_cast<double>(load.waiting) },
            { "rejected_share", load.rejectedShare }, { "service_ms", load.serviceTime.getCount() } });
    reportedFillState = state;
}

/// @return whether the node is stopping and the notice period for clients and peers has ended.
bool mesh_node::state::isRefusingCalls() const
{
    return isStopping && time.now() - stoppingSince >= getNoticePeriod();
}

/// @return how long new requests are accepted after the stop signal; at most half of the grace period.
milliseconds mesh_node::state::getNoticePeriod() const
{
    return std::min(maxNoticePeriod, config.gracePeriod * 0.5);
}

/// @return when a node that is stopping cuts off the requests that are still in flight.
milliseconds mesh_node::state::getEndTime() const
{
    return stoppingSince + std::max(config.gracePeriod * usableGraceShare, config.gracePeriod - exitTime);
}

/// Refuses a request before anything is done for it.
void mesh_node::state::refuse(
    const std::shared_ptr<incoming_call>& call, const char* reason, const char* retryAfterS)
{
    response_head head;
    head.status = notReadyStatus;
    head.fields.add("Retry-After", retryAfterS);
    counters.countRequest({}, notReadyStatus, reason, milliseconds(), time.now());
    log.write(event_kind::RequestRefused, protocol.parseClientFields(call->getRequest().fields).requestId,
        { { "reason", std::string(reason) } });
    call->respond(head, {});
}

void mesh_node::state::handleClientCall(const std::shared_ptr<incoming_call>& call)
{
    // The end of the process could cut the request off, so the client has to send it to another node.
    if (isRefusingCalls()) {
        refuse(call, "stopping", formatSeconds(stoppingRetryAfterS).c_str());
        return;
    }
    // Further responses could exceed the memory of the process, which would lose all of them.
    if (memory->isMostlyHeld()) {
        refuse(call, "unread-responses", unreadResponsesRetryAfterS);
        return;
    }
    const auto started = std::make_shared<outbound_call>(callContext, call);
    started->start();
    if (!started->isEnded())
        openCalls.push_back(started);
}

bool mesh_node::state::isReady() const { return !isStopping && callContext.rules->version > 0 && hasListing; }

void mesh_node::state::handlePeerCall(const std::shared_ptr<incoming_call>& call)
{
    if (isReplicaPoll(call->getRequest()))
        serveReplicaPoll(exchange, call);
    else if (isQuotaMessage(call->getRequest()))
        serveQuotaMessage(quota, time, call);
    else
        serveInboundCall(callContext, call);
}

replica_exchange::hooks mesh_node::state::makeExchangeHooks()
{
    replica_exchange::hooks hooks;
    hooks.sendPoll = [this](const std::string& host, const replica_poll& poll, milliseconds timeout,
                         replica_exchange::answer_hook onAnswer) {
        counters.replicaPolls.add();
        sendReplicaPoll(
            peerPools, { host, config.peersListener.port }, poll, time.now() + timeout, std::move(onAnswer));
    };
    hooks.onListed = [this](const item_changes& listed) {
        if (platform.onListed)
            platform.onListed(listed);
    };
    hooks.onChanges = [this](const item_changes& added) {
        if (platform.onChanges)
            platform.onChanges(added);
    };
    hooks.onRoleChanged = [this](bool isReader) {
        log.write(event_kind::ReadingChanged, {},
            { { "reads", std::string(isReader ? "yes" : "no") }, { "source", exchange.getSource() },
                { "rank", static_cast<double>(exchange.getRank()) },
                { "revision", static_cast<double>(exchange.getReplica().getRevision()) } });
        if (platform.onRoleChanged)
            platform.onRoleChanged(isReader);
    };
    hooks.onOutdated = [this] {
        if (platform.onOutdated)
            platform.onOutdated();
    };
    hooks.onDisconnected = [this](const std::string& reason) {
        counters.platformFailures.add();
        directory.onPlatformDisconnected();
        log.write(event_kind::PlatformLost, {},
            { { "reason", reason }, { "rules", static_cast<double>(callContext.rules->version) } });
    };
    hooks.onReconnected = [this](milliseconds since) {
        directory.onPlatformReconnected(since);
        log.write(event_kind::PlatformRegained, {},
            { { "rules", static_cast<double>(callContext.rules->version) },
                { "source", exchange.getSource() },
                { "reads", std::string(exchange.isReader() ? "yes" : "no") } });
    };
    hooks.onEpochRisen = [this] {
        directory.onPlatformRestored(time.now());
        const auto& replica = exchange.getReplica();
        log.write(event_kind::PlatformRestored, {},
            { { "epoch", static_cast<double>(replica.getEpoch()) },
                { "revision", static_cast<double>(replica.getRevision()) },
                { "rules", static_cast<double>(callContext.rules->version) } });
    };
    return hooks;
}

quota_agent::hooks mesh_node::state::makeQuotaHooks()
{
    quota_agent::hooks hooks;
    hooks.sendReport = [this](const std::string& host, const quota_report& report, milliseconds timeout,
                           quota_agent::answer_hook onAnswer) {
        sendQuotaReport(peerPools, time, config.peersListener.host, { host, config.peersListener.port },
            report, timeout, std::move(onAnswer));
    };
    hooks.sendCall = [this](const std::string& host, const quota_answer& call, milliseconds timeout) {
        sendQuotaCall(
            peerPools, time, config.peersListener.host, { host, config.peersListener.port }, call, timeout);
    };
    hooks.onCoordinatorChanged
        = [this](const std::string& host, const std::string& before, const char* reason) {
              log.write(event_kind::QuotaCoordinatorChanged, {},
                  { { "host", host }, { "before", before }, { "reason", std::string(reason) },
                      { "nodes", quota.getNodeCount() } });
          };
    return hooks;
}

/// Tells the quotas of all listed nodes, in any state: each of them may admit requests.
void mesh_node::state::updateQuotaNodes(milliseconds now)
{
    if (!quota.isEnabled() || !hasListing)
        return;
    std::vector<std::string> hosts;
    for (const auto& [id, entry] : directory.getEntries()) {
        if (directory.hasService(entry.record.service))
            hosts.push_back(entry.record.target.host);
    }
    quota.setNodes(now, std::move(hosts), exchange.isConnected());
}

/// @return the services that the rules name, and the one of the instance on this VM.
std::set<std::string> mesh_node::state::findServices(const traffic_rules& rules) const
{
    std::set<std::string> services { config.service };
    for (const auto& [name, description] : rules.services)
        services.insert(name);
    for (const auto& route : rules.routes) {
        for (const auto& destination : route.destinations)
            services.insert(destination.service);
    }
    return services;
}

/// Finds the other nodes of the zone through the instances that they run beside.
void mesh_node::state::updateNeighbours()
{
    std::vector<std::string> hosts;
    for (const auto& [id, entry] : directory.getEntries()) {
        const bool isNeighbour = entry.record.zone == config.location.zone && !entry.record.isDraining
            && directory.hasService(entry.record.service);
        if (isNeighbour)
            hosts.push_back(entry.record.target.host);
    }
    if (!hosts.empty())
        exchange.setNodes(hosts);
}

void mesh_node::state::handleAdminCall(const std::shared_ptr<incoming_call>& call)
{
    response_head head;
    const auto path = call->getRequest().getPath();
    if (path == "/metrics") {
        head.fields.add("Content-Type", "text/plain; version=0.0.4");
        call->respond(head, formatMetrics());
        return;
    }
    if (path == placementPath) {
        const auto report = reportPlacement(callContext, call->getRequest().target, head);
        call->respond(head, report);
        return;
    }
    head.status = path != "/ready" ? notFoundStatus : isReady() ? readyStatus : notReadyStatus;
    call->respond(head, {});
}

std::string mesh_node::state::formatMetrics()
{
    const auto load = target.getLoad();
    counters.slotsBusy.set(load.busy);
    counters.slotsWaiting.set(load.waiting);
    counters.slotsUsable.set(load.slots);
    counters.fillState.set(static_cast<double>(target.getFillState()));
    counters.rateLimit.set(load.rateLimit.value_or(0));
    counters.openCalls.set(static_cast<double>(openCalls.size()));
    counters.heldRequestBytes.set(static_cast<double>(account->getRequestBytes()));
    counters.heldResponseBytes.set(static_cast<double>(memory->getUsed()));
    counters.waitingReaders.set(static_cast<double>(account->getWaitingCount()));
    counters.connections.set(static_cast<double>(connections->open));
    counters.isReader.set(exchange.isReader() ? 1 : 0);
    counters.isConnected.set(exchange.isConnected() ? 1 : 0);
    counters.replicaRevision.set(static_cast<double>(exchange.getReplica().getRevision()));
    if (keys.isLimited()) {
        const auto age = (time.now() - exchange.getProvenAt()).getCount() / msPerSecond;
        counters.proofAge.set(std::min(age, maxProofAgeMetricS));
    }
    counters.instances.set(static_cast<double>(directory.getEntries().size()));
    counters.setQuota(quota, time.now());
    for (const auto& route : target.getCallTrees().getDemand().getRoutes()) {
        for (const auto& need : target.getCallTrees().getDemand().getNeeds(route))
            counters.setTreeDemand(route, need.service, need.work);
    }
    return metrics.formatPrometheusText(time.now());
}

void mesh_node::state::onInstanceChange(const instance_directory::entry& entry, const char* change)
{
    const auto& record = entry.record;
    log.write(event_kind::InstanceChanged, {},
        { { "instance", record.id }, { "service", record.service }, { "zone", record.zone },
            { "address", formatAddress(record.target) }, { "change", std::string(change) },
            { "slots", static_cast<double>(record.slots) },
            { "revision", static_cast<double>(record.revision) } });
}

void mesh_node::state::onLocalRetry(const std::string& requestId, const std::string& refusal)
{
    counters.localRetries.add();
    log.write(event_kind::RequestAskedAgain, requestId,
        { { "instance", localInstanceKey }, { "detail", refusal } });
}

/// Updates the local target after the platform has changed the listed entry of the instance on this VM.
void mesh_node::state::syncWithLocalInstance()
{
    const auto* entry = directory.findByTarget(config.target, config.service);
    if (!entry)
        return;
    target.setSlots(entry->record.slots);
    const auto startKey = entry->record.id + '/' + std::to_string(entry->record.startedAtMs);
    if (startKey == localInstanceKey)
        return;
    const bool isReplaced = !localInstanceKey.empty();
    if (isReplaced)
        target.onInstanceReplaced();
    if (isRecentStart(entry->record, getWallTimeMs(), isReplaced))
        target.beginFilling();
    localInstanceKey = startKey;
}

/// Refuses new and waiting requests soon after the local instance is known to be leaving, so that they go to
/// other instances. Nodes that learn of it later than this one may still send requests until then.
void mesh_node::state::updateLocalGate(milliseconds now)
{
    const auto* entry = directory.findByTarget(config.target, config.service);
    const bool isLeaving = entry ? entry->record.isDraining : !localInstanceKey.empty();
    if (!isLeaving)
        localInstanceLeavingSince.reset();
    else if (!localInstanceLeavingSince)
        localInstanceLeavingSince = now;
    const bool hasLeft = localInstanceLeavingSince
        && now - *localInstanceLeavingSince >= config.getStalenessBound() * gateClosingShare;
    target.setDraining(hasLeft || isRefusingCalls());
}

void mesh_node::state::finishStopIfDone(milliseconds now)
{
    const auto elapsed = now - stoppingSince;
    if (isRefusingCalls() && !isShuttingDown) {
        peersServer.beginClosing();
        if (callersServer.isDrained() && peersServer.isDrained()) {
            isShuttingDown = true;
            shutdownStartedAt = now;
            callersServer.shutDown();
            peersServer.shutDown();
        }
    }
    if (isShuttingDown) {
        callersServer.tick();
        peersServer.tick();
    }
    const auto timeLeft = getEndTime() - now;
    if (timeLeft <= config.gracePeriod * deliveryGraceShare) {
        cutOffCallCount += callersServer.cutOffBlockingCalls(timeLeft);
        peersServer.cutOffBlockingCalls(timeLeft);
    }
    const auto connections = callersServer.getConnectionCount() + peersServer.getConnectionCount();
    // The end of the process could discard a response that is still on its way.
    const bool isLingering = callersServer.isLingering() || peersServer.isLingering();
    const bool isDone = isShuttingDown && !isLingering
        && (connections == 0 || now - shutdownStartedAt >= maxConnectionShutdownTime);
    if (!isDone && timeLeft > milliseconds())
        return;
    cutOffCallCount += callersServer.cutOffCalls();
    peersServer.cutOffCalls();
    log.write(event_kind::NodeStopped, {},
        { { "open", static_cast<double>(cutOffCallCount) },
            { "connections", static_cast<double>(connections) }, { "ms", elapsed.getCount() } });
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
    m_state->log.write(event_kind::NodeStarted, {},
        { { "service", m_state->config.service }, { "zone", m_state->config.location.zone } });
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
    m_state->callContext.endsAt = m_state->getEndTime();
    m_state->callersServer.beginClosing();
    m_state->exchange.stop();
    m_state->log.write(event_kind::NodeStopping, {},
        { { "open", static_cast<double>(m_state->callersServer.getOpenCallCount()) } });
}

void mesh_node::applyRules(traffic_rules rules)
{
    auto& self = *m_state;
    const auto previousVersion = self.callContext.rules->version;
    if (rules.version <= previousVersion)
        return;
    self.callersServer.setLimits(rules.limits);
    self.directory.setServices(self.findServices(rules));
    self.counters.rulesVersion.set(static_cast<double>(rules.version));
    self.log.write(event_kind::RulesAdopted, {},
        { { "version", static_cast<double>(rules.version) },
            { "before", static_cast<double>(previousVersion) },
            { "routes", static_cast<double>(rules.routes.size()) } });
    self.callContext.rules = std::make_shared<const traffic_rules>(std::move(rules));
    self.quota.setRules(self.time.now(), *self.callContext.rules);
    self.updateQuotaNodes(self.time.now());
}

void mesh_node::reportInvalidRules(const std::string& reason)
{
    m_state->log.write(event_kind::RulesRefused, {},
        { { "reason", reason }, { "version", static_cast<double>(m_state->callContext.rules->version) } });
}

void mesh_node::setInstances(const std::vector<instance_record>& listed)
{
    m_state->directory.applyListing(listed, m_state->time.now());
    m_state->hasListing = true;
    m_state->updateQuotaNodes(m_state->time.now());
    m_state->syncWithLocalInstance();
}

void mesh_node::updateInstance(const instance_record& record)
{
    m_state->directory.put(record, m_state->time.now());
    m_state->syncWithLocalInstance();
}

void mesh_node::removeInstance(const std::string& id, const std::string& reason)
{
    if (!reason.empty())
        m_state->log.write(event_kind::EntryIgnored, {}, { { "instance", id }, { "reason", reason } });
    m_state->directory.remove(id, m_state->time.now());
}

void mesh_node::setPlatformHooks(platform_hooks hooks) { m_state->platform = std::move(hooks); }

void mesh_node::setNeighbours(const std::vector<instance_record>& listed)
{
    std::vector<std::string> hosts;
    for (const auto& record : listed) {
        if (record.zone == m_state->config.location.zone && !record.isDraining)
            hosts.push_back(record.target.host);
    }
    m_state->exchange.setNodes(hosts);
}

replica_exchange& mesh_node::getReplicaExchange() { return m_state->exchange; }

void mesh_node::reportMissedChange(std::uint64_t knownRevision, std::uint64_t platformRevision)
{
    m_state->counters.missedChanges.add();
    m_state->log.write(event_kind::WatchReplaced, {},
        { { "revision", static_cast<double>(knownRevision) },
            { "platform_revision", static_cast<double>(platformRevision) } });
}

void mesh_node::countPlatformCall() { m_state->counters.platformCalls.add(); }

void mesh_node::reloadSettings(const std::optional<mesh_settings>& config, const std::string& reason)
{
    if (!config) {
        m_state->log.write(event_kind::SettingsRefused, {}, { { "reason", reason } });
        return;
    }
    m_state->config.gracePeriod = config->gracePeriod;
    m_state->log.write(event_kind::SettingsReloaded, {}, {});
}

} // namespace fuchsiagauge
