#include "core/clock.h"

#include <chrono>
#include <ctime>
#include <utility>

namespace fuchsiagauge {

clock::clock(time_source read)
    : m_read(std::move(read))
{
}

clock clock::makeSteady()
{
    return clock([] {
        const auto sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
        return milliseconds(std::chrono::duration<double, std::milli>(sinceBoot).count());
    });
}

clock clock::makeBoot()
{
    return clock([] {
        constexpr double msPerSecond = 1e3;
        constexpr double nanosecondsPerMs = 1e6;
        timespec now {};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return milliseconds(static_cast<double>(now.tv_sec) * msPerSecond
            + static_cast<double>(now.tv_nsec) / nanosecondsPerMs);
    });
}

} // namespace fuchsiagauge
