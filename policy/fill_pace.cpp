#include "policy/fill_pace.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace fuchsiagauge {
namespace {

    constexpr std::array stateNames { "full", "starting", "recovering" };

    constexpr double startShare = 0.125; ///< Share of the slots that is usable at first.
    /// With a window of one, a single long request would stop all growth.
    constexpr double minStartWindow = 2;
    constexpr double usualTimeTolerance = 1.5; ///< Answers of healthy instances vary by about this factor.
    constexpr double overloadedSlowdown = 3; ///< Answers that are slower by more don't let the window grow.
    /// Slower by this factor than with fewer requests at once: these requests slow each other down.
    constexpr double contentionFactor = 2;
    constexpr double badRoundShare = 0.3; ///< Healthy instances reject or fail single requests too.
    constexpr double badRoundFactor = 0.5;
    constexpr int minRoundSize = 4;
    /// Requests that queue elsewhere must get their share of the instance within this time.
    constexpr milliseconds longestFill { 3000 };
    constexpr double healthWeight = 0.1; ///< The average covers about ten requests.
    constexpr double failingShare = 0.6; ///< The instance is failing if more of its requests fail.
    /// Shorter pauses between the answers to several requests also occur at healthy instances.
    constexpr milliseconds minSilence { 1000 };
    constexpr double silentServiceTimes = 4;
    constexpr int minSilentRequests = 4; ///< Fewer may all be long ones.
    constexpr milliseconds relapseTime { 30000 };
    constexpr int maxRelapses = 2;

} // namespace

const char* getFillStateName(fill_state state) { return stateNames.at(static_cast<std::size_t>(state)); }

bool isRecentStart(const instance_record& record, std::uint64_t wallTimeMs, bool isReplaced)
{
    if (record.startedAtMs == 0)
        return isReplaced || record.coldTimeLeft > milliseconds();
    const auto age = wallTimeMs < record.startedAtMs
        ? milliseconds()
        : milliseconds(static_cast<double>(wallTimeMs - record.startedAtMs));
    return age < std::max(recentStartTime, record.coldTimeLeft);
}

void fill_pace::begin(milliseconds now, fill_state reason)
{
    if (reason == fill_state::Recovering) {
        m_relapses = now - m_recoveringSince < relapseTime ? std::min(m_relapses + 1, maxRelapses) : 0;
        m_recoveringSince = now;
    } else {
        m_relapses = 0;
    }
    m_state = reason;
    m_window = getStartWindow();
    m_beganAt = now;
    m_isWaitingForAnswer = true;
    m_failedShare = 0;
    m_unansweredSince = now;
    m_leastSlowdown.reset();
    startRound();
    raiseTo(m_window);
}

void fill_pace::setSlots(int slots)
{
    m_slots = std::max(1, slots);
    if (isFilling())
        raiseTo(std::max(m_window, getStartWindow()));
}

void fill_pace::onSend(milliseconds now, int busy)
{
    if (busy == 1)
        m_unansweredSince = now;
}

void fill_pace::onEnd(milliseconds now, fill_outcome outcome, milliseconds heldFor, milliseconds usualTime)
{
    const bool isFailed = outcome == fill_outcome::Failed;
    if (!isFailed)
        m_unansweredSince = now;
    if (!isFilling()) {
        m_failedShare += healthWeight * ((isFailed ? 1 : 0) - m_failedShare);
        if (m_failedShare > failingShare)
            begin(now, fill_state::Recovering);
        return;
    }
    // A request that was sent before says nothing about the instance as it is now.
    if (now - heldFor < m_beganAt)
        return;
    ++m_roundEnds;
    if (outcome != fill_outcome::Answered) {
        ++m_roundBad;
    } else {
        if (m_isWaitingForAnswer)
            m_floorSince = now - getLongestFill() * (m_window / m_slots);
        m_isWaitingForAnswer = false;
        const double slowdown = usualTime > milliseconds() ? heldFor / usualTime : 1;
        const double growth = (overloadedSlowdown - slowdown) / (overloadedSlowdown - usualTimeTolerance);
        m_roundSlowdown += slowdown;
        raiseTo(m_window + std::clamp(growth, 0.0, 1.0) / (1 + m_relapses));
    }
    if (m_roundEnds >= m_roundSize)
        endRound();
}

void fill_pace::tick(milliseconds now, int busy, milliseconds serviceTime)
{
    if (!isFilling()) {
        const bool isSilent = busy >= minSilentRequests
            && now - m_unansweredSince > std::max(minSilence, serviceTime * silentServiceTimes);
        if (isSilent)
            begin(now, fill_state::Recovering);
        return;
    }
    if (!m_isWaitingForAnswer)
        raiseTo(std::max(m_window, m_slots * ((now - m_floorSince) / getLongestFill())));
}

int fill_pace::getUsableSlots() const
{
    return isFilling() ? std::clamp(static_cast<int>(m_window), 1, m_slots) : m_slots;
}

double fill_pace::getStartWindow() const { return std::max(minStartWindow, std::ceil(m_slots * startShare)); }

/// @return the time in which the window reaches the slots at the latest; longer for an instance whose last
/// recoveries did not last.
milliseconds fill_pace::getLongestFill() const { return longestFill * (1 + m_relapses); }

void fill_pace::startRound()
{
    m_roundSize = std::max(minRoundSize, static_cast<int>(m_window));
    m_roundEnds = 0;
    m_roundBad = 0;
    m_roundSlowdown = 0;
}

void fill_pace::endRound()
{
    const int answered = m_roundEnds - m_roundBad;
    const double slowdown = answered > 0 ? m_roundSlowdown / answered : 0;
    const bool isRefusing = m_roundBad > badRoundShare * m_roundEnds;
    const bool isOverloaded
        = slowdown > std::max(overloadedSlowdown, m_leastSlowdown.value_or(slowdown) * contentionFactor);
    if (answered > 0)
        m_leastSlowdown = std::min(m_leastSlowdown.value_or(slowdown), slowdown);
    if (isRefusing || isOverloaded) {
        m_window = std::max(std::min(m_window, getStartWindow()), m_window * badRoundFactor);
        m_isWaitingForAnswer = true;
    }
    startRound();
}

void fill_pace::raiseTo(double window)
{
    m_window = window;
    if (m_window >= m_slots)
        m_state = fill_state::Full;
}

} // namespace fuchsiagauge
