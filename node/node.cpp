#include "node/node.h"

#include "core/log.h"
#include "node/admin_handler.h"
#include "node/edge_handler.h"
#include "node/egress_handler.h"
#include "node/mesh_handler.h"
#include "node/order_desk.h"
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
    constexpr milliseconds leavingLinger { 1000 };
    constexpr milliseconds linkMeasurePeriod { 1000 };
    constexpr double linkDemandHeadroom = 1.5; ///< Lets a sender grow between two measurements.

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
        , parts { ioContext, nodeSettings, makeIdentity(nodeSettings), clock::makeSteady(),
            fleet_keys(nodeSettings.getTextList("fleet.keys")), board, id_source(), pool_registry(ioContext),
            open_work(), call_counters(metrics), nullptr, nullptr, nullptr, std::numeric_limits<int>::max(),
            true, retry_ratio_limiter(retry_rules().fleetRatio), link_budget(link_rules().bytesPerSecond),
            nullptr, nullptr }
        , runner(parts)
        , caller(parts)
        , dispatcher(parts, runner, caller)
        , orders(parts, dispatcher, runner, caller)
        , edge(parts, dispatcher, orders)
        , mesh(parts, runner, orders)
        , egress(parts, dispatcher)
        , monitor(parts)
        , audit(parts.identity.instance, parts.identity.startNumber,
              static_cast<std::size_t>(nodeSettings.getInteger("audit.entries")))
        , fleet(ioContext, nodeSettings, parts.keys, board, parts.time, parts.identity.startNumber,
              makeFleetHooks())
        , admin(parts, metrics, audit, [this](node_status& status) { describeControl(status); })
        , edgeListener(ioContext, makeLimits(nodeSettings), makeHook(edge))
        , meshListener(ioContext, makeLimits(nodeSettings), makeHook(mesh))
        , egressListener(ioContext, makeLimits(nodeSettings), makeHook(egress))
        , adminListener(ioContext, makeLimits(nodeSettings), makeHook(admin))
    {
    }

    template <typename Handler> static call_listener::call_hook makeHook(Handler& handler)
    {
        return [&handler](call_request& request, answer_writer& writer, boost::asio::yield_context yield) {
            handler.handle(request, writer, yield);
        };
    }

    fleet_controller::hooks makeFleetHooks()
    {
        fleet_controller::hooks hooks;
        hooks.audit = [this](audit_event event, const std::string& detail, const std::string& cause) {
            record(event, detail, cause);
        };
        hooks.onOwnEnd
            = [this](const std::string& why) { boost::asio::post(io, [this, why] { closeGate(why); }); };
        return hooks;
    }

    /// Admits nothing new from now on and tells the peers; what is in flight ends as usual.
    void closeGate(const std::string& why)
    {
        if (isGateClosed)
            return;
        isGateClosed = true;
        monitor.setNodeLeaving();
        fleet.announceLeaving();
        record(audit_event::NodeLeaving, "takes no new work", why);
    }

    /// States what this node sends over the link between regions, once for each period.
    void measureLink(milliseconds now)
    {
        const auto span = now - linkMeasuredAt;
        if (span < linkMeasurePeriod)
            return;
        std::uint64_t total = 0;
        for (const auto& [name, counts] : parts.counters.getClasses())
            total += counts.linkBytes.get();
        linkBytesPerSecond = static_cast<double>(total - linkBytesSeen) / (span / milliseconds(1000));
        linkBytesSeen = total;
        linkMeasuredAt = now;
        fleet.setLinkDemand(linkBytesPerSecond * linkDemandHeadroom);
    }

    void describeControl(node_status& status) const
    {
        const auto known = fleet.getStatus();
        status.link.usedBytesPerSecond = linkBytesPerSecond;
        status.configuration.hasDocumentAlarm = known.hasRevisionConflict;
        status.configuration.lastRefusal = known.lastRefusal;
        status.control.peers = static_cast<int>(known.linkedPeers.size());
        status.control.isReader = known.role != reader_role::None;
        status.control.readers = known.readers;
        status.control.cutOffRegions = known.cutOffRegions;
        status.control.cutOffZones = known.cutOffZones;
        status.control.isPlatformReachable = known.isPlatformReachable;
        status.control.platformCalls = known.platformCalls;
        const auto seconds = status.uptime / milliseconds(1000);
        const auto bytes = static_cast<double>(known.sentBytes + known.receivedBytes);
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
                std::to_string(parts.admission->getInFlight()) + " in flight, "
                    + std::to_string(parts.admission->getQueued()) + " queued");
        };
        return hooks;
    }

    /// @return the addresses that the node may call: its own target and every instance.
    std::set<address> collectAddresses(const fleet_view& view) const
    {
        std::set<address> addresses { *parseAddress(config.getText("target.address")) };
        for (const auto& [id, instance] : view.instances) {
            if (const auto remote = caller.findRemote(instance))
                addresses.insert(*remote);
        }
        return addresses;
    }

    /// Puts what the blackboard says in force, without dropping a request.
    void observeBoard()
    {
        board.configuration.addObserver([this](const configuration_in_force& configuration) {
            const auto& rules = configuration.getPreset();
            parts.admission->setRules(rules.getServiceRules(parts.identity.service));
            parts.ratio.setRatio(rules.retries.fleetRatio);
        });
        board.target.addObserver([this](const target_status& status) {
            parts.admission->setPublishedSlots(status.publishedSlots);
            parts.admission->setLeaving(status.isLeaving);
            if (status.isLeaving)
                parts.routing->onLeaving(parts.identity.instance);
        });
        board.fleet.addObserver(
            [this](const fleet_view& view) { parts.pools.retain(collectAddresses(view)); });
        board.link.addObserver(
            [this](const link_share& share) { parts.link.setRate(parts.now(), share.bytesPerSecond); });
    }

    void record(audit_event event, const std::string& detail, const std::string& cause)
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const auto wallTimeMs = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
        audit.record(
            static_cast<std::uint64_t>(wallTimeMs), event, detail, cause, board.configuration.get().revision);
    }

    bool openListeners()
    {
        return fleet.start() && openOne(edgeListener, "listen.edge") && openOne(meshListener, "listen.mesh")
            && openOne(egressListener, "listen.egress") && openOne(adminListener, "listen.admin");
    }

    bool openOne(call_listener& listener, const std::string& key)
    {
        return listener.open(*parseAddress(config.getText(key))).has_value();
    }

    void tick(boost::asio::yield_context yield)
    {
        while (!isStopped) {
            const auto now = parts.now();
            parts.admission->tick(now);
            measureLink(now);
            sleepFor(io, tickPeriod, yield);
        }
    }

    bool isIdle() const
    {
        return parts.admission->getInFlight() == 0 && edgeListener.getCallsInProgress() == 0
            && meshListener.getCallsInProgress() == 0 && egressListener.getCallsInProgress() == 0;
    }

    void waitUntilIdle(boost::asio::yield_context yield)
    {
        const auto startedAt = parts.now();
        const auto grace = milliseconds(static_cast<double>(config.getInteger("stop.grace_ms")));
        sleepFor(io, leavingLinger, yield);
        while (!isIdle() && parts.now() - startedAt < grace)
            sleepFor(io, tickPeriod, yield);
        edgeListener.stop();
        meshListener.stop();
        egressListener.stop();
        adminListener.stop();
        fleet.stop();
        monitor.stop();
        isStopped = true;
        record(audit_event::NodeStopped, "stopped", "in-flight requests have ended");
    }

    boost::asio::io_context& io;
    const settings& config;
    blackboard board;
    metrics_registry metrics;
    node_parts parts;
    target_runner runner;
    remote_caller caller;
    call_dispatcher dispatcher;
    order_desk orders;
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
    bool isGateClosed = false;
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
    if (!makePolicies(self.parts, self.makeAdmissionHooks()))
        return false;
    fleet_view view;
    view.instances.emplace(self.parts.identity.instance, makeOwnView(self.parts.identity, self.config));
    self.board.fleet.set(view);
    self.observeBoard();
    self.parts.onRevisionSeen = [&self](const std::string& instance, std::uint64_t revision) {
        self.fleet.noteRevision(instance, revision);
    };
    self.parts.onStartNumberSeen
        = [&self](const std::string& instance, std::uint64_t startNumber, bool isLeaving) {
              self.fleet.noteStartNumber(instance, startNumber, isLeaving);
          };
    if (!self.openListeners())
        return false;
    self.monitor.start();
    startCoroutine(self.io, [&self](boost::asio::yield_context yield) { self.tick(yield); });
    self.record(audit_event::NodeStarted, "serves " + self.parts.identity.service,
        "start number " + std::to_string(self.parts.identity.startNumber));
    return true;
}

void node::leave(const std::function<void()>& onStopped)
{
    auto& self = *m_state;
    self.closeGate("planned stop");
    startCoroutine(self.io, [&self, onStopped](boost::asio::yield_context yield) {
        self.waitUntilIdle(yield);
        onStopped();
    });
}

} // namespace fuchsiagauge
