#include "node/self_report.h"

namespace fuchsiagauge {

node_report makeSelfReport(const node_parts& parts, int unspentRetries)
{
    node_report report;
    report.unspentRetries = unspentRetries;
    report.admissionLevel = parts.admission->getAdmissionLevel();
    report.inFlight = parts.admission->getInFlight() + parts.admission->getQueued();
    report.limit = parts.admission->getLimit();
    report.revision = parts.sharedState.configuration.get().revision;
    report.startNumber = parts.identity.startNumber;
    report.isLeaving = parts.sharedState.target.get().isLeaving;
    return report;
}

} // namespace fuchsiagauge
