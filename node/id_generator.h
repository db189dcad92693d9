#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace fuchsiagauge {

/// Gives identifiers and random numbers that no two nodes share.
class id_generator {
public:
    /// Seeds itself from the machine's randomness.
    id_generator();

    /// @return a request id: 32 hexadecimal digits.
    std::string makeRequestId();

    /// @return an attempt id: 16 hexadecimal digits.
    std::string makeAttemptId();

    /// @return a number in [0, 1).
    double makeRandomFraction();

private:
    std::mt19937_64 m_generator;
};

} // namespace fuchsiagauge
