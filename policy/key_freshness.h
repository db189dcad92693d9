#pragma once

#include "core/clock.h"

namespace fuchsiagauge {

/// Decides whether a node may identify requests by keys, which may have been revoked.
///
/// Keys are refused before the revocation time has passed since the node's rules were last proved current.
/// The rest of that time covers a request that is on its way while the decision is made.
class key_freshness {
public:
    /// @param revokeTime time after which a revoked key must not be accepted anywhere; 0: keys are always
    /// accepted.
    explicit key_freshness(milliseconds revokeTime)
        : m_revokeTime(revokeTime)
    {
    }

    /// @return whether the time for revoking a key is limited.
    bool isLimited() const { return m_revokeTime > milliseconds(); }

    /// @param provenAt the time up to which the rules are proved current.
    /// @return whether a key may be accepted now.
    bool mayUseKeys(milliseconds now, milliseconds provenAt) const;

    /// Notices a change of the decision.
    /// @return whether the decision differs from the one at the last call; before the first call, keys were
    /// refused.
    bool hasChanged(milliseconds now, milliseconds provenAt);

private:
    milliseconds m_revokeTime;
    bool m_wereKeysUsable = false;
};

} // namespace fuchsiagauge
