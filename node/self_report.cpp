#include "node/self_report.h"

namespace fuchsiagauge {

node_report makeSelfReport(const node_context& nodeContext, int unspentRetries)
{
    node_report report;
    report.unspentRetries = unspentRetries;
    report.admissionLevel = nodeContext.admission->getAdmissionLevel();
    report.inFlight = nodeContext.admission->getInFlight() + nodeContext.admission->getQueued();
    report.limit = nodeContext.admission->getLimit();
    report.revision = nodeContext.sharedState.configuration.get().revision;
    report.startNumber = nodeContext.identity.startNumber;
    report.isLeaving = nodeContext.sharedState.target.get().isLeaving;
    return report;
}

} // namespace fuchsiagauge
