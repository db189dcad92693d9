#include "tests/policy/quota_fleet.h"

#include <algorithm>

using namespace fuchsiagauge;

namespace {

constexpr double oneWayMs = 9;
constexpr double stepMs = 5;
constexpr double tickMs = 20;
constexpr double windowMs = 5000;

std::string makeHost(std::size_t index) { return "10.0.0." + std::to_string(index + 1); }

} // namespace

quota_fleet::quota_fleet(std::size_t size, unsigned seed)
    : m_random(seed)
    , m_nodes(size)
{
    for (std::size_t index = 0; index < size; ++index) {
        m_hosts[makeHost(index)] = index;
        restart(index);
    }
}

quota_agent::hooks quota_fleet::makeHooks(std::size_t index)
{
    quota_agent::hooks hooks;
    hooks.sendReport = [this, index](const std::string& host, const quota_report& report,
                           milliseconds timeout, const quota_agent::answer_hook& onAnswer) {
        ++messageCount;
        const auto to = findNode(host);
        const auto isAnswered = std::make_shared<bool>(false);
        deliver(index, to, [=] {
            if (!m_nodes[to].agent)
                return;
            const auto answer = m_nodes[to].agent->handleReport(m_now, makeHost(index), report);
            deliver(to, index, [=] {
                if (!std::exchange(*isAnswered, !areMessagesDoubled))
                    onAnswer(m_now, answer);
            });
        });
        // Late answers reach the node too, so that it must find out by itself.
        if (extraDelayMs)
            return;
        m_events.emplace((m_now + timeout).getCount(), [=] {
            runOn(index, [=] {
                if (!std::exchange(*isAnswered, true))
                    onAnswer(m_now, std::nullopt);
            });
        });
    };
    hooks.sendCall = [this, index](const std::string& host, const quota_answer& call, milliseconds) {
        ++messageCount;
        const auto to = findNode(host);
        deliver(index, to, [=] {
            if (m_nodes[to].agent)
                m_nodes[to].agent->handleCall(m_now, makeHost(index), call);
        });
    };
    return hooks;
}

std::size_t quota_fleet::findNode(const std::string& host) const { return m_hosts.at(host); }

void quota_fleet::deliver(std::size_t from, std::size_t to, const std::function<void()>& action)
{
    if (isCut && isCut(from, to))
        return;
    for (int copy = 0; copy < (areMessagesDoubled ? 2 : 1); ++copy) {
        const double delay = oneWayMs + copy * 300 + (extraDelayMs ? extraDelayMs() : 0);
        m_events.emplace(m_now.getCount() + delay, [=] { runOn(to, action); });
    }
}

/// Runs an action on a node; a frozen node runs it when it wakes.
void quota_fleet::runOn(std::size_t node, std::function<void()> action)
{
    if (m_nodes[node].isFrozen)
        m_nodes[node].deferred.push_back(std::move(action));
    else
        action();
}

void quota_fleet::setFrozen(std::size_t node, bool isFrozen)
{
    m_nodes[node].isFrozen = isFrozen;
    for (const auto& action : std::exchange(m_nodes[node].deferred, {}))
        runOn(node, action);
}

void quota_fleet::restart(std::size_t node)
{
    m_nodes[node].agent.reset();
    if (!m_nodes[node].isListed)
        return;
    m_nodes[node].agent = std::make_unique<quota_agent>(
        m_now, makeHost(node), static_cast<std::uint32_t>(m_random()), makeHooks(node));
    m_nodes[node].agent->setTolerance(tolerance);
    m_nodes[node].agent->setRules(m_now, m_rules);
}

void quota_fleet::setLimit(const std::string& organisation, double perSecond, double burst)
{
    m_rules.organisations[organisation] = { organisation, std::nullopt, perSecond, burst };
    ++m_rules.version;
    for (auto& member : m_nodes)
        member.agent->setRules(m_now, m_rules);
}

void quota_fleet::addLoad(std::size_t node, const std::string& organisation, double perSecond)
{
    m_loads.push_back({ node, organisation, perSecond, m_now });
}

void quota_fleet::spreadLoad(const std::string& organisation, double perSecond)
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
        addLoad(index, organisation, perSecond / static_cast<double>(m_nodes.size()));
}

void quota_fleet::request(std::size_t node, const std::string& organisation)
{
    runOn(node, [=] {
        if (!m_nodes[node].agent)
            return;
        m_nodes[node].agent->admit(m_now, organisation, [=](const quota_agent::decision& result) {
            outcomes.push_back({ m_now, organisation, result.isAdmitted });
        });
    });
}

void quota_fleet::run(double forMs)
{
    const double end = m_now.getCount() + forMs;
    std::exponential_distribution<double> gap(1);
    for (auto& source : m_loads)
        source.nextAt = m_now + milliseconds(gap(m_random) / source.perSecond * 1000);
    while (m_now.getCount() < end) {
        m_now = m_now + milliseconds(stepMs);
        while (!m_events.empty() && m_events.begin()->first <= m_now.getCount()) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        for (auto& source : m_loads) {
            for (; source.nextAt <= m_now;
                 source.nextAt = source.nextAt + milliseconds(gap(m_random) / source.perSecond * 1000))
                request(source.node, source.organisation);
        }
        tickNodes();
        recordShares();
    }
}

void quota_fleet::tickNodes()
{
    const bool isListingDue = static_cast<long>(m_now.getCount()) % 500 == 0;
    std::vector<std::string> listed;
    for (std::size_t index = 0; isListingDue && index < m_nodes.size(); ++index) {
        if (m_nodes[index].isListed)
            listed.push_back(makeHost(index));
    }
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        auto& member = m_nodes[index];
        if (!member.agent || member.isFrozen)
            continue;
        if (isListingDue)
            member.agent->setNodes(m_now, listed, true);
        const auto phase = static_cast<long>(m_now.getCount() + stepMs * static_cast<double>(index % 4));
        if (phase % static_cast<long>(tickMs) == 0)
            member.agent->tick(m_now);
    }
}

void quota_fleet::recordShares()
{
    double sum = 0;
    for (const auto& member : m_nodes)
        sum += member.agent && !member.isFrozen ? member.agent->getShare(m_now, "a") : 0;
    largestShareSum = std::max(largestShareSum, sum);
}

std::size_t quota_fleet::findCoordinator() const
{
    for (const auto& member : m_nodes) {
        if (member.agent && !member.isFrozen)
            return findNode(member.agent->getCoordinator());
    }
    return 0;
}

double quota_fleet::findBusiestWindow(const std::string& organisation) const
{
    std::vector<double> times;
    for (const auto& entry : outcomes) {
        if (entry.isAdmitted && entry.organisation == organisation)
            times.push_back(entry.at.getCount());
    }
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > windowMs)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most);
}

double quota_fleet::getRefusedShare(const std::string& organisation, double sinceMs) const
{
    double all = 0;
    double refused = 0;
    for (const auto& entry : outcomes) {
        if (entry.organisation != organisation || entry.at.getCount() < sinceMs)
            continue;
        all += 1;
        refused += entry.isAdmitted ? 0 : 1;
    }
    return all > 0 ? refused / all : 1;
}

double quota_fleet::getAdmittedPerSecond(const std::string& organisation, double sinceMs) const
{
    const auto count = std::count_if(outcomes.begin(), outcomes.end(), [&](const outcome& entry) {
        return entry.isAdmitted && entry.organisation == organisation && entry.at.getCount() >= sinceMs;
    });
    return static_cast<double>(count) * 1000 / (m_now.getCount() - sinceMs);
}
