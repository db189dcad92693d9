#include "tests/policy/target_model.h"

#include "core/call_context.h"

#include <algorithm>
#include <cmath>

namespace fuchsiagauge {
namespace {

    constexpr double tickMs = 10;
    constexpr double callerBackoffMs = 50;

} // namespace

void event_loop::at(milliseconds when, std::function<void()> action)
{
    m_events.push({ std::max(when, m_now), m_sequence++, std::move(action) });
}

void event_loop::after(double delayMs, std::function<void()> action)
{
    at(m_now + milliseconds(delayMs), std::move(action));
}

void event_loop::runUntil(milliseconds end)
{
    while (!m_events.empty() && m_events.top().when < end) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.action();
    }
    m_now = end;
}

double seeded_random::getUniform()
{
    return static_cast<double>(m_engine()) / (static_cast<double>(std::mt19937::max()) + 1);
}

double seeded_random::getExponential(double mean) { return -mean * std::log(1 - getUniform()); }

double seeded_random::getErlang(double mean, int phases)
{
    double sum = 0;
    for (int phase = 0; phase < phases; ++phase)
        sum += getExponential(mean / phases);
    return sum;
}

simulated_target::simulated_target(
    event_loop& loop, int slots, int queueCapacity, service_time_hook getServiceMs)
    : m_loop(loop)
    , m_slots(static_cast<std::size_t>(slots))
    , m_queueCapacity(static_cast<std::size_t>(queueCapacity))
    , m_getServiceMs(std::move(getServiceMs))
{
}

void simulated_target::run(const std::string& id, done_hook done)
{
    if (m_running.size() >= m_slots && m_waiting.size() >= m_queueCapacity) {
        done(false);
        return;
    }
    m_waiting.emplace_back(id, std::move(done));
    startQueuedRequests();
}

void simulated_target::cancel(const std::string& id)
{
    m_running.erase(id);
    const auto isCancelled = [&](const auto& item) { return item.first == id; };
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(), isCancelled), m_waiting.end());
    startQueuedRequests();
}

void simulated_target::setFrozen(bool isFrozen)
{
    m_isFrozen = isFrozen;
    if (isFrozen)
        return;
    std::vector<std::string> ended;
    for (const auto& [id, item] : m_running) {
        if (item.endsAt <= m_loop.now())
            ended.push_back(id);
    }
    for (const auto& id : ended)
        end(id);
    startQueuedRequests();
}

double simulated_target::getBusyMs(const std::string& id) const
{
    const auto found = m_running.find(id);
    return found == m_running.end() ? 0 : (m_loop.now() - found->second.startedAt).getCount();
}

void simulated_target::startQueuedRequests()
{
    while (!m_isFrozen && m_running.size() < m_slots && !m_waiting.empty()) {
        auto [id, done] = std::move(m_waiting.front());
        m_waiting.pop_front();
        const auto now = m_loop.now();
        const auto endsAt = now + milliseconds(m_getServiceMs(now));
        m_running.emplace(id, work { std::move(done), now, endsAt });
        m_loop.at(endsAt, [this, id = id] { end(id); });
    }
}

void simulated_target::end(const std::string& id)
{
    const auto found = m_running.find(id);
    if (m_isFrozen || found == m_running.end())
        return;
    const auto done = std::move(found->second.done);
    done(true);
    m_running.erase(id);
    startQueuedRequests();
}

double class_stats::getLatencyMs(double quantile) const
{
    if (latenciesMs.empty())
        return 0;
    auto sorted = latenciesMs;
    std::sort(sorted.begin(), sorted.end());
    return sorted[static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1))];
}

double interval_stats::getServedShare() const
{
    class_stats total;
    for (const auto& [name, count] : classes) {
        total.offered += count.offered;
        total.served += count.served;
    }
    return total.getServedShare();
}

const std::vector<model_class>& getModelClasses()
{
    static const std::vector<model_class> classes = {
        { "orders", 900, 2000 },
        { "status", 800, 500 },
        { "proofs", 700, 3000 },
        { "catalogue", 100, 1000 },
    };
    return classes;
}

struct target_model::pending_call {
    std::size_t classIndex;
    std::shared_ptr<interval_stats> interval; ///< Interval in which the call arrived.
    milliseconds arrivedAt;
    milliseconds expiresAt;
    std::string id; ///< Id of the current attempt.
    int retriesLeft;
    bool isStarted = false; ///< Whether the current attempt was sent to the target.
    bool isOver = false; ///< Whether the current attempt has ended.
};

target_model::target_model(model_setup setup, std::unique_ptr<admission_policy> policy)
    : m_setup(std::move(setup))
    , m_policy(std::move(policy))
    , m_random(m_setup.seed)
    , m_target(m_loop, m_setup.slots, m_setup.targetQueue, [this](milliseconds now) {
        return m_random.getErlang(m_setup.serviceMs * m_setup.getSlowdown(now), m_setup.servicePhases);
    })
{
    if (m_setup.publishesSlots)
        m_policy->setPublishedSlots(m_setup.slots);
    for (std::size_t index = 0; index < getModelClasses().size(); ++index)
        m_loop.at(milliseconds(m_random.getExponential(1)), [this, index] { arrive(index); });
    m_loop.at(milliseconds(tickMs), [this] { tick(); });
}

std::shared_ptr<const interval_stats> target_model::run(milliseconds until)
{
    m_interval = std::make_shared<interval_stats>();
    m_interval->from = m_loop.now();
    m_interval->until = until;
    m_loop.runUntil(until);
    return m_interval;
}

double target_model::getWastedShare(const interval_stats& interval) const
{
    return interval.wastedMs / ((interval.until - interval.from).getCount() * m_setup.slots);
}

double target_model::getRate(std::size_t classIndex) const
{
    const auto last = getModelClasses().size() - 1;
    const double load = m_setup.getLoad(m_loop.now());
    const double important = std::min(load, m_setup.importantLoad);
    const double share = classIndex == last ? load - important : important / static_cast<double>(last);
    return share * getCapacity();
}

void target_model::arrive(std::size_t classIndex)
{
    const double rate = getRate(classIndex);
    if (rate <= 0) {
        m_loop.after(tickMs, [this, classIndex] { arrive(classIndex); });
        return;
    }
    m_loop.after(m_random.getExponential(1000 / rate), [this, classIndex] { arrive(classIndex); });
    const auto& item = getModelClasses()[classIndex];
    const auto pending = std::make_shared<pending_call>();
    pending->classIndex = classIndex;
    pending->retriesLeft = m_setup.callerRetries;
    pending->arrivedAt = m_loop.now();
    pending->interval = m_interval;
    ++pending->interval->classes[item.name].offered;
    attempt(pending);
}

void target_model::attempt(const std::shared_ptr<pending_call>& pending)
{
    const auto& item = getModelClasses()[pending->classIndex];
    pending->id = std::to_string(m_nextId++);
    pending->isStarted = false;
    pending->isOver = false;
    pending->expiresAt = m_loop.now() + milliseconds(item.deadlineMs);
    const auto id = pending->id;
    m_loop.at(pending->expiresAt, [this, pending, id] {
        if (pending->id == id && !pending->isOver)
            fail(pending);
    });
    const admission_request request { id, getAdmissionRank(item.priority, id), pending->expiresAt };
    m_policy->submit(m_loop.now(), request, [this, pending, id](std::optional<error_kind> refusal) {
        if (pending->id != id || pending->isOver)
            return;
        if (refusal) {
            fail(pending);
            return;
        }
        pending->isStarted = true;
        m_target.run(id, [this, pending, id](bool isAnswered) {
            const bool isInTime = isAnswered && pending->id == id && !pending->isOver;
            if (!isInTime)
                m_interval->wastedMs += m_target.getBusyMs(id);
            m_policy->finish(id, m_loop.now(), isAnswered);
            if (pending->id != id || pending->isOver)
                return;
            if (!isAnswered) {
                fail(pending);
                return;
            }
            pending->isOver = true;
            ++m_interval->answered;
            auto& classStats = pending->interval->classes[getModelClasses()[pending->classIndex].name];
            ++classStats.served;
            classStats.latenciesMs.push_back((m_loop.now() - pending->arrivedAt).getCount());
        });
    });
}

void target_model::fail(const std::shared_ptr<pending_call>& pending)
{
    pending->isOver = true;
    if (m_setup.propagatesCancellation && pending->isStarted) {
        m_interval->wastedMs += m_target.getBusyMs(pending->id);
        m_target.cancel(pending->id);
        m_policy->finish(pending->id, m_loop.now(), false);
    } else if (m_setup.propagatesCancellation) {
        m_policy->cancel(pending->id, m_loop.now());
    }
    if (pending->retriesLeft-- <= 0)
        return;
    m_loop.after(m_random.getExponential(callerBackoffMs), [this, pending] { attempt(pending); });
}

void target_model::tick()
{
    m_policy->tick(m_loop.now());
    m_interval->queueSum += m_target.getQueued();
    ++m_interval->queueSamples;
    m_loop.after(tickMs, [this] { tick(); });
}

} // namespace fuchsiagauge
