#include "tests/policy/call_tree_model.h"

#include <algorithm>

namespace fuchsiagauge {
namespace {

    constexpr double tickMs = 20; ///< Also the age of the loads that callers know.
    constexpr double hopMs = 1; ///< One way between two nodes.
    constexpr int maxSends = 4; ///< Of one request by its client.
    constexpr int maxAttempts = 2; ///< Instances that one call is sent to.
    constexpr double maxQueueShare = 0.7; ///< As in mesh/outbound_call.
    constexpr int servicePhases = 4;

    const std::map<std::string, tree_route>& getRoutes()
    {
        static const std::map<std::string, tree_route> routes {
            { "A", { "A", 190, milliseconds(1500), milliseconds(5000), 1, { { "B", 2, true } } } },
            { "E", { "E", 250, milliseconds(2000), milliseconds(5000), 0, { { "C", 2, false } } } },
            { "B", { "B", 10, milliseconds(1500), milliseconds(4000), 0, { { "C", 1, false } } } },
            { "C", { "C", 10, milliseconds(1500), milliseconds(4000), 0, { { "D", 4, false } } } },
            { "D", { "D", 55, milliseconds(300), milliseconds(700), 0, {} } },
            { "D-own", { "D", 150, milliseconds(800), milliseconds(3000), 1, {} } },
        };
        return routes;
    }

} // namespace

struct call_tree_model::node {
    std::string service;
    int slots = 1;
    double speed = 1;
    slot_gate gate;
    entry_admission entryAdmission;
    call_tree_node tree { {} };
    slot_report report; ///< As callers know it from earlier replies.
};

struct call_tree_model::client_request {
    std::string route;
    milliseconds sentAt;
    int rank = 0;
    int sends = 0;
    std::shared_ptr<std::map<std::string, counts>> all;
    double bottleneckMs = 0;
    bool isFailed = false;
    counts& getCounts() const { return (*all)[route]; }
};

struct call_tree_model::call {
    std::shared_ptr<client_request> request;
    std::string routeName;
    std::shared_ptr<call> parent;
    node* at = nullptr;
    std::uint64_t id = 0;
    int priority = 0;
    int depth = 0;
    milliseconds sentAt;
    milliseconds startedAt;
    milliseconds expiresAt;
    bool isEnded = false;
    int openCalls = 0;
    std::vector<service_need> needs;
    end_hook onEnd;
    const tree_route& getRoute() const { return getRoutes().at(routeName); }
};

call_tree_model::call_tree_model(unsigned seed, bool hasTreeAdmission)
    : m_random(seed)
    , m_hasTreeAdmission(hasTreeAdmission)
{
    const auto add = [this](const std::string& service, int count, int slots, std::vector<double> speeds) {
        for (int index = 0; index < count; ++index) {
            auto added = std::make_unique<node>();
            added->service = service;
            added->tree = call_tree_node(service);
            added->slots = slots;
            added->speed = speeds[static_cast<std::size_t>(index) % speeds.size()];
            added->gate.setSlots(slots, m_loop.now());
            m_services[service].push_back(std::move(added));
        }
    };
    add("A", 36, 54, { 1 });
    add("E", 24, 74, { 1 });
    add("B", 12, 200, { 1 });
    add("C", 12, 200, { 1 });
    add("D", 4, 134, { 0.5, 1, 1, 1.5 });
    m_counts = std::make_shared<std::map<std::string, counts>>();
    m_loop.after(0, [this] { arrive("A", 700); });
    m_loop.after(0, [this] { arrive("E", 260); });
    m_loop.after(0, [this] { arrive("D-own", 80); });
    m_loop.after(tickMs, [this] { tick(); });
}

call_tree_model::~call_tree_model() = default;

std::shared_ptr<std::map<std::string, call_tree_model::counts>> call_tree_model::run(
    double seconds, double factor)
{
    m_counts = std::make_shared<std::map<std::string, counts>>();
    m_rates["A"] = factor;
    m_loop.runUntil(m_loop.now() + milliseconds(seconds * 1000));
    return m_counts;
}

void call_tree_model::arrive(const std::string& routeName, double perSecond)
{
    const auto factor = m_rates.count(routeName) > 0 ? m_rates[routeName] : 1;
    m_loop.after(m_random.getExponential(1000 / (perSecond * factor)), [=] { arrive(routeName, perSecond); });
    const auto request = std::make_shared<client_request>();
    request->route = routeName;
    request->sentAt = m_loop.now();
    request->all = m_counts;
    ++request->getCounts().offered;
    send(request);
}

void call_tree_model::send(const std::shared_ptr<client_request>& request)
{
    ++request->sends;
    request->rank = static_cast<int>(m_random.getUniform() * rankCount);
    const auto made = std::make_shared<call>();
    made->request = request;
    made->routeName = request->route;
    made->priority = made->getRoute().priority;
    made->sentAt = m_loop.now();
    made->expiresAt = request->sentAt + made->getRoute().deadline;
    made->at = &choose(made->getRoute().service, nullptr);
    made->onEnd = [this, request](bool isSuccess, bool) {
        auto& result = request->getCounts();
        result.bottleneckMs += request->bottleneckMs;
        const bool isInTime = m_loop.now() <= request->sentAt + getRoutes().at(request->route).aim;
        result.served += isSuccess && isInTime ? 1 : 0;
        result.answered += isSuccess ? 1 : 0;
        request->isFailed = !isSuccess;
        result.wastedMs += isSuccess ? 0 : request->bottleneckMs;
    };
    m_loop.after(hopMs, [=] { submit(made, maxAttempts); });
}

bool call_tree_model::isAdmitted(node& entry, const client_request& request)
{
    const int priority = getRoutes().at(request.route).priority;
    const double fraction = static_cast<double>(request.rank) / rankCount;
    const auto decided = m_hasTreeAdmission
        ? entry.tree.isAdmitted(m_loop.now(), request.route, priority, fraction)
        : std::nullopt;
    return decided.value_or(entry.entryAdmission.isAdmitted(priority, fraction));
}

void call_tree_model::onRefused(
    const std::shared_ptr<client_request>& request, node& entry, bool isShed, milliseconds wait)
{
    ++request->getCounts().refusals;
    const auto& route = getRoutes().at(request->route);
    const auto left = request->sentAt + route.deadline - m_loop.now();
    const auto longest = left * (1.0 / 3);
    auto pause = route.aim * (0.4 * (0.5 + m_random.getUniform())) + wait;
    if (isShed && m_hasTreeAdmission)
        pause = scheduleRetry({ left, request->sentAt + route.aim - m_loop.now(),
                                  entry.tree.getDemand().getRunTime(request->route) },
            m_random.getUniform());
    else if (isShed)
        pause = longest * (0.5 + 0.5 * m_random.getUniform());
    if (pause <= longest && request->sends < maxSends)
        m_loop.after(pause.getCount(), [=] { send(request); });
}

void call_tree_model::submit(const std::shared_ptr<call>& made, int attemptsLeft)
{
    if (made->isEnded)
        return;
    const auto now = m_loop.now();
    auto& at = *made->at;
    made->id = ++m_lastId;
    if (!made->parent && !isAdmitted(at, *made->request)) {
        onRefused(made->request, at, true, {});
        return;
    }
    at.tree.onArrival(now, made->priority, at.gate.getReport().serviceTime);
    const auto within = std::min(made->getRoute().aim, made->expiresAt - made->sentAt) * maxQueueShare;
    at.gate.submit(now, { made->id, made->priority, made->depth, made->request->rank, made->sentAt + within },
        [this, made, attemptsLeft](std::optional<error_kind> refusal) {
            if (!refusal) {
                begin(made);
                return;
            }
            learnFromReply(*made);
            if (!made->parent) {
                onRefused(made->request, *made->at, false, made->at->gate.getReport().estimateWait());
                return;
            }
            const bool isParentEnded = m_hasTreeAdmission && made->parent->isEnded;
            if (attemptsLeft <= 1 || isParentEnded) {
                made->isEnded = true;
                made->onEnd(false, true);
                return;
            }
            made->at = &choose(made->at->service, made->at);
            m_loop.after(2 * hopMs, [=] { submit(made, attemptsLeft - 1); });
        });
}

void call_tree_model::begin(const std::shared_ptr<call>& running)
{
    running->startedAt = m_loop.now();
    m_loop.at(running->expiresAt, [=] { finish(running, false, true); });
    const double workMs = m_random.getErlang(running->getRoute().workMs / running->at->speed, servicePhases);
    m_loop.after(workMs, [=] { makeCalls(running, 0, 0); });
}

/// Makes the calls of a request in order; `done` of those at `index` have ended.
void call_tree_model::makeCalls(const std::shared_ptr<call>& running, std::size_t index, int done)
{
    if (running->isEnded)
        return;
    const auto& calls = running->getRoute().calls;
    if (index == calls.size()) {
        finish(running, true, false);
        return;
    }
    const auto& next = calls[index];
    const auto count = next.isParallel ? next.count : 1;
    running->openCalls = count;
    for (int made = 0; made < count; ++made) {
        startCall(running, next.service, [=](bool isSuccess, bool isCapacityFailure) {
            if (running->isEnded)
                return;
            if (!isSuccess) {
                finish(running, false, isCapacityFailure);
                return;
            }
            if (--running->openCalls > 0)
                return;
            const bool isLast = next.isParallel || done + 1 == next.count;
            makeCalls(running, isLast ? index + 1 : index, isLast ? 0 : done + 1);
        });
    }
}

void call_tree_model::startCall(
    const std::shared_ptr<call>& parent, const std::string& service, end_hook onEnd)
{
    const auto made = std::make_shared<call>();
    made->request = parent->request;
    made->routeName = service;
    made->parent = parent;
    made->priority = parent->priority;
    made->depth = parent->depth + 1;
    made->sentAt = m_loop.now();
    made->expiresAt = std::min(parent->expiresAt, m_loop.now() + made->getRoute().deadline);
    made->onEnd = std::move(onEnd);
    made->at = &choose(service, nullptr);
    m_loop.after(hopMs, [=] { submit(made, maxAttempts); });
}

/// Tells the node of the parent what the reply to a call says: the loads and needs known at its node.
void call_tree_model::learnFromReply(const call& ended)
{
    if (!ended.parent)
        return;
    auto& to = *ended.parent->at;
    const auto now = m_loop.now();
    const auto capacities
        = ended.at->tree.getCapacities(now, ended.routeName, ended.priority, ended.at->slots);
    const auto sent = formatCapacities(capacities);
    addNeeds(ended.parent->needs,
        to.tree.onReply(now, ended.priority, ended.at->service, ended.at->gate.getReport().serviceTime,
            parseCapacities(&sent)));
}

void call_tree_model::finish(const std::shared_ptr<call>& ended, bool isSuccess, bool isCapacityFailure)
{
    if (ended->isEnded)
        return;
    ended->isEnded = true;
    const auto now = m_loop.now();
    auto& at = *ended->at;
    const auto heldFor = now - ended->startedAt;
    if (at.service == "D") {
        ended->request->bottleneckMs += heldFor.getCount();
        if (ended->request->isFailed) {
            ended->request->getCounts().bottleneckMs += heldFor.getCount();
            ended->request->getCounts().wastedMs += heldFor.getCount();
        }
    }
    if (isSuccess)
        at.tree.onCompletion(ended->routeName, ended->needs, heldFor);
    if (!ended->parent)
        at.entryAdmission.onEnd(ended->priority, isCapacityFailure);
    learnFromReply(*ended);
    at.gate.finish(now, heldFor, ended->id);
    m_loop.after(hopMs, [=] { ended->onEnd(isSuccess, isCapacityFailure); });
}

/// @return the better of two random instances, by the expected time to an answer.
call_tree_model::node& call_tree_model::choose(const std::string& service, const node* avoided)
{
    auto& nodes = m_services[service];
    const auto draw = [&]() -> node& {
        for (;;) {
            auto& drawn
                = *nodes[static_cast<std::size_t>(m_random.getUniform() * static_cast<double>(nodes.size()))];
            if (&drawn != avoided)
                return drawn;
        }
    };
    const auto getCost = [](const node& candidate) {
        const auto& report = candidate.report;
        return (report.serviceTime + report.estimateWait()).getCount();
    };
    auto& first = draw();
    auto& second = draw();
    // Small differences are left to chance, as those of the averages of equal instances would leave some
    // idle.
    constexpr double minGain = 0.9;
    return getCost(second) < getCost(first) * minGain ? second : first;
}

void call_tree_model::tick()
{
    const auto now = m_loop.now();
    for (auto& [name, nodes] : m_services) {
        for (auto& item : nodes) {
            item->gate.tick(now);
            item->report = item->gate.getReport();
            item->entryAdmission.tick(now);
            item->tree.tick(now);
        }
    }
    m_loop.after(tickMs, [this] { tick(); });
}

} // namespace fuchsiagauge
