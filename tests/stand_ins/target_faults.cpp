#include "tests/stand_ins/target_faults.h"

namespace fuchsiagauge::stand_in {

target_faults readTargetFaults(document_reader& reader, const target_faults& previous)
{
    constexpr double maxSlowFactor = 10000;
    auto next = previous;
    next.slowFactor = reader.getNumber("slow_factor", next.slowFactor, 0, maxSlowFactor);
    next.failShare = reader.getNumber("fail_share", next.failShare, 0, 1);
    next.isHealthInverted = reader.getFlag("lie_health", next.isHealthInverted);
    next.isLoadReportedIdle = reader.getFlag("lie_load", next.isLoadReportedIdle);
    next.dropAnswerShare = reader.getNumber("drop_answer_share", next.dropAnswerShare, 0, 1);
    next.truncatedAnswerShare = reader.getNumber("cut_answer_share", next.truncatedAnswerShare, 0, 1);
    next.nonHttpAnswerShare = reader.getNumber("garbage_share", next.nonHttpAnswerShare, 0, 1);
    next.duplicateAnswerShare = reader.getNumber("duplicate_answer_share", next.duplicateAnswerShare, 0, 1);
    next.wrongLengthShare = reader.getNumber("wrong_length_share", next.wrongLengthShare, 0, 1);
    next.isDraining = reader.getFlag("draining", next.isDraining);
    return next;
}

} // namespace fuchsiagauge::stand_in
