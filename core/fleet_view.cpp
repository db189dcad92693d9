#include "core/fleet_view.h"

#include <tuple>

namespace fuchsiagauge {

bool operator==(const instance_view& a, const instance_view& b)
{
    const auto tie = [](const instance_view& i) {
        return std::tie(
            i.id, i.service, i.region, i.zone, i.meshAddress, i.peerAddress, i.startNumber, i.state);
    };
    return tie(a) == tie(b);
}

} // namespace fuchsiagauge
