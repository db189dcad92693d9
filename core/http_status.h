#pragma once

namespace fuchsiagauge {

/// @return whether a number is in one of the classes of status codes that HTTP defines.
constexpr bool isHttpStatus(int status)
{
    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599;
    return status >= firstStatus && status <= lastStatus;
}

} // namespace fuchsiagauge
