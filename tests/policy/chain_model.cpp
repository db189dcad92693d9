#include "tests/policy/chain_model.h"

#include "core/call_context.h"
#include "policy/naive_policies.h"
#include "policy/retry_ledger.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double deadlineMs = 1000;
    constexpr double tickMs = 10;
    constexpr double trickleMs = 200;
    constexpr double retryPauseMs = 10;
    constexpr int importantPriority = 800;
    constexpr int sheddablePriority = 100;

    struct hop_size {
        int slots;
        double ownMs;
    };

    /// From the edge down. The work of the upper hops holds its slot while the hop below works.
    constexpr hop_size hopSizes[] = { { 80, 10 }, { 40, 10 }, { 10, 50 } };

} // namespace

struct chain_model::hop {
    int slots;
    double ownMs;
    std::unique_ptr<admission_policy> admission;
    std::unique_ptr<retry_policy> retries;
    std::unique_ptr<simulated_target> target;
    std::uint32_t knownLevel = 0; ///< As the last answer said.
    milliseconds sentAt;
};

struct chain_model::request {
    std::string id;
    int priority;
    bool isImportant;
    milliseconds expiresAt;
    std::shared_ptr<chain_count> count;
    int deepAttempts = 0;
    std::vector<double> workMs;
};

struct chain_model::attempt {
    std::size_t depth;
    std::string id;
    std::shared_ptr<request> made;
    answer_hook answer;
    int handedDown = 0;
};

chain_model::chain_model(const chain_setup& setup)
    : m_setup(setup)
    , m_random(setup.seed)
    , m_count(std::make_shared<chain_count>())
{
    m_count->wastedMs.resize(std::size(hopSizes));
    for (const auto& size : hopSizes) {
        auto made = std::make_unique<hop>();
        made->slots = size.slots;
        made->ownMs = size.ownMs;
        if (setup.isNaive) {
            made->admission = std::make_unique<naive_admission>();
            made->retries = std::make_unique<naive_retries>(setup.retries);
        } else {
            made->admission = std::make_unique<admission_controller>(
                service_rules {}, admission_hooks {}, setup.switches);
            made->retries = std::make_unique<retry_ledger>();
        }
        made->admission->setPublishedSlots(size.slots);
        constexpr int queue = 480;
        made->target = std::make_unique<simulated_target>(m_loop, size.slots, queue,
            [this, ownMs = size.ownMs](milliseconds) { return m_random.getExponential(ownMs); });
        m_hops.push_back(std::move(made));
    }
    m_loop.after(1, [this] { arrive(true); });
    m_loop.after(1, [this] { arrive(false); });
    m_loop.after(tickMs, [this] { tick(); });
}

chain_model::~chain_model() = default;

double chain_model::getCapacity()
{
    const auto& deepest = hopSizes[std::size(hopSizes) - 1];
    return deepest.slots / deepest.ownMs * 1000;
}

double chain_model::getWastedShare(const chain_count& count, double seconds)
{
    double most = 0;
    for (std::size_t depth = 0; depth < count.wastedMs.size(); ++depth)
        most = std::max(most, count.wastedMs[depth] / (hopSizes[depth].slots * seconds * 1000));
    return most;
}

std::shared_ptr<const chain_count> chain_model::run(double seconds)
{
    m_count = std::make_shared<chain_count>();
    m_count->wastedMs.resize(m_hops.size());
    m_loop.runUntil(m_loop.now() + milliseconds(seconds * 1000));
    return m_count;
}

void chain_model::arrive(bool isImportant)
{
    const double important = std::min(m_setup.load, m_setup.importantLoad);
    const double load = isImportant ? important : m_setup.load - important;
    m_loop.after(m_random.getExponential(1000 / (std::max(load, 1e-9) * getCapacity())),
        [this, isImportant] { arrive(isImportant); });
    const auto made = std::make_shared<request>();
    made->id = std::to_string(m_nextId++);
    made->priority = isImportant ? importantPriority : sheddablePriority;
    made->isImportant = isImportant;
    made->expiresAt = m_loop.now() + milliseconds(deadlineMs);
    made->count = m_count;
    made->workMs.resize(m_hops.size());
    auto& counted = isImportant ? made->count->important : made->count->sheddable;
    ++counted.offered;
    serve(0, made, m_setup.retries, [this, made, &counted](bool isSuccess, int) {
        const bool isInTime = isSuccess && m_loop.now() <= made->expiresAt;
        auto& count = *made->count;
        count.mostDeepAttempts = std::max(count.mostDeepAttempts, made->deepAttempts);
        if (isInTime) {
            ++counted.served;
            return;
        }
        for (std::size_t depth = 0; depth < made->workMs.size(); ++depth)
            count.wastedMs[depth] += made->workMs[depth];
    });
}

void chain_model::serve(
    std::size_t depth, const std::shared_ptr<request>& made, int allowance, answer_hook answer)
{
    auto& here = *m_hops[depth];
    const auto begun = std::make_shared<attempt>();
    begun->depth = depth;
    begun->id = std::to_string(m_nextId++);
    begun->made = made;
    begun->answer = std::move(answer);
    if (depth + 1 == m_hops.size()) {
        ++made->deepAttempts;
        ++made->count->deepAttempts;
    }
    const admission_request asked { begun->id, getRank(*made), made->expiresAt };
    here.admission->submit(m_loop.now(), asked, [this, begun, allowance](std::optional<error_kind> refusal) {
        if (refusal) {
            begun->answer(false, allowance);
            return;
        }
        m_hops[begun->depth]->retries->open(begun->id, allowance);
        work(begun);
    });
}

void chain_model::work(const std::shared_ptr<attempt>& made)
{
    auto& here = *m_hops[made->depth];
    const bool isDeepest = made->depth + 1 == m_hops.size();
    here.target->run(made->id, [this, made, &here, isDeepest](bool isAnswered) {
        made->made->workMs[made->depth] += here.target->getBusyMs(made->id);
        if (!isAnswered || isDeepest)
            end(made, isAnswered);
        else
            callDown(made, false);
    });
}

void chain_model::callDown(const std::shared_ptr<attempt>& made, bool isRetry)
{
    auto& here = *m_hops[made->depth];
    auto& next = *m_hops[made->depth + 1];
    if (isHeldBack(next, getRank(*made->made))) {
        here.admission->onDownstreamShed(made->id);
        end(made, false);
        return;
    }
    const auto handedDown = here.retries->beginAttempt(made->id, isRetry);
    if (!handedDown) {
        end(made, false);
        return;
    }
    next.sentAt = m_loop.now();
    serve(made->depth + 1, made->made, *handedDown,
        [this, made, &here, &next, handedDown](bool isSuccess, int unspent) {
            next.knownLevel = next.admission->getAdmissionLevel();
            here.retries->endAttempt(made->id, *handedDown, unspent);
            if (isSuccess || m_loop.now() >= made->made->expiresAt) {
                end(made, isSuccess);
                return;
            }
            here.admission->onDownstreamShed(made->id);
            m_loop.after(retryPauseMs, [this, made] { callDown(made, true); });
        });
}

void chain_model::end(const std::shared_ptr<attempt>& made, bool isSuccess)
{
    auto& here = *m_hops[made->depth];
    const int unspent = here.retries->close(made->id);
    here.admission->finish(made->id, m_loop.now(), isSuccess);
    made->answer(isSuccess, unspent);
}

bool chain_model::isHeldBack(hop& next, std::uint32_t rank)
{
    if (!m_setup.hasCallerShed || rank >= next.knownLevel)
        return false;
    return m_loop.now() - next.sentAt < milliseconds(trickleMs);
}

std::uint32_t chain_model::getRank(const request& made)
{
    return getAdmissionRank(made.priority, m_setup.hasSharedRank ? made.id : std::to_string(m_nextId++));
}

void chain_model::tick()
{
    for (auto& item : m_hops)
        item->admission->tick(m_loop.now());
    m_loop.after(tickMs, [this] { tick(); });
}

} // namespace fuchsiagauge
