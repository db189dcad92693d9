#include "transport/fleet_controller.h"

#include "core/address_translations.h"
#include "core/preset_parser.h"
#include "policy/link_share.h"
#include "transport/peer_network.h"
#include "transport/platform_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <random>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr std::chrono::milliseconds tickInterval { 100 };

    instance_announcement makeOwnAnnouncement(const settings& config, std::uint64_t startNumber)
    {
        instance_announcement self;
        self.instance = config.getText("instance");
        self.service = config.getText("service");
        self.region = config.getText("region");
        self.zone = config.getText("zone");
        self.meshAddress = config.getText("listen.mesh");
        self.peerAddress = config.getText("listen.peer");
        self.startNumber = startNumber;
        self.sequence = 1;
        return self;
    }

    fleet_agent::options makeAgentOptions(const settings& config)
    {
        fleet_agent::options options;
        options.seeds = config.getTextList("fleet.seeds");
        options.peerWaitLimit = milliseconds(static_cast<double>(config.getInteger("fleet.peer_wait_ms")));
        options.gossipOptions.bytesPerSecond
            = static_cast<double>(config.getInteger("fleet.bytes_per_second"));
        options.election.readersPerZone
            = static_cast<std::size_t>(config.getInteger("fleet.readers_per_zone"));
        options.election.expectedNodes = static_cast<double>(config.getInteger("fleet.expected_nodes"));
        options.election.fleetCallsPerSecond
            = static_cast<double>(config.getInteger("platform.calls_per_second"));
        return options;
    }

} // namespace

class fleet_controller::implementation {
public:
    implementation(boost::asio::io_context& io, const settings& config, const fleet_keys& keys,
        shared_state& sharedState, const clock& time, std::uint64_t startNumber, hooks callbacks)
        : m_sharedState(sharedState)
        , m_clock(time)
        , m_hooks(std::move(callbacks))
        , m_instance(config.getText("instance"))
        , m_peerListenAddress(config.getText("listen.peer"))
        , m_addressTranslations(address_translations::parse(config.getTextList("fleet.routes"))
                                    .value_or(address_translations()))
        , m_random(std::random_device {}())
        , m_timer(io)
        , m_network(io, keys, config.getText("instance"), startNumber, makeNetworkHooks())
        , m_agent(makeAgentOptions(config), makeOwnAnnouncement(config, startNumber), makeAgentHooks(),
              time.now())
    {
        const auto& platform = config.getText("platform.address");
        if (platform.empty())
            return;
        platform_client::options options;
        options.platform = *parseAddress(platform);
        options.watchMs = static_cast<double>(config.getInteger("platform.watch_ms"));
        m_platform = std::make_unique<platform_client>(io, options, makePlatformHooks());
    }

    bool start()
    {
        const auto local = parseAddress(m_peerListenAddress);
        if (!local || !m_network.listen(*local))
            return false;
        if (m_platform)
            m_platform->start();
        publishState();
        scheduleTick();
        return true;
    }

    void stop()
    {
        m_isStopped = true;
        m_timer.cancel();
        if (m_platform)
            m_platform->stop();
        m_network.stop();
    }

    fleet_agent& getAgent() { return m_agent; }
    const fleet_agent& getAgent() const { return m_agent; }
    milliseconds now() const { return m_clock.now(); }

    void setRegionLinkDemand(double bytesPerSecond)
    {
        m_regionLinkDemand = bytesPerSecond;
        m_agent.setRegionLinkDemand(bytesPerSecond, now());
    }

private:
    double drawRandom() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    peer_network::hooks makeNetworkHooks()
    {
        peer_network::hooks callbacks;
        callbacks.acceptLink = [this](const std::string& peer) { return m_agent.acceptLink(peer); };
        callbacks.onLinkUp = [this](link_id link, const std::string& peer, std::uint64_t startNumber) {
            m_agent.recordLinkUp(link, peer, startNumber, now());
        };
        callbacks.onLinkDown = [this](link_id link) { m_agent.recordLinkDown(link, now()); };
        callbacks.onMessage
            = [this](link_id link, const std::string& bytes) { m_agent.receive(link, bytes, now()); };
        return callbacks;
    }

    fleet_agent::hooks makeAgentHooks()
    {
        fleet_agent::hooks callbacks;
        callbacks.random = [this] { return drawRandom(); };
        callbacks.dial = [this](link_id link, const std::string& peer) {
            m_network.dial(link, m_addressTranslations.translate(peer));
        };
        callbacks.send = [this](link_id link, const std::string& bytes) { m_network.send(link, bytes); };
        callbacks.close = [this](link_id link) { m_network.close(link); };
        callbacks.adoptPresets = [this](const document_version& version, const std::string& text) {
            return adoptPresets(version, text);
        };
        callbacks.audit = m_hooks.audit;
        return callbacks;
    }

    platform_client::hooks makePlatformHooks()
    {
        platform_client::hooks callbacks;
        callbacks.random = [this] { return drawRandom(); };
        callbacks.tryTakeCallPermit = [this] { return m_agent.tryTakePlatformCallPermit(now()); };
        callbacks.onContact = [this] { m_agent.recordPlatformContact(now()); };
        callbacks.onDocument = [this](document_kind kind, std::uint64_t revision, std::string text) {
            m_agent.offerPlatformDocument(kind, revision, std::move(text), now());
        };
        callbacks.onFailure = [this](const std::string& reason) { m_agent.recordPlatformFailure(reason); };
        return callbacks;
    }

    bool adoptPresets(const document_version& version, const std::string& text)
    {
        auto document = parsePresetDocument(text);
        if (!document)
            return false;
        m_sharedState.configuration.set({ version.revision, version.digest, std::move(*document) });
        return true;
    }

    void scheduleTick()
    {
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([this](const boost::system::error_code& code) {
            if (code || m_isStopped)
                return;
            m_agent.tick(now());
            publishState();
            scheduleTick();
        });
    }

    void publishState()
    {
        if (m_publishedViewVersion != m_agent.getViewVersion()) {
            m_publishedViewVersion = m_agent.getViewVersion();
            m_sharedState.fleet.set(m_agent.getView());
        }
        publishRegionLinkShare();
        notifyLeaveRequired();
    }

    /// Recomputes this node's share of the link between regions, at most once per second.
    void publishRegionLinkShare()
    {
        constexpr milliseconds shareInterval { 1000 };
        if (now() < m_regionLinkShareDueAt)
            return;
        m_regionLinkShareDueAt = now() + shareInterval;
        const double budget = m_sharedState.configuration.get().getPreset().link.bytesPerSecond;
        link_share share;
        share.demandBytesPerSecond = m_regionLinkDemand;
        share.bytesPerSecond = computeLinkShare(budget, m_agent.getRegionLinkDemands(now()), m_instance);
        m_sharedState.link.set(share);
    }

    /// Calls onLeaveRequired() once, when this node has been superseded or the VM list marks it as leaving.
    void notifyLeaveRequired()
    {
        if (m_hasNotifiedLeave || !m_hooks.onLeaveRequired)
            return;
        const bool isSuperseded = m_agent.isSuperseded();
        if (!isSuperseded && !m_agent.isListedLeaving())
            return;
        m_hasNotifiedLeave = true;
        m_hooks.onLeaveRequired(isSuperseded ? "a higher start number is known for this instance"
                                             : "the VM list marks this VM as leaving");
    }

    shared_state& m_sharedState;
    const clock m_clock;
    hooks m_hooks;
    const std::string m_instance;
    const std::string m_peerListenAddress;
    const address_translations m_addressTranslations;
    std::mt19937_64 m_random;
    boost::asio::steady_timer m_timer;
    peer_network m_network;
    fleet_agent m_agent;
    std::unique_ptr<platform_client> m_platform;
    std::uint64_t m_publishedViewVersion = 0;
    milliseconds m_regionLinkShareDueAt;
    double m_regionLinkDemand = 0;
    bool m_hasNotifiedLeave = false;
    bool m_isStopped = false;
};

fleet_controller::fleet_controller(boost::asio::io_context& io, const settings& config,
    const fleet_keys& keys, shared_state& sharedState, const clock& time, std::uint64_t startNumber,
    hooks callbacks)
    : m_implementation(std::make_unique<implementation>(
        io, config, keys, sharedState, time, startNumber, std::move(callbacks)))
{
}

fleet_controller::~fleet_controller() { stop(); }

bool fleet_controller::start() { return m_implementation->start(); }

void fleet_controller::stop() { m_implementation->stop(); }

void fleet_controller::announceLeaving()
{
    m_implementation->getAgent().announceLeaving(m_implementation->now());
}

void fleet_controller::recordRevision(const std::string& peerInstance, std::uint64_t revision)
{
    m_implementation->getAgent().recordRevision(peerInstance, revision, m_implementation->now());
}

void fleet_controller::recordStatement(
    const std::string& peerInstance, std::uint64_t startNumber, bool isLeaving)
{
    m_implementation->getAgent().recordStatement(
        peerInstance, startNumber, isLeaving, m_implementation->now());
}

void fleet_controller::setRegionLinkDemand(double bytesPerSecond)
{
    m_implementation->setRegionLinkDemand(bytesPerSecond);
}

fleet_status fleet_controller::getStatus() const
{
    return m_implementation->getAgent().getStatus(m_implementation->now());
}

} // namespace fuchsiagauge
