#include "tests/policy/chain_model.h"

#include "core/call_context.h"
#include "policy/naive_policies.h"
#include "policy/retry_allowance_policy.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double deadlineMs = 1000;
    constexpr double tickMs = 10;
    constexpr double probeIntervalMs = 200;
    constexpr double retryDelayMs = 10;
    constexpr int importantPriority = 800;
    constexpr int sheddablePriority = 100;

    struct hop_size {
        int slots;
        double serviceMs;
    };

    /// In order from the edge. A request holds its slot at the upper hops until the downstream hop has
    /// answered.
    constexpr hop_size hopSizes[] = { { 80, 10 }, { 40, 10 }, { 10, 50 } };

} // namespace

struct chain_model::hop {
    int slots;
    double serviceMs;
    std::unique_ptr<admission_policy> admission;
    std::unique_ptr<retry_policy> retries;
    std::unique_ptr<simulated_target> target;
    std::uint32_t lastKnownLevel = 0; ///< Admission level carried by the last response.
    milliseconds lastSentAt;
};

struct chain_model::model_request {
    std::string id;
    int priority;
    bool isImportant;
    milliseconds expiresAt;
    std::shared_ptr<chain_counts> counts;
    int deepestHopAttempts = 0;
    std::vector<double> workMs;
};

struct chain_model::hop_attempt {
    std::size_t depth;
    std::string id;
    std::shared_ptr<model_request> request;
    done_hook done;
    int grantedRetries = 0;
};

chain_model::chain_model(const chain_setup& setup)
    : m_setup(setup)
    , m_random(setup.seed)
    , m_counts(std::make_shared<chain_counts>())
{
    m_counts->wastedMs.resize(std::size(hopSizes));
    for (const auto& size : hopSizes) {
        auto newHop = std::make_unique<hop>();
        newHop->slots = size.slots;
        newHop->serviceMs = size.serviceMs;
        if (setup.isNaive) {
            newHop->admission = std::make_unique<naive_admission>();
            newHop->retries = std::make_unique<naive_retries>(setup.retries);
        } else {
            newHop->admission = std::make_unique<admission_controller>(
                service_rules {}, admission_hooks {}, setup.switches);
            newHop->retries = std::make_unique<retry_allowance_policy>();
        }
        newHop->admission->setPublishedSlots(size.slots);
        constexpr int queueLimit = 480;
        newHop->target = std::make_unique<simulated_target>(m_loop, size.slots, queueLimit,
            [this, serviceMs = size.serviceMs](milliseconds) { return m_random.getExponential(serviceMs); });
        m_hops.push_back(std::move(newHop));
    }
    m_loop.after(1, [this] { arrive(true); });
    m_loop.after(1, [this] { arrive(false); });
    m_loop.after(tickMs, [this] { tick(); });
}

chain_model::~chain_model() = default;

double chain_model::getCapacity()
{
    const auto& deepest = hopSizes[std::size(hopSizes) - 1];
    return deepest.slots / deepest.serviceMs * 1000;
}

double chain_model::getWastedShare(const chain_counts& counts, double seconds)
{
    double most = 0;
    for (std::size_t depth = 0; depth < counts.wastedMs.size(); ++depth)
        most = std::max(most, counts.wastedMs[depth] / (hopSizes[depth].slots * seconds * 1000));
    return most;
}

std::shared_ptr<const chain_counts> chain_model::run(double seconds)
{
    m_counts = std::make_shared<chain_counts>();
    m_counts->wastedMs.resize(m_hops.size());
    m_loop.runUntil(m_loop.now() + milliseconds(seconds * 1000));
    return m_counts;
}

void chain_model::arrive(bool isImportant)
{
    const double important = std::min(m_setup.load, m_setup.importantLoad);
    const double load = isImportant ? important : m_setup.load - important;
    m_loop.after(m_random.getExponential(1000 / (std::max(load, 1e-9) * getCapacity())),
        [this, isImportant] { arrive(isImportant); });
    const auto request = std::make_shared<model_request>();
    request->id = std::to_string(m_nextId++);
    request->priority = isImportant ? importantPriority : sheddablePriority;
    request->isImportant = isImportant;
    request->expiresAt = m_loop.now() + milliseconds(deadlineMs);
    request->counts = m_counts;
    request->workMs.resize(m_hops.size());
    auto& classCount = isImportant ? request->counts->important : request->counts->sheddable;
    ++classCount.offered;
    submitToHop(0, request, m_setup.retries, [this, request, &classCount](bool isSuccess, int) {
        const bool isInTime = isSuccess && m_loop.now() <= request->expiresAt;
        auto& counts = *request->counts;
        counts.maxDeepestHopAttempts = std::max(counts.maxDeepestHopAttempts, request->deepestHopAttempts);
        if (isInTime) {
            ++classCount.served;
            return;
        }
        for (std::size_t depth = 0; depth < request->workMs.size(); ++depth)
            counts.wastedMs[depth] += request->workMs[depth];
    });
}

void chain_model::submitToHop(
    std::size_t depth, const std::shared_ptr<model_request>& request, int allowance, done_hook done)
{
    auto& currentHop = *m_hops[depth];
    const auto attempt = std::make_shared<hop_attempt>();
    attempt->depth = depth;
    attempt->id = std::to_string(m_nextId++);
    attempt->request = request;
    attempt->done = std::move(done);
    if (depth + 1 == m_hops.size()) {
        ++request->deepestHopAttempts;
        ++request->counts->deepestHopAttempts;
    }
    const admission_request admissionRequest { attempt->id, getRank(*request), request->expiresAt };
    currentHop.admission->submit(
        m_loop.now(), admissionRequest, [this, attempt, allowance](std::optional<error_kind> refusal) {
            if (refusal) {
                attempt->done(false, allowance);
                return;
            }
            m_hops[attempt->depth]->retries->open(attempt->id, allowance);
            runAtTarget(attempt);
        });
}

void chain_model::runAtTarget(const std::shared_ptr<hop_attempt>& attempt)
{
    auto& currentHop = *m_hops[attempt->depth];
    const bool isDeepest = attempt->depth + 1 == m_hops.size();
    currentHop.target->run(attempt->id, [this, attempt, &currentHop, isDeepest](bool isAnswered) {
        attempt->request->workMs[attempt->depth] += currentHop.target->getBusyMs(attempt->id);
        if (!isAnswered || isDeepest)
            finishAttempt(attempt, isAnswered);
        else
            callNextHop(attempt, false);
    });
}

void chain_model::callNextHop(const std::shared_ptr<hop_attempt>& attempt, bool isRetry)
{
    auto& currentHop = *m_hops[attempt->depth];
    auto& nextHop = *m_hops[attempt->depth + 1];
    if (isShedByCaller(nextHop, getRank(*attempt->request))) {
        currentHop.admission->onDownstreamShed(attempt->id);
        finishAttempt(attempt, false);
        return;
    }
    const auto grantedRetries = currentHop.retries->beginAttempt(attempt->id, isRetry);
    if (!grantedRetries) {
        finishAttempt(attempt, false);
        return;
    }
    nextHop.lastSentAt = m_loop.now();
    submitToHop(attempt->depth + 1, attempt->request, *grantedRetries,
        [this, attempt, &currentHop, &nextHop, grantedRetries](bool isSuccess, int unspent) {
            nextHop.lastKnownLevel = nextHop.admission->getAdmissionLevel();
            currentHop.retries->endAttempt(attempt->id, *grantedRetries, unspent);
            if (isSuccess || m_loop.now() >= attempt->request->expiresAt) {
                finishAttempt(attempt, isSuccess);
                return;
            }
            currentHop.admission->onDownstreamShed(attempt->id);
            m_loop.after(retryDelayMs, [this, attempt] { callNextHop(attempt, true); });
        });
}

void chain_model::finishAttempt(const std::shared_ptr<hop_attempt>& attempt, bool isSuccess)
{
    auto& currentHop = *m_hops[attempt->depth];
    const int unspent = currentHop.retries->close(attempt->id);
    currentHop.admission->finish(attempt->id, m_loop.now(), isSuccess);
    attempt->done(isSuccess, unspent);
}

bool chain_model::isShedByCaller(hop& nextHop, std::uint32_t rank)
{
    if (!m_setup.hasCallerShedding || rank >= nextHop.lastKnownLevel)
        return false;
    return m_loop.now() - nextHop.lastSentAt < milliseconds(probeIntervalMs);
}

std::uint32_t chain_model::getRank(const model_request& request)
{
    return getAdmissionRank(
        request.priority, m_setup.hasSharedRank ? request.id : std::to_string(m_nextId++));
}

void chain_model::tick()
{
    for (auto& item : m_hops)
        item->admission->tick(m_loop.now());
    m_loop.after(tickMs, [this] { tick(); });
}

} // namespace fuchsiagauge
