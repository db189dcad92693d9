#include "mesh/pace_header.h"

#include <cmath>
#include <sstream>

namespace fuchsiagauge {
namespace {

    constexpr double percent = 100;
    constexpr double maxSlowdownPercent = 100000; ///< A larger figure is no plausible statement.

} // namespace

std::string formatPace(const pace_report& pace)
{
    return std::to_string(std::lround(pace.slowdown * percent)) + ' '
        + std::to_string(std::lround(pace.age.getCount()));
}

pace_report parsePace(const std::string* value)
{
    if (!value)
        return {};
    std::istringstream text(*value);
    int slowdownPercent = 0;
    int ageMs = 0;
    if (!(text >> slowdownPercent >> ageMs) || slowdownPercent <= 0 || slowdownPercent > maxSlowdownPercent
        || ageMs < 0)
        return {};
    return { slowdownPercent / percent, milliseconds(ageMs) };
}

} // namespace fuchsiagauge
