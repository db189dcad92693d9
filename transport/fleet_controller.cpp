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

    instance_announcement describeSelf(const settings& checked, std::uint64_t startNumber)
    {
        instance_announcement self;
        self.instance = checked.getText("instance");
        self.service = checked.getText("service");
        self.region = checked.getText("region");
        self.zone = checked.getText("zone");
        self.meshAddress = checked.getText("listen.mesh");
        self.peerAddress = checked.getText("listen.peer");
        self.startNumber = startNumber;
        self.sequence = 1;
        return self;
    }

    fleet_agent::options readOptions(const settings& checked)
    {
        fleet_agent::options options;
        options.seeds = checked.getTextList("fleet.seeds");
        options.peerWaitLimit = milliseconds(static_cast<double>(checked.getInteger("fleet.peer_wait_ms")));
        options.gossipOptions.bytesPerSecond
            = static_cast<double>(checked.getInteger("fleet.bytes_per_second"));
        options.election.readersPerZone
            = static_cast<std::size_t>(checked.getInteger("fleet.readers_per_zone"));
        options.election.expectedNodes = static_cast<double>(checked.getInteger("fleet.expected_nodes"));
        options.election.fleetCallsPerSecond
            = static_cast<double>(checked.getInteger("platform.calls_per_second"));
        return options;
    }

} // namespace

class fleet_controller::implementation {
public:
    implementation(boost::asio::io_context& context, const settings& checked, const fleet_keys& keys,
        shared_state& sharedState, const clock& time, std::uint64_t startNumber, hooks varying)
        : m_sharedState(sharedState)
        , m_clock(time)
        , m_hooks(std::move(varying))
        , m_instance(checked.getText("instance"))
        , m_listenText(checked.getText("listen.peer"))
        , m_addressTranslations(address_translations::parse(checked.getTextList("fleet.routes"))
                                    .value_or(address_translations()))
        , m_random(std::random_device {}())
        , m_timer(context)
        , m_network(context, keys, checked.getText("instance"), startNumber, makeNetworkHooks())
        , m_agent(readOptions(checked), describeSelf(checked, startNumber), makeAgentHooks(), time.now())
    {
        const auto& platform = checked.getText("platform.address");
        if (platform.empty())
            return;
        platform_client::options options;
        options.platform = *parseAddress(platform);
        options.watchMs = static_cast<double>(checked.getInteger("platform.watch_ms"));
        m_platform = std::make_unique<platform_client>(context, options, makePlatformHooks());
    }

    bool start()
    {
        const auto local = parseAddress(m_listenText);
        if (!local || !m_network.listen(*local))
            return false;
        if (m_platform)
            m_platform->start();
        publish();
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

    void setLinkDemand(double bytesPerSecond)
    {
        m_linkDemand = bytesPerSecond;
        m_agent.setLinkDemand(bytesPerSecond, now());
    }

private:
    double drawRandom() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    peer_network::hooks makeNetworkHooks()
    {
        peer_network::hooks made;
        made.accept = [this](const std::string& peer) { return m_agent.acceptLink(peer); };
        made.up = [this](link_id link, const std::string& peer, std::uint64_t startNumber) {
            m_agent.noteLinkUp(link, peer, startNumber, now());
        };
        made.down = [this](link_id link) { m_agent.noteLinkDown(link, now()); };
        made.receive
            = [this](link_id link, const std::string& bytes) { m_agent.receive(link, bytes, now()); };
        return made;
    }

    fleet_agent::hooks makeAgentHooks()
    {
        fleet_agent::hooks made;
        made.random = [this] { return drawRandom(); };
        made.dial = [this](link_id link, const std::string& peer) {
            m_network.dial(link, m_addressTranslations.translate(peer));
        };
        made.send = [this](link_id link, const std::string& bytes) { m_network.send(link, bytes); };
        made.close = [this](link_id link) { m_network.close(link); };
        made.adoptPresets = [this](const document_version& version, const std::string& text) {
            return adopt(version, text);
        };
        made.audit = m_hooks.audit;
        return made;
    }

    platform_client::hooks makePlatformHooks()
    {
        platform_client::hooks made;
        made.random = [this] { return drawRandom(); };
        made.tryTakeCall = [this] { return m_agent.tryTakePlatformCall(now()); };
        made.noteContact = [this] { m_agent.notePlatformContact(now()); };
        made.takeDocument = [this](document_kind kind, std::uint64_t revision, std::string text) {
            m_agent.notePlatformDocument(kind, revision, std::move(text), now());
        };
        made.noteFailure = [this](const std::string& reason) { m_agent.notePlatformFailure(reason); };
        return made;
    }

    bool adopt(const document_version& version, const std::string& text)
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
            publish();
            scheduleTick();
        });
    }

    void publish()
    {
        if (m_publishedViewCount != m_agent.getViewVersion()) {
            m_publishedViewCount = m_agent.getViewVersion();
            m_sharedState.fleet.set(m_agent.getView());
        }
        publishLinkShare();
        reportOwnEnd();
    }

    void publishLinkShare()
    {
        constexpr milliseconds shareInterval { 1000 };
        if (now() < m_shareDueAt)
            return;
        m_shareDueAt = now() + shareInterval;
        const double budget = m_sharedState.configuration.get().getPreset().link.bytesPerSecond;
        link_share share;
        share.demandBytesPerSecond = m_linkDemand;
        share.bytesPerSecond = computeLinkShare(budget, m_agent.getRegionLinkDemands(now()), m_instance);
        m_sharedState.link.set(share);
    }

    void reportOwnEnd()
    {
        if (m_hasReportedEnd || !m_hooks.onOwnEnd)
            return;
        const bool isSuperseded = m_agent.isSuperseded();
        if (!isSuperseded && !m_agent.isListedLeaving())
            return;
        m_hasReportedEnd = true;
        m_hooks.onOwnEnd(isSuperseded ? "a higher start number was stated for this instance"
                                      : "the VM list says that this VM is leaving");
    }

    shared_state& m_sharedState;
    const clock m_clock;
    hooks m_hooks;
    const std::string m_instance;
    const std::string m_listenText;
    const address_translations m_addressTranslations;
    std::mt19937_64 m_random;
    boost::asio::steady_timer m_timer;
    peer_network m_network;
    fleet_agent m_agent;
    std::unique_ptr<platform_client> m_platform;
    std::uint64_t m_publishedViewCount = 0;
    milliseconds m_shareDueAt;
    double m_linkDemand = 0;
    bool m_hasReportedEnd = false;
    bool m_isStopped = false;
};

fleet_controller::fleet_controller(boost::asio::io_context& context, const settings& checked,
    const fleet_keys& keys, shared_state& sharedState, const clock& time, std::uint64_t startNumber,
    hooks varying)
    : m_implementation(std::make_unique<implementation>(
        context, checked, keys, sharedState, time, startNumber, std::move(varying)))
{
}

fleet_controller::~fleet_controller() { stop(); }

bool fleet_controller::start() { return m_implementation->start(); }

void fleet_controller::stop() { m_implementation->stop(); }

void fleet_controller::announceLeaving()
{
    m_implementation->getAgent().announceLeaving(m_implementation->now());
}

void fleet_controller::noteRevision(const std::string& peerInstance, std::uint64_t revision)
{
    m_implementation->getAgent().noteRevision(peerInstance, revision, m_implementation->now());
}

void fleet_controller::noteStartNumber(
    const std::string& peerInstance, std::uint64_t startNumber, bool isLeaving)
{
    m_implementation->getAgent().noteStatement(peerInstance, startNumber, isLeaving, m_implementation->now());
}

void fleet_controller::setLinkDemand(double bytesPerSecond)
{
    m_implementation->setLinkDemand(bytesPerSecond);
}

fleet_status fleet_controller::getStatus() const
{
    return m_implementation->getAgent().getStatus(m_implementation->now());
}

} // namespace fuchsiagauge
