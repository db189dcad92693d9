#include "misc/fuzz/fuzz_targets.h"

#include "core/audit_trail.h"
#include "core/call_context.h"
#include "core/error.h"
#include "core/node_report.h"
#include "core/node_status.h"
#include "core/order_ticket.h"
#include "core/preset_diff.h"
#include "core/preset_parser.h"
#include "core/settings.h"

#include <cstdio>
#include <cstdlib>

namespace fuchsiagauge {
namespace {

    /// Aborts the program if a property is violated, so that the fuzzer saves the input.
    void requireProperty(bool holds, const char* property)
    {
        if (holds)
            return;
        std::fprintf(stderr, "property violated: %s\n", property);
        std::abort();
    }

    const fleet_keys& getKeys()
    {
        static const fleet_keys keys({ "a secret of the fuzzers" });
        return keys;
    }

    void runPresetDocument(const std::string& input)
    {
        const auto check = checkPresetDocument(input);
        const auto parsed = parsePresetDocument(input);
        requireProperty(check.document == parsed, "the check and the parser agree");
        requireProperty(parsed.has_value() != hasFault(check.findings),
            "the result is either a document or a fault, never both");
        if (!parsed) {
            requireProperty(
                getLastError().kind == error_kind::BadDocument, "a rejection reports the error kind");
            return;
        }
        requireProperty(comparePresetDocuments(*parsed, *parsed).empty(), "a document equals itself");
        for (const auto& [name, item] : parsed->getActivePreset().classes)
            requireProperty(parseCallContext(formatCallContext({ std::string(32, '0'), std::string(16, '0'),
                                                                   name, milliseconds(1), 0, 0, 0 },
                                                 getKeys()),
                                getKeys())
                                .has_value(),
                "a call context can carry every class name of a valid document");
    }

    void runSettings(const std::string& input)
    {
        if (settings::parse(input, "file"))
            return;
        requireProperty(getLastError().kind == error_kind::BadSettings, "a rejection reports the error kind");
        requireProperty(getLastError().detail.compare(0, 6, "file: ") == 0, "a rejection names the file");
    }

    void runCallContext(const std::string& input)
    {
        requireProperty(!parseCallContext(input, getKeys()), "an unsigned context is rejected");
        const auto context = parseCallContext(input + ';' + getKeys().sign(input), getKeys());
        if (!context)
            return;
        const auto reparsedContext = parseCallContext(formatCallContext(*context, getKeys()), getKeys());
        requireProperty(reparsedContext == context, "a context is unchanged by formatting and parsing");
    }

    void runNodeReport(const std::string& input)
    {
        const auto report = parseNodeReport(input);
        if (report)
            requireProperty(parseNodeReport(formatNodeReport(*report)) == report,
                "a report is unchanged by formatting and parsing");
    }

    void runOrderTicket(const std::string& input)
    {
        requireProperty(!parseOrderTicket(input, getKeys()), "an unsigned ticket is rejected");
        const auto ticket = parseOrderTicket(input + '~' + getKeys().sign(input), getKeys());
        if (ticket)
            requireProperty(parseOrderTicket(formatOrderTicket(*ticket, getKeys()), getKeys()) == ticket,
                "a ticket is unchanged by formatting and parsing");
    }

    void runNodeAnswers(const std::string& input)
    {
        const auto status = parseNodeStatus(input);
        if (status)
            requireProperty(
                parseNodeStatus(formatNodeStatus(*status)).has_value(), "a formatted status can be parsed");
        const auto page = parseAuditPage(input);
        if (page)
            requireProperty(
                parseAuditPage(formatAuditPage(*page)).has_value(), "a formatted audit page can be parsed");
    }

} // namespace

const std::vector<fuzz_target>& getFuzzTargets()
{
    static const std::vector<fuzz_target> targets {
        { "preset_document", runPresetDocument },
        { "settings", runSettings },
        { "call_context", runCallContext },
        { "node_report", runNodeReport },
        { "order_ticket", runOrderTicket },
        { "node_answers", runNodeAnswers },
    };
    return targets;
}

} // namespace fuchsiagauge
