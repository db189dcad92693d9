#pragma once

#include "core/clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace fuchsiagauge {

/// The work that each organisation has received at one gate in the last seconds.
///
/// Amounts decay exponentially, all at the same rate, so that the order of organisations changes only by what
/// they receive. An organisation that starts to compete counts as having received not much less than the one
/// whose turn it was last. Otherwise a surge after a quiet time would keep the others waiting for seconds.
/// At most `maxOrganisations` are kept; beyond that the one that received least is forgotten
/// first, as it differs least from an organisation that received nothing.
class fair_share {
public:
    static constexpr std::size_t maxOrganisations = 256;

    /// Counts a request of an organisation that starts.
    /// @param organisation name of the organisation.
    /// @param work time for which the request is expected to hold a slot.
    void start(milliseconds now, const std::string& organisation, milliseconds work);

    /// Corrects what an organisation received.
    /// @param work time of a slot in addition to what was expected; may be negative.
    void correct(milliseconds now, const std::string& organisation, milliseconds work);

    /// Counts an organisation that starts to wait for a slot.
    /// @param maxLead how much less it may have received than the organisation whose turn it was last.
    void join(milliseconds now, const std::string& organisation, milliseconds maxLead);

    /// @return the work that an organisation received, as of the last change.
    milliseconds getReceived(const std::string& organisation) const;

    /// @return whether no organisation has received anything lately.
    bool isEmpty() const { return m_received.empty(); }

private:
    void decay(milliseconds now);
    void add(const std::string& organisation, double workMs);
    void limitSize(const std::string& kept);

    std::map<std::string, double> m_received; ///< In milliseconds, as of `m_decayedAt`.
    double m_turnMs = 0; ///< The most that an organisation had received when one of its requests started.
    milliseconds m_decayedAt;
};

} // namespace fuchsiagauge
