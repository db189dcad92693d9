#include "bench/group_report.h"

#include <algorithm>

namespace fuchsiagauge::bench {
namespace {

    constexpr double slotS = 0.25;
    constexpr double msPerSecond = 1000;

} // namespace

group_report::group_report(std::string name, std::string className)
    : m_name(std::move(name))
    , m_className(std::move(className))
    , m_offeredTimeline(slotS)
    , m_goodputTimeline(slotS)
    , m_servedByArrivalTimeline(slotS)
{
}

void group_report::addOffered(double arrivalMs)
{
    ++m_offered;
    m_offeredTimeline.add(arrivalMs / msPerSecond);
}

void group_report::add(const request_record& record)
{
    m_sends += record.sends.size();
    m_maxSends = std::max<std::uint64_t>(m_maxSends, record.sends.size());
    ++m_verdicts[static_cast<std::size_t>(record.verdict)];
    ++m_outcomes[static_cast<std::size_t>(record.outcome)];
    for (const auto& send : record.sends) {
        if (!send.error.empty())
            ++m_sendErrors[send.error];
    }
    if (record.verdict == request_verdict::Failed && !record.sends.empty())
        ++m_errors[record.sends.back().error];
    if (!record.mismatch.empty())
        ++m_mismatches[record.mismatch];
    if (!record.ticketState.empty())
        ++m_ticketStates[record.ticketState];
    if (record.verdict != request_verdict::Succeeded)
        return;
    m_latenciesMs.push_back(record.endMs - record.arrivalMs);
    m_goodputTimeline.add(record.endMs / msPerSecond);
    m_servedByArrivalTimeline.add(record.arrivalMs / msPerSecond);
}

std::uint64_t group_report::getCount(request_verdict verdict) const
{
    return m_verdicts[static_cast<std::size_t>(verdict)];
}

std::uint64_t group_report::getCount(run_outcome outcome) const
{
    return m_outcomes[static_cast<std::size_t>(outcome)];
}

} // namespace fuchsiagauge::bench
