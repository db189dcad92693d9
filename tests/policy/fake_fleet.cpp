#include "tests/policy/fake_fleet.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace fuchsiagauge {
namespace {

    constexpr milliseconds stepSpan { 50 };
    constexpr milliseconds wireDelay { 5 };
    constexpr milliseconds dialTimeout { 1500 };
    constexpr milliseconds watchSpan { 20000 };

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
    hooks.random = [this] { return draw(); };
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
    std::vector<line_key> ended;
    for (const auto& [from, to] : m_lines) {
        if (from.first == node)
            ended.push_back(from);
    }
    for (const auto& line : ended)
        close(line.first, line.second);
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

std::uint64_t fake_fleet::getMostCallsInASecond() const
{
    std::uint64_t most = 0;
    for (const auto& [second, calls] : m_callsBySecond)
        most = std::max(most, calls);
    return most;
}

void fake_fleet::freezePlatform()
{
    m_stalePresets = presets;
    m_staleList = vmList;
    isPlatformStale = true;
}

void fake_fleet::step()
{
    m_now = m_now + stepSpan;
    deliverDue();
    for (int i = 0; i < getSize(); ++i) {
        if (!getNode(i).agent || getNode(i).isPaused)
            continue;
        getNode(i).agent->tick(m_now);
        readPlatform(i);
    }
}

void fake_fleet::post(int node, milliseconds delay, std::function<void()> act)
{
    m_events.emplace((m_now + delay).getCount(), event { node, getNode(node).startNumber, std::move(act) });
}

void fake_fleet::dial(int node, link_id link, const std::string& address)
{
    const int other = findNode(address);
    const bool isReachable
        = other >= 0 && getNode(other).agent && !getNode(other).isPaused && !areCut(node, other);
    if (!isReachable) {
        post(node, dialTimeout, [this, node, link] { getNode(node).agent->linkDown(link, m_now); });
        return;
    }
    post(node, wireDelay * 2, [this, node, link, other] {
        const auto accepted = getNode(other).agent ? getNode(other).agent->acceptLink(getNode(node).id)
                                                   : std::optional<link_id>();
        if (!accepted) {
            getNode(node).agent->linkDown(link, m_now);
            return;
        }
        const line_key own { node, link };
        const line_key theirs { other, *accepted };
        m_lines[own] = theirs;
        m_lines[theirs] = own;
        const auto otherStart = getNode(other).startNumber;
        getNode(other).agent->linkUp(*accepted, getNode(node).id, getNode(node).startNumber, m_now);
        if (m_lines.count(own) != 0)
            getNode(node).agent->linkUp(link, getNode(other).id, otherStart, m_now);
        else
            getNode(node).agent->linkDown(link, m_now);
    });
}

void fake_fleet::send(int node, link_id link, std::string bytes)
{
    m_sentBytes += bytes.size();
    const auto line = m_lines.find({ node, link });
    if (line == m_lines.end() || areCut(node, line->second.first) || draw() < dropRatio)
        return;
    const auto [other, otherLink] = line->second;
    post(other, wireDelay, [this, other = other, otherLink = otherLink, bytes = std::move(bytes)] {
        if (m_lines.count({ other, otherLink }) != 0)
            getNode(other).agent->receive(otherLink, bytes, m_now);
    });
}

void fake_fleet::close(int node, link_id link)
{
    const auto line = m_lines.find({ node, link });
    if (line == m_lines.end())
        return;
    const auto other = line->second;
    m_lines.erase(line);
    m_lines.erase(other);
    if (!areCut(node, other.first) && getNode(other.first).agent)
        post(other.first, wireDelay,
            [this, other] { getNode(other.first).agent->linkDown(other.second, m_now); });
}

void fake_fleet::deliverDue()
{
    std::vector<std::pair<double, event>> held;
    while (!m_events.empty() && m_events.begin()->first <= m_now.getCount()) {
        auto due = std::move(*m_events.begin());
        m_events.erase(m_events.begin());
        const auto& node = getNode(due.second.node);
        if (!node.agent || node.startNumber != due.second.startNumber)
            continue;
        if (node.isPaused)
            held.emplace_back(due.first, std::move(due.second));
        else
            due.second.act();
    }
    for (auto& item : held)
        m_events.emplace(item.first, std::move(item.second));
}

void fake_fleet::readPlatform(int node)
{
    stepWatch(node, document_kind::Presets, m_watches[{ node, 0 }]);
    stepWatch(node, document_kind::VmList, m_watches[{ node, 1 }]);
}

void fake_fleet::stepWatch(int node, document_kind kind, watch& watched)
{
    auto& agent = *getNode(node).agent;
    const bool isUnreachable = isPlatformDown || (isCutFromPlatform && isCutFromPlatform(getNode(node)));
    if (!watched.isOpen) {
        if (m_now < watched.nextAt || !agent.tryTakePlatformCall(m_now))
            return;
        ++m_platformCalls;
        ++m_callsBySecond[static_cast<long>(m_now.getCount() / 1000)];
        watched.isOpen = true;
        watched.openedAt = m_now;
    }
    if (isUnreachable) {
        agent.notePlatformFailure("unreachable");
        settleWatch(watched, false);
        return;
    }
    agent.notePlatformContact(m_now);
    const auto& served = getServed(kind);
    const bool hasNews = !watched.hasRevision || served.revision != watched.after;
    if (!hasNews && m_now - watched.openedAt < watchSpan)
        return;
    watched.after = served.revision;
    watched.hasRevision = true;
    settleWatch(watched, true);
    if (hasNews && served.revision != 0)
        agent.notePlatformDocument(kind, served.revision, served.text, m_now);
}

void fake_fleet::settleWatch(watch& watched, bool isGood)
{
    constexpr double firstDelayMs = 500;
    constexpr double longestDelayMs = 10000;
    constexpr double pauseMs = 1000;
    watched.isOpen = false;
    watched.retryDelayMs = isGood ? 0 : std::clamp(2 * watched.retryDelayMs, firstDelayMs, longestDelayMs);
    watched.nextAt = m_now + milliseconds((isGood ? pauseMs : watched.retryDelayMs) * draw());
}

int fake_fleet::findNode(const std::string& address) const
{
    for (int i = 0; i < getSize(); ++i) {
        if (getAddress(i) == address)
            return i;
    }
    return -1;
}

bool fake_fleet::areCut(int a, int b) const { return isCut && isCut(getNode(a), getNode(b)); }

const published_document& fake_fleet::getServed(document_kind kind) const
{
    if (kind == document_kind::Presets)
        return isPlatformStale ? m_stalePresets : presets;
    return isPlatformStale ? m_staleList : vmList;
}

} // namespace fuchsiagauge
