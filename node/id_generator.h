#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace fuchsiagauge {

/// Generates random ids and random numbers, from a seed that differs between nodes.
class id_generator {
public:
    /// Seeds the generator from the operating system's random device.
    id_generator();

    /// @return a request id: 32 hexadecimal digits.
    std::string makeRequestId();

    /// @return an attempt id: 16 hexadecimal digits.
    std::string makeAttemptId();

    /// @return a uniformly distributed number in [0, 1).
    double makeRandomFraction();

private:
    std::mt19937_64 m_generator;
};

} // namespace fuchsiagauge
