#include "tests/policy/fill_model.h"

namespace fuchsiagauge {
namespace {

    constexpr double linkMs = 1;
    constexpr double tickMs = 10;
    constexpr double failureMs = 5;
    constexpr int servicePhases = 8;
    constexpr int maxAttempts = 4;
    constexpr milliseconds target { 400 };
    constexpr milliseconds coldTime { 3000 };
    constexpr const char* route = "route";

} // namespace

struct fill_model::caller {
    instance_directory directory;
    instance_picker picker;
};

struct fill_model::request {
    std::uint64_t id = 0;
    std::shared_ptr<caller> from;
    milliseconds arrivedAt;
    milliseconds sentAt;
    milliseconds startedAt;
    std::vector<std::string> tried;
    std::optional<fill_hint> hint;
    std::shared_ptr<fill_counts> counts;
};

fill_model::fill_model(fill_setup setup)
    : m_setup(std::move(setup))
    , m_gates(static_cast<std::size_t>(m_setup.instances + (m_setup.hasJoiner ? 1 : 0)))
{
    for (auto& gate : m_gates)
        gate.setSlots(slots, m_loop.now());
    for (int count = 0; count < m_setup.callers; ++count) {
        m_callers.push_back(std::make_shared<caller>(caller {
            instance_directory(), instance_picker({ "a", {} }, [this] { return m_random.getUniform(); }) }));
    }
    for (int index = 0; index < m_setup.instances; ++index)
        list(index);
    if (m_setup.hasJoiner)
        m_loop.at(joinAt, [this] { list(m_setup.instances); });
    arrive();
    tick();
}

void fill_model::list(int index)
{
    const bool isCold = index == m_setup.instances || !m_setup.hasJoiner;
    instance_record record;
    record.id = std::to_string(index);
    record.service = "orders";
    record.zone = "a";
    record.slots = slots;
    record.target = { "10.0.0." + record.id, 80 };
    record.coldTimeLeft = isCold && m_setup.hasColdTime ? coldTime : milliseconds();
    for (const auto& item : m_callers) {
        item->directory.put(record, m_loop.now());
        if (m_setup.isPaced)
            continue;
        item->picker.onReport(record.id, m_loop.now(), { 0, 0, slots, milliseconds() });
        for (int count = 0; count < 5 && record.coldTimeLeft > milliseconds(); ++count)
            item->picker.onRunTime(record.id, route, milliseconds(serviceMs * 2));
    }
    // Ends the effect of the fixed factor.
    if (!m_setup.isPaced && record.coldTimeLeft > milliseconds())
        m_loop.after(coldTime.getCount(), [this, record] { forget(record.id); });
    if (m_setup.isPaced && isCold)
        m_gates[static_cast<std::size_t>(index)].beginFilling(m_loop.now());
}

void fill_model::forget(const std::string& id)
{
    for (const auto& item : m_callers) {
        instance_directory others;
        for (const auto& [otherId, entry] : item->directory.getEntries()) {
            if (otherId != id)
                others.put(entry.record, m_loop.now());
        }
        item->picker.pruneUnlisted(others);
        item->picker.onReport(id, m_loop.now(), { 0, 0, slots, milliseconds() });
    }
}

double fill_model::getFairShare() const
{
    const double rate = m_setup.load * m_setup.instances * slots / serviceMs * 1000;
    return rate / static_cast<double>(m_gates.size());
}

std::shared_ptr<const fill_counts> fill_model::run(milliseconds until)
{
    m_counts = std::make_shared<fill_counts>();
    m_loop.runUntil(until);
    return m_counts;
}

void fill_model::arrive()
{
    const double rate = m_setup.load * m_setup.instances * slots / serviceMs;
    m_loop.after(m_random.getExponential(1 / rate), [this] { arrive(); });
    const auto current = std::make_shared<request>();
    current->from = m_callers[static_cast<std::size_t>(m_random.getUniform() * m_setup.callers)];
    current->arrivedAt = m_loop.now();
    current->counts = m_counts;
    ++m_counts->total;
    send(current);
}

void fill_model::send(const std::shared_ptr<request>& current)
{
    const auto now = m_loop.now();
    const pick_request wanted { "orders", route, target, target, false, current->tried };
    auto& from = *current->from;
    const auto* chosen = from.picker.choose(now, wanted, from.directory);
    if (!chosen || current->tried.size() >= maxAttempts) {
        ++current->counts->bad;
        return;
    }
    if (m_setup.isPaced)
        current->hint = from.picker.makeFillHint(now, wanted, *chosen, from.directory);
    from.picker.onSend(chosen->record.id, now);
    current->tried.push_back(chosen->record.id);
    current->sentAt = now;
    current->id = ++m_lastId;
    const int index = std::stoi(chosen->record.id);
    m_loop.after(linkMs, [this, current, index] {
        const auto startBy = current->arrivedAt + target * 0.7;
        m_gates[static_cast<std::size_t>(index)].submit(m_loop.now(),
            { current->id, 0, 0, static_cast<int>(m_random.getUniform() * 1024), startBy, {}, current->hint },
            [this, current, index](std::optional<error_kind> refusal) {
                if (refusal)
                    end(current, index, health_signal::Refusal);
                else
                    runAtInstance(current, index);
            });
    });
}

void fill_model::runAtInstance(const std::shared_ptr<request>& current, int index)
{
    const bool isLast = index == static_cast<int>(m_gates.size()) - 1;
    current->counts->sentToLast += isLast ? 1 : 0;
    const int busy = m_gates[static_cast<std::size_t>(index)].getReport().busy;
    current->startedAt = m_loop.now();
    const double slowdown = isLast || !m_setup.hasJoiner ? m_setup.getSlowdown(m_loop.now(), busy) : 1;
    const double ms = slowdown > 0 ? m_random.getErlang(serviceMs * slowdown, servicePhases) : failureMs;
    m_loop.after(ms, [this, current, index, isFailed = slowdown <= 0] {
        const auto now = m_loop.now();
        auto& gate = m_gates[static_cast<std::size_t>(index)];
        if (m_setup.isPaced) {
            gate.recordOutcome(now, isFailed ? fill_outcome::Failed : fill_outcome::Answered,
                now - current->startedAt, current->hint);
        }
        gate.finish(now, now - current->startedAt);
        end(current, index, isFailed ? health_signal::Failure : health_signal::Success);
    });
}

void fill_model::end(const std::shared_ptr<request>& current, int index, health_signal signal)
{
    const auto report = m_gates[static_cast<std::size_t>(index)].getReport();
    m_loop.after(linkMs, [this, current, index, signal, report] {
        const auto now = m_loop.now();
        auto& picker = current->from->picker;
        const auto id = std::to_string(index);
        picker.onReport(id, now, report);
        picker.onEnd(id, now, signal);
        if (signal == health_signal::Refusal) {
            send(current);
            return;
        }
        if (signal == health_signal::Success && report.waiting == 0 && report.busy < report.slots)
            picker.onRunTime(id, route, now - current->sentAt);
        const bool isBad = signal == health_signal::Failure || now - current->arrivedAt > target;
        const bool isLast = index == static_cast<int>(m_gates.size()) - 1;
        current->counts->bad += isBad ? 1 : 0;
        current->counts->badAtLast += isBad && isLast ? 1 : 0;
        current->counts->answeredByLast += !isBad && isLast ? 1 : 0;
    });
}

void fill_model::tick()
{
    for (auto& gate : m_gates)
        gate.tick(m_loop.now());
    m_loop.after(tickMs, [this] { tick(); });
}

} // namespace fuchsiagauge
