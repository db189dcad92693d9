#pragma once

#include <cstddef>

namespace fuchsiagauge {

/// Limits the connections of all listeners of a process together, so that descriptors are left for calls to
/// other nodes, the instance and the platform.
struct connection_budget {
    std::size_t limit = 0;
    std::size_t open = 0;
};

} // namespace fuchsiagauge
