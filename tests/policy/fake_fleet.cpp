#include "tests/policy/fake_fleet.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds stepDuration { 50 };
    constexpr milliseconds networkDelay { 5 };
    constexpr milliseconds dialTimeout { 1500 };
    constexpr milliseconds watchTimeout { 20000 };

    std::string getAddress(int node) { return "10.0.0." + std::to_string(node) + ":7000"; }

} // namespace

std::string makeDocumentText(int number, std::size_t bytes)
{
    std::mt19937 random(7);
    std::string text = "document " + std::to_string(number) + '\n';
    while (text.size() < bytes)
        text += "line " + std::to_string(random()) + '\n';
    return text;
}

fake_fleet::fake_fleet(int nodes, int zones, unsigned seed)
    : m_random(seed)
{
    for (int i = 0; i < nodes; ++i) {
        fake_node node;
        node.id = "node-" + std::to_string(i);
        node.region = i % zones < (zones + 1) / 2 ? "west" : "east";
        node.zone = "zone-" + std::to_string(i % zones);
        m_nodes.push_back(std::move(node));
    }
}

void fake_fleet::start(int node)
{
    stop(node);
    auto& started = getNode(node);
    ++started.startNumber;
    started.isPaused = false;
    started.adopted.clear();
    instance_announcement self;
    self.instance = started.id;
    self.service = "orders";
    self.region = started.region;
    self.zone = started.zone;
    self.meshAddress = "10.0.0." + std::to_string(node) + ":6000";
    self.peerAddress = getAddress(node);
    self.startNumber = started.startNumber;
    self.sequence = 1;
    fleet_agent::hooks hooks;
    hooks.random = [this] { return drawUniform(); };
    hooks.dial = [this, node](link_id link, const std::string& address) { dial(node, link, address); };
    hooks.send = [this, node](link_id link, std::string bytes) { send(node, link, std::move(bytes)); };
    hooks.close = [this, node](link_id link) { close(node, link); };
    hooks.adoptPresets = [this, node](const document_version& version, const std::string& text) {
        if (text.rfind("bad", 0) == 0) {
            fail(error_kind::BadDocument, "starts with bad");
            return false;
        }
        getNode(node).adopted.push_back(version);
        m_versions[getNode(node).id] = version;
        return true;
    };
    hooks.audit = [this, node](audit_event event, const std::string&, const std::string&) {
        getNode(node).audit.push_back(event);
    };
    fleet_agent::options options;
    options.seeds = { getAddress(0), getAddress(getSize() - 1) };
    m_versions[started.id] = {};
    started.agent = std::make_unique<fleet_agent>(options, self, hooks, m_now);
}

void fake_fleet::startAll()
{
    for (int i = 0; i < getSize(); ++i)
        start(i);
}

void fake_fleet::stop(int node)
{
    std::vector<link_endpoint> ended;
    for (const auto& [from, to] : m_linkPeers) {
        if (from.first == node)
            ended.push_back(from);
    }
    for (const auto& endpoint : ended)
        close(endpoint.first, endpoint.second);
    getNode(node).agent.reset();
    m_watches.erase({ node, 0 });
    m_watches.erase({ node, 1 });
}

void fake_fleet::run(milliseconds span)
{
    const auto end = m_now + span;
    while (m_now < end)
        step();
}

milliseconds fake_fleet::runUntil(const std::function<bool()>& isDone, milliseconds limit)
{
    const auto begin = m_now;
    while (m_now - begin < limit && !isDone())
        step();
    return m_now - begin;
}

std::uint64_t fake_fleet::publish(const std::string& text)
{
    presets.text = text;
    return ++presets.revision;
}

void fake_fleet::publishList()
{
    std::string items;
    for (int i = 0; i < getSize(); ++i) {
        const auto& node = getNode(i);
        if (!node.agent)
            continue;
        items += std::string(items.empty() ? "" : ",") + R"({"instance":")" + node.id
            + R"(","service":"orders","region":")" + node.region + R"(","zone":")" + node.zone
            + R"(","mesh":"10.0.0.)" + std::to_string(i) + R"(:6000","peer":")" + getAddress(i)
            + R"(","state":"live"})";
    }
    vmList.text = R"({"vms":[)" + items + "]}";
    ++vmList.revision;
}

bool fake_fleet::isOnRevision(std::uint64_t revision) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const fake_node& node) {
        return !node.agent || node.isPaused || m_versions.at(node.id).revision == revision;
    });
}

std::uint64_t fake_fleet::getPeakCallsPerSecond() const
{
    std::uint64_t peak = 0;
    for (const auto& [second, calls] : m_callsBySecond)
        peak = std::max(peak, calls);
    return peak;
}

void fake_fleet::freezePlatform()
{
    m_stalePresets = presets;
    m_staleList = vmList;
    isPlatformStale = true;
}

void fake_fleet::step()
{
    m_now = m_now + stepDuration;
    deliverDue();
    for (int i = 0; i < getSize(); ++i) {
        if (!getNode(i).agent || getNode(i).isPaused)
            continue;
        getNode(i).agent->tick(m_now);
        readPlatform(i);
    }
}

void fake_fleet::schedule(int node, milliseconds delay, std::function<void()> action)
{
    m_events.emplace(
        (m_now + delay).getCount(), event { node, getNode(node).startNumber, std::move(action) });
}

void fake_fleet::dial(int node, link_id link, const std::string& address)
{
    const int other = findNode(address);
    const bool isReachable
        = other >= 0 && getNode(other).agent && !getNode(other).isPaused && !arePartitioned(node, other);
    if (!isReachable) {
        schedule(node, dialTimeout, [this, node, link] { getNode(node).agent->recordLinkDown(link, m_now); });
        return;
    }
    schedule(node, networkDelay * 2, [this, node, link, other] {
        const auto accepted = getNode(other).agent ? getNode(other).agent->acceptLink(getNode(node).id)
                                                   : std::optional<link_id>();
        if (!accepted) {
            getNode(node).agent->recordLinkDown(link, m_now);
            return;
        }
        const link_endpoint localEnd { node, link };
        const link_endpoint remoteEnd { other, *accepted };
        m_linkPeers[localEnd] = remoteEnd;
        m_linkPeers[remoteEnd] = localEnd;
        const auto otherStart = getNode(other).startNumber;
        getNode(other).agent->recordLinkUp(*accepted, getNode(node).id, getNode(node).startNumber, m_now);
        if (m_linkPeers.count(localEnd) != 0)
            getNode(node).agent->recordLinkUp(link, getNode(other).id, otherStart, m_now);
        else
            getNode(node).agent->recordLinkDown(link, m_now);
    });
}

void fake_fleet::send(int node, link_id link, std::string bytes)
{
    m_sentBytes += bytes.size();
    const auto endpoint = m_linkPeers.find({ node, link });
    if (endpoint == m_linkPeers.end() || arePartitioned(node, endpoint->second.first)
        || drawUniform() < dropRatio)
        return;
    const auto [other, otherLink] = endpoint->second;
    schedule(other, networkDelay, [this, other = other, otherLink = otherLink, bytes = std::move(bytes)] {
        if (m_linkPeers.count({ other, otherLink }) != 0)
            getNode(other).agent->receive(otherLink, bytes, m_now);
    });
}

void fake_fleet::close(int node, link_id link)
{
    const auto endpoint = m_linkPeers.find({ node, link });
    if (endpoint == m_linkPeers.end())
        return;
    const auto other = endpoint->second;
    m_linkPeers.erase(endpoint);
    m_linkPeers.erase(other);
    if (!arePartitioned(node, other.first) && getNode(other.first).agent)
        schedule(other.first, networkDelay,
            [this, other] { getNode(other.first).agent->recordLinkDown(other.second, m_now); });
}

void fake_fleet::deliverDue()
{
    std::vector<std::pair<double, event>> deferred;
    while (!m_events.empty() && m_events.begin()->first <= m_now.getCount()) {
        auto due = std::move(*m_events.begin());
        m_events.erase(m_events.begin());
        const auto& node = getNode(due.second.node);
        if (!node.agent || node.startNumber != due.second.startNumber)
            continue;
        if (node.isPaused)
            deferred.emplace_back(due.first, std::move(due.second));
        else
            due.second.action();
    }
    for (auto& item : deferred)
        m_events.emplace(item.first, std::move(item.second));
}

void fake_fleet::readPlatform(int node)
{
    updateWatch(node, document_kind::Presets, m_watches[{ node, 0 }]);
    updateWatch(node, document_kind::VmList, m_watches[{ node, 1 }]);
}

void fake_fleet::updateWatch(int node, document_kind kind, watch& watched)
{
    auto& agent = *getNode(node).agent;
    const bool isUnreachable
        = isPlatformDown || (isPartitionedFromPlatform && isPartitionedFromPlatform(getNode(node)));
    if (!watched.isOpen) {
        if (m_now < watched.nextAt || !agent.tryTakePlatformCallPermit(m_now))
            return;
        ++m_platformCalls;
        ++m_callsBySecond[static_cast<long>(m_now.getCount() / 1000)];
        watched.isOpen = true;
        watched.openedAt = m_now;
    }
    if (isUnreachable) {
        agent.recordPlatformFailure("unreachable");
        finishWatch(watched, false);
        return;
    }
    agent.recordPlatformContact(m_now);
    const auto& served = getServedDocument(kind);
    const bool hasNewRevision = !watched.hasRevision || served.revision != watched.lastRevision;
    if (!hasNewRevision && m_now - watched.openedAt < watchTimeout)
        return;
    watched.lastRevision = served.revision;
    watched.hasRevision = true;
    finishWatch(watched, true);
    if (hasNewRevision && served.revision != 0)
        agent.offerPlatformDocument(kind, served.revision, served.text, m_now);
}

void fake_fleet::finishWatch(watch& watched, bool hasSucceeded)
{
    constexpr double firstDelayMs = 500;
    constexpr double longestDelayMs = 10000;
    constexpr double pauseMs = 1000;
    watched.isOpen = false;
    watched.retryDelayMs
        = hasSucceeded ? 0 : std::clamp(2 * watched.retryDelayMs, firstDelayMs, longestDelayMs);
    watched.nextAt = m_now + milliseconds((hasSucceeded ? pauseMs : watched.retryDelayMs) * drawUniform());
}

int fake_fleet::findNode(const std::string& address) const
{
    for (int i = 0; i < getSize(); ++i) {
        if (getAddress(i) == address)
            return i;
    }
    return -1;
}

bool fake_fleet::arePartitioned(int a, int b) const
{
    return isPartitioned && isPartitioned(getNode(a), getNode(b));
}

const published_document& fake_fleet::getServedDocument(document_kind kind) const
{
    if (kind == document_kind::Presets)
        return isPlatformStale ? m_stalePresets : presets;
    return isPlatformStale ? m_staleList : vmList;
}

} // namespace fuchsiagauge
