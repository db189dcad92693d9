#include "policy/key_freshness.h"

#include <utility>

namespace fuchsiagauge {
namespace {

    /// Share of the revocation time after which keys are refused.
    constexpr double maxProofAgeShare = 0.9;

} // namespace

bool key_freshness::mayUseKeys(milliseconds now, milliseconds provenAt) const
{
    return !isLimited() || now - provenAt <= m_revokeTime * maxProofAgeShare;
}

bool key_freshness::hasChanged(milliseconds now, milliseconds provenAt)
{
    const bool areKeysUsable = mayUseKeys(now, provenAt);
    return std::exchange(m_wereKeysUsable, areKeysUsable) != areKeysUsable;
}

} // namespace fuchsiagauge
