#include "tests/policy/replica_fleet.h"

#include <algorithm>
#include <utility>

using namespace fuchsiagauge;

namespace {

constexpr milliseconds linkDelay { 0.2 };
constexpr milliseconds storeDelay { 10 };
constexpr milliseconds tickInterval { 50 };
constexpr milliseconds batchDelay { 800 };
constexpr milliseconds watchTimeout { 5000 };
constexpr milliseconds watchCheckInterval { 50 };
/// Time after the last confirmation until the store client probes a store that reports no change.
constexpr milliseconds probeInterval { 500 };
/// Time after the last confirmation until the probes of a store client notice a silent store, and the least
/// time that they are given.
constexpr milliseconds silenceDetectionTime { 1500 };
constexpr milliseconds minProbeTime { 550 };
constexpr milliseconds requestTimeout { 1000 };
constexpr milliseconds retryDelay { 1000 };

} // namespace

replica_fleet::replica_fleet(int zoneCount, int nodesPerZone, const replica_exchange::options& config)
    : m_options(config)
{
    m_published.emplace_back(m_now, "00");
    m_store.merge({ m_revision, true, { { "config", "00", m_revision } }, {} });
    for (int zone = 0; zone < zoneCount; ++zone) {
        for (int index = 0; index < nodesPerZone; ++index) {
            auto node = std::make_unique<sim_node>();
            node->zone = zone;
            node->host = "10." + std::to_string(zone) + ".0." + std::to_string(index + 1);
            m_byHost[node->host] = node.get();
            m_nodes.push_back(std::move(node));
        }
    }
    for (const auto& node : m_nodes)
        start(*node);
}

void replica_fleet::schedule(milliseconds delay, action run)
{
    m_events.emplace((m_now + delay).getCount(), std::move(run));
}

void replica_fleet::scheduleOn(sim_node& node, milliseconds delay, action run)
{
    schedule(delay, [this, &node, life = node.life, run = std::move(run)] {
        if (node.life != life || node.faults.isDown)
            return;
        if (node.faults.isFrozen)
            scheduleOn(node, tickInterval, run);
        else
            run();
    });
}

void replica_fleet::start(sim_node& node)
{
    ++node.life;
    ++node.reading;
    node.value.clear();
    node.epoch = 0;
    node.isReading = true;
    node.isReachable = false;
    replica_exchange::hooks hooks;
    hooks.sendPoll = [this, &node](const std::string& host, const replica_poll& poll, milliseconds timeout,
                         const replica_exchange::answer_hook& onAnswer) {
        sendPoll(node, host, poll, timeout, onAnswer);
    };
    hooks.onListed = [this, &node](const item_changes&) {
        std::vector<std::string> hosts;
        for (const auto& other : m_nodes) {
            if (other->zone == node.zone)
                hosts.push_back(other->host);
        }
        node.exchange->setNodes(hosts);
    };
    hooks.onChanges = [this, &node](const item_changes& added) { applyChanges(node, added); };
    hooks.onRoleChanged = [this, &node](bool isReader) {
        ++node.reading;
        node.isReading = isReader;
        node.isReachable = false;
        if (isReader)
            readStore(node, 0);
    };
    hooks.onOutdated = [] {};
    hooks.onDisconnected = [](const std::string&) {};
    hooks.onReconnected = [](milliseconds) {};
    node.exchange = std::make_unique<replica_exchange>(
        fuchsiagauge::clock([this] { return m_now; }), m_options, node.host, hooks);
    readStore(node, 0);
    tick(node);
}

void replica_fleet::tick(sim_node& node)
{
    scheduleOn(node, tickInterval, [this, &node] {
        node.exchange->tick();
        tick(node);
    });
}

void replica_fleet::sendPoll(sim_node& from, const std::string& host, const replica_poll& poll,
    milliseconds timeout, const replica_exchange::answer_hook& onAnswer)
{
    auto& to = *m_byHost.at(host);
    const auto isDone = std::make_shared<bool>(false);
    const auto finish = [&from, life = from.life, isDone, onAnswer, this](
                            milliseconds delay, std::optional<replica_answer> answer) {
        if (from.life != life)
            return;
        scheduleOn(from, delay, [isDone, onAnswer, answer = std::move(answer)] {
            if (!std::exchange(*isDone, true))
                onAnswer(answer);
        });
    };
    if (to.faults.isDown) {
        finish(linkDelay, std::nullopt);
        return;
    }
    finish(timeout, std::nullopt);
    if (to.faults.isFrozen || to.faults.isCutFromZone || from.faults.isCutFromZone)
        return;
    scheduleOn(to, linkDelay, [this, &to, &from, poll, finish] {
        to.exchange->answer(poll, [&to, &from, finish](const replica_answer& answer) {
            if (!to.faults.isCutFromZone && !from.faults.isCutFromZone)
                finish(linkDelay + to.faults.answerDelay, answer);
        });
    });
}

bool replica_fleet::isStoreAnswering(const sim_node& node) const
{
    return !m_isStoreSilent && !node.faults.isCutFromStore;
}

/// Models a short read: all changes so far, or a failure after a timeout.
void replica_fleet::readStore(sim_node& node, int failures)
{
    ++m_storeCalls;
    const bool isAnswered = isStoreAnswering(node);
    const auto delay = isAnswered ? storeDelay : requestTimeout;
    const platform_read read { m_now, m_revision, m_epoch };
    ++node.proofRun;
    scheduleOn(node, delay, [this, &node, reading = node.reading, isAnswered, failures, read] {
        if (reading != node.reading)
            return;
        if (!isAnswered) {
            node.exchange->onPlatformUnreachable("silent");
            const auto factor = 1 + static_cast<double>(node.exchange->getRank()) / 2;
            const auto pause = retryDelay * std::min(factor, 16.0);
            scheduleOn(node, pause, [this, &node, reading, failures] {
                if (reading == node.reading)
                    readStore(node, failures + 1);
            });
            return;
        }
        node.exchange->applyFromPlatform(getNews(node));
        if (reading != node.reading)
            return;
        node.isReachable = true;
        node.confirmedAt = m_now;
        node.exchange->onPlatformReachable();
        if (m_options.proofInterval > milliseconds())
            proveItems(node, node.exchange->onPlatformRead(read));
        if (reading == node.reading)
            watchStore(node, m_now);
    });
}

/// Models the reads that prove the items current. An answer shows the store as it was at the request.
void replica_fleet::proveItems(sim_node& node, milliseconds dueAt)
{
    const auto delay = std::max(milliseconds(), dueAt - m_now);
    scheduleOn(node, delay, [this, &node, reading = node.reading, run = node.proofRun] {
        if (reading != node.reading || run != node.proofRun)
            return;
        ++m_storeCalls;
        ++m_proofReads;
        const platform_read read { m_now, m_revision, m_epoch };
        if (!isStoreAnswering(node)) {
            proveItems(node, m_now + requestTimeout);
            return;
        }
        scheduleOn(node, storeDelay, [this, &node, reading, run, read] {
            if (reading == node.reading && run == node.proofRun)
                proveItems(node, node.exchange->onPlatformRead(read));
        });
    });
}

/// Compares what the nodes claim to contain with what the store had acknowledged.
void replica_fleet::checkProofs()
{
    for (const auto& node : m_nodes) {
        if (node->faults.isDown || node->faults.isFrozen)
            continue;
        const auto epoch = node->exchange->getReplica().getEpoch();
        m_epochReversionCount += epoch < node->epoch ? 1 : 0;
        node->epoch = epoch;
        const auto provenAt = node->exchange->getProvenAt();
        // A read and a change at the same instant may have come in either order.
        const auto isNewer = [&](const auto& published) { return published.first >= provenAt; };
        const auto last = std::find_if(m_published.begin(), m_published.end(), isNewer);
        if (last != m_published.begin() && node->value < std::prev(last)->second)
            ++m_falseProofCount;
    }
}

milliseconds replica_fleet::getOldestProofAge() const
{
    milliseconds oldest;
    for (const auto& node : m_nodes) {
        if (!node->faults.isDown && !node->faults.isFrozen)
            oldest = std::max(oldest, m_now - node->exchange->getProvenAt());
    }
    return oldest;
}

milliseconds replica_fleet::advanceAndGetOldestProofAge(milliseconds duration)
{
    const auto end = m_now + duration;
    milliseconds oldest;
    while (m_now < end) {
        advance(std::min(tickInterval, end - m_now));
        oldest = std::max(oldest, getOldestProofAge());
    }
    return oldest;
}

/// Models an open watch by looking for changes at short intervals.
void replica_fleet::watchStore(sim_node& node, milliseconds openedAt)
{
    scheduleOn(node, watchCheckInterval, [this, &node, reading = node.reading, openedAt] {
        if (reading != node.reading)
            return;
        if (!isStoreAnswering(node)) {
            const auto left = node.confirmedAt + silenceDetectionTime - m_now;
            scheduleOn(node, std::max(minProbeTime, left), [this, &node, reading] {
                if (reading != node.reading)
                    return;
                node.exchange->onPlatformUnreachable("silent");
                readStore(node, 0);
            });
            return;
        }
        const auto changes = getNews(node);
        const bool isDue = !changes.items.empty() || m_now - openedAt >= watchTimeout;
        m_storeCalls += isDue ? 1 : 0;
        if (isDue)
            node.exchange->applyFromPlatform(changes);
        if (isDue || m_now - node.confirmedAt >= probeInterval) {
            node.confirmedAt = m_now;
            node.exchange->onPlatformConfirmed({});
        }
        if (!isDue) {
            watchStore(node, openedAt);
            return;
        }
        const auto pause = changes.items.empty() ? milliseconds() : batchDelay;
        scheduleOn(node, pause, [this, &node, reading] {
            if (reading == node.reading)
                watchStore(node, m_now);
        });
    });
}

void replica_fleet::applyChanges(sim_node& node, const item_changes& added)
{
    for (const auto& item : added.items) {
        // As with the versions of rules, an older value is not put in force.
        if (m_epoch > 0 && item.value < node.value)
            continue;
        m_reversionCount += item.value < node.value ? 1 : 0;
        node.value = item.value;
    }
}

void replica_fleet::advance(milliseconds duration)
{
    const auto end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end.getCount()) {
        const auto first = m_events.begin();
        m_now = std::max(m_now, milliseconds(first->first));
        const auto run = std::move(first->second);
        m_events.erase(first);
        run();
        if (m_options.proofInterval > milliseconds())
            checkProofs();
    }
    m_now = end;
}

item_changes replica_fleet::getNews(const sim_node& node) const
{
    const auto& replica = node.exchange->getReplica();
    return m_store.getChangesSince(replica.getRevision(), replica.getEpoch());
}

void replica_fleet::restoreStore(std::size_t lostChanges)
{
    m_revision -= lostChanges;
    const auto& value = m_published.at(m_published.size() - 1 - lostChanges).second;
    m_store.merge({ m_revision, true, { { "config", value, m_revision } }, {}, ++m_epoch });
}

void replica_fleet::publish(const std::string& value)
{
    ++m_revision;
    m_published.emplace_back(m_now, value);
    m_store.merge({ m_revision, false, { { "config", value, m_revision } }, {}, m_epoch });
}

milliseconds replica_fleet::awaitValue(const std::string& value, milliseconds limit)
{
    const auto begin = m_now;
    const auto isKnown = [&](const auto& node) {
        return node->faults.isDown || node->faults.isFrozen || node->value == value;
    };
    while (!std::all_of(m_nodes.begin(), m_nodes.end(), isKnown) && m_now - begin <= limit)
        advance(tickInterval);
    return m_now - begin;
}

void replica_fleet::restart(std::size_t index)
{
    m_nodes[index]->faults = {};
    start(*m_nodes[index]);
}

std::vector<std::size_t> replica_fleet::findReaders(int zone) const
{
    std::vector<std::size_t> readers;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index]->zone == zone && m_nodes[index]->exchange->isReader())
            readers.push_back(index);
    }
    return readers;
}

const replica_exchange& replica_fleet::getExchange(std::size_t index) const
{
    return *m_nodes[index]->exchange;
}
