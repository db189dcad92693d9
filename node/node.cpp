#include "node/node.h"

#include "core/log.h"
#include "node/admin_handler.h"
#include "node/edge_handler.h"
#include "node/egress_handler.h"
#include "node/mesh_handler.h"
#include "node/order_handler.h"
#include "node/policy_factory.h"
#include "node/target_monitor.h"
#include "transport/call_listener.h"
#include "transport/coroutine.h"
#include "transport/fleet_controller.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <limits>
#include <set>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds tickPeriod { 10 };
    constexpr milliseconds leavingNoticePeriod { 1000 }; ///< Shortest time from the notice to the stop.
    constexpr milliseconds linkMeasurePeriod { 1000 };
    constexpr double linkDemandFactor = 1.5; ///< Leaves room for traffic to grow until the next measurement.

    /// @return the configured start number, or the present time in microseconds since the epoch.
    std::uint64_t getStartNumber(const settings& config)
    {
        const auto configured = config.getInteger("fleet.start_number");
        if (configured > 0)
            return static_cast<std::uint64_t>(configured);
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
    }

    node_identity makeIdentity(const settings& config)
    {
        node_identity identity;
        identity.instance = config.getText("instance");
        identity.service = config.getText("service");
        identity.region = config.getText("region");
        identity.zone = config.getText("zone");
        identity.startNumber = getStartNumber(config);
        return identity;
    }

    listener_limits makeLimits(const settings& config)
    {
        listener_limits limits;
        limits.headerBytes = static_cast<std::size_t>(config.getInteger("limits.header_bytes"));
        limits.bodyBytes = static_cast<std::size_t>(config.getInteger("limits.body_bytes"));
        limits.connections = static_cast<std::size_t>(config.getInteger("limits.connections"));
        return limits;
    }

    instance_view makeOwnView(const node_identity& identity, const settings& config)
    {
        instance_view view;
        view.id = identity.instance;
        view.service = identity.service;
        view.region = identity.region;
        view.zone = identity.zone;
        view.meshAddress = config.getText("listen.mesh");
        view.peerAddress = config.getText("listen.peer");
        view.startNumber = identity.startNumber;
        return view;
    }

} // namespace

struct node::state {
    state(boost::asio::io_context& ioContext, const settings& nodeSettings)
        : io(ioContext)
        , config(nodeSettings)
        , nodeContext { ioContext, nodeSettings, makeIdentity(nodeSettings), clock::makeSteady(),
            fleet_keys(nodeSettings.getTextList("fleet.keys")), sharedState, id_generator(),
            pool_registry(ioContext), in_flight_attempts(), call_counters(metrics), nullptr, nullptr, nullptr,
            std::numeric_limits<int>::max(), true, retry_ratio_limiter(retry_rules().fleetRatio),
            link_budget(link_rules().bytesPerSecond), nullptr, nullptr }
        , runner(nodeContext)
        , meshClient(nodeContext)
        , dispatcher(nodeContext, runner, meshClient)
        , orders(nodeContext, dispatcher, runner, meshClient)
        , edge(nodeContext, dispatcher, orders)
        , mesh(nodeContext, runner, orders)
        , egress(nodeContext, dispatcher)
        , monitor(nodeContext)
        , audit(nodeContext.identity.instance, nodeContext.identity.startNumber,
              static_cast<std::size_t>(nodeSettings.getInteger("audit.entries")))
        , fleet(ioContext, nodeSettings, nodeContext.keys, sharedState, nodeContext.time,
              nodeContext.identity.startNumber, makeFleetHooks())
        , admin(nodeContext, metrics, audit, [this](node_status& status) { fillControlStatus(status); })
        , edgeListener(ioContext, makeLimits(nodeSettings), makeCallHook(edge))
        , meshListener(ioContext, makeLimits(nodeSettings), makeCallHook(mesh))
        , egressListener(ioContext, makeLimits(nodeSettings), makeCallHook(egress))
        , adminListener(ioContext, makeLimits(nodeSettings), makeCallHook(admin))
    {
    }

    template <typename Handler> static call_listener::call_hook makeCallHook(Handler& handler)
    {
        return [&handler](call_request& request, response_writer& writer, boost::asio::yield_context yield) {
            handler.handle(request, writer, yield);
        };
    }

    fleet_controller::hooks makeFleetHooks()
    {
        fleet_controller::hooks hooks;
        hooks.audit = [this](audit_event event, const std::string& detail, const std::string& cause) {
            record(event, detail, cause);
        };
        hooks.onLeaveRequired = [this](const std::string& cause) {
            boost::asio::post(io, [this, cause] { beginLeaving(cause); });
        };
        return hooks;
    }

    /// Stops admitting requests and announces to the peers that this node is leaving. Requests in flight
    /// continue. Later calls have no effect.
    void beginLeaving(const std::string& cause)
    {
        if (isLeaving)
            return;
        isLeaving = true;
        monitor.setNodeLeaving();
        fleet.announceLeaving();
        record(audit_event::NodeLeaving, "takes no new work", cause);
    }

    /// Measures the bytes per second that this node sends to other regions and updates its demand for link
    /// budget, once per linkMeasurePeriod.
    void updateRegionLinkDemand(milliseconds now)
    {
        const auto elapsed = now - linkMeasuredAt;
        if (elapsed < linkMeasurePeriod)
            return;
        std::uint64_t total = 0;
        for (const auto& [name, counts] : nodeContext.counters.getClasses())
            total += counts.linkBytes.get();
        linkBytesPerSecond = static_cast<double>(total - linkBytesSeen) / (elapsed / milliseconds(1000));
        linkBytesSeen = total;
        linkMeasuredAt = now;
        fleet.setRegionLinkDemand(linkBytesPerSecond * linkDemandFactor);
    }

    void fillControlStatus(node_status& status) const
    {
        const auto fleetStatus = fleet.getStatus();
        status.link.usedBytesPerSecond = linkBytesPerSecond;
        status.configuration.hasDocumentConflict = fleetStatus.hasRevisionConflict;
        status.configuration.lastRefusal = fleetStatus.lastRefusal;
        status.control.peers = static_cast<int>(fleetStatus.linkedPeers.size());
        status.control.isReader = fleetStatus.role != reader_role::None;
        status.control.readers = fleetStatus.readers;
        status.control.cutOffRegions = fleetStatus.cutOffRegions;
        status.control.cutOffZones = fleetStatus.cutOffZones;
        status.control.isPlatformReachable = fleetStatus.isPlatformReachable;
        status.control.platformCalls = fleetStatus.platformCalls;
        const auto seconds = status.uptime / milliseconds(1000);
        const auto bytes = static_cast<double>(fleetStatus.sentBytes + fleetStatus.receivedBytes);
        status.control.bytesPerSecond = seconds > 0 ? bytes / seconds : 0;
    }

    admission_hooks makeAdmissionHooks()
    {
        admission_hooks hooks;
        hooks.onLevel = [this](std::uint32_t level) {
            const bool isOverloaded = level > 0;
            if (isOverloaded == wasOverloaded)
                return;
            wasOverloaded = isOverloaded;
            record(isOverloaded ? audit_event::OverloadStarted : audit_event::OverloadEnded,
                "admission level " + std::to_string(level),
                std::to_string(nodeContext.admission->getInFlight()) + " in flight, "
                    + std::to_string(nodeContext.admission->getQueued()) + " queued");
        };
        return hooks;
    }

    /// @return the addresses that the node may call: its own target and all instances.
    std::set<address> collectAddresses(const fleet_view& view) const
    {
        std::set<address> addresses { *parseAddress(config.getText("target.address")) };
        for (const auto& [id, instance] : view.instances) {
            if (const auto remote = meshClient.findMeshAddress(instance))
                addresses.insert(*remote);
        }
        return addresses;
    }

    /// Applies changes of the shared state to the policies and connection pools; no request is
    /// dropped.
    void observeSharedState()
    {
        sharedState.configuration.addObserver([this](const active_configuration& configuration) {
            const auto& rules = configuration.getPreset();
            nodeContext.admission->setRules(rules.getServiceRules(nodeContext.identity.service));
            nodeContext.ratio.setRatio(rules.retries.fleetRatio);
        });
        sharedState.target.addObserver([this](const target_status& status) {
            nodeContext.admission->setPublishedSlots(status.publishedSlots);
            nodeContext.admission->setLeaving(status.isLeaving);
            if (status.isLeaving)
                nodeContext.routing->onLeaving(nodeContext.identity.instance);
        });
        sharedState.fleet.addObserver(
            [this](const fleet_view& view) { nodeContext.pools.retain(collectAddresses(view)); });
        sharedState.link.addObserver([this](const link_share& share) {
            nodeContext.link.setRate(nodeContext.now(), share.bytesPerSecond);
        });
    }

    void record(audit_event event, const std::string& detail, const std::string& cause)
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const auto wallTimeMs = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
        audit.record(static_cast<std::uint64_t>(wallTimeMs), event, detail, cause,
            sharedState.configuration.get().revision);
    }

    bool openListeners()
    {
        return fleet.start() && openListener(edgeListener, "listen.edge")
            && openListener(meshListener, "listen.mesh") && openListener(egressListener, "listen.egress")
            && openListener(adminListener, "listen.admin");
    }

    bool openListener(call_listener& listener, const std::string& key)
    {
        return listener.open(*parseAddress(config.getText(key))).has_value();
    }

    void tick(boost::asio::yield_context yield)
    {
        while (!isStopped) {
            const auto now = nodeContext.now();
            nodeContext.admission->tick(now);
            updateRegionLinkDemand(now);
            sleepFor(io, tickPeriod, yield);
        }
    }

    bool isIdle() const
    {
        return nodeContext.admission->getInFlight() == 0 && edgeListener.getOpenCallCount() == 0
            && meshListener.getOpenCallCount() == 0 && egressListener.getOpenCallCount() == 0;
    }

    bool isLingering() const
    {
        return edgeListener.isLingering() || meshListener.isLingering() || egressListener.isLingering()
            || adminListener.isLingering();
    }

    void drainAndStop(boost::asio::yield_context yield)
    {
        const auto startedAt = nodeContext.now();
        const auto gracePeriod = milliseconds(static_cast<double>(config.getInteger("stop.grace_ms")));
        sleepFor(io, leavingNoticePeriod, yield);
        while (!isIdle() && nodeContext.now() - startedAt < gracePeriod)
            sleepFor(io, tickPeriod, yield);
        edgeListener.stop();
        meshListener.stop();
        egressListener.stop();
        adminListener.stop();
        // The end of the process could discard a response that is still on its way.
        while (isLingering() && nodeContext.now() - startedAt < gracePeriod)
            sleepFor(io, tickPeriod, yield);
        fleet.stop();
        monitor.stop();
        isStopped = true;
        record(
            audit_event::NodeStopped, "stopped", "in-flight requests have ended or the grace period is over");
    }

    boost::asio::io_context& io;
    const settings& config;
    shared_state sharedState;
    metrics_registry metrics;
    node_context nodeContext;
    target_runner runner;
    mesh_client meshClient;
    call_dispatcher dispatcher;
    order_handler orders;
    edge_handler edge;
    mesh_handler mesh;
    egress_handler egress;
    target_monitor monitor;
    audit_trail audit;
    fleet_controller fleet;
    admin_handler admin;
    call_listener edgeListener;
    call_listener meshListener;
    call_listener egressListener;
    call_listener adminListener;
    bool isStopped = false;
    bool wasOverloaded = false;
    bool isLeaving = false;
    milliseconds linkMeasuredAt;
    std::uint64_t linkBytesSeen = 0;
    double linkBytesPerSecond = 0;
};

node::node(boost::asio::io_context& io, const settings& config)
    : m_state(std::make_unique<state>(io, config))
{
}

node::~node() = default;

bool node::start()
{
    auto& self = *m_state;
    if (!makePolicies(self.nodeContext, self.makeAdmissionHooks()))
        return false;
    fleet_view view;
    view.instances.emplace(
        self.nodeContext.identity.instance, makeOwnView(self.nodeContext.identity, self.config));
    self.sharedState.fleet.set(view);
    self.observeSharedState();
    self.nodeContext.onRevisionSeen = [&self](const std::string& instance, std::uint64_t revision) {
        self.fleet.recordRevision(instance, revision);
    };
    self.nodeContext.onStartNumberSeen
        = [&self](const std::string& instance, std::uint64_t startNumber, bool isLeaving) {
              self.fleet.recordStatement(instance, startNumber, isLeaving);
          };
    if (!self.openListeners())
        return false;
    self.monitor.start();
    startCoroutine(self.io, [&self](boost::asio::yield_context yield) { self.tick(yield); });
    self.record(audit_event::NodeStarted, "serves " + self.nodeContext.identity.service,
        "start number " + std::to_string(self.nodeContext.identity.startNumber));
    return true;
}

void node::leave(const std::function<void()>& onStopped)
{
    auto& self = *m_state;
    self.beginLeaving("planned stop");
    startCoroutine(self.io, [&self, onStopped](boost::asio::yield_context yield) {
        self.drainAndStop(yield);
        onStopped();
    });
}

} // namespace fuchsiagauge
