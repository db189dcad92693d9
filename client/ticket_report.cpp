#include "client/ticket_report.h"

#include "core/error.h"
#include "core/json_fields.h"

#include <tuple>

namespace fuchsiagauge {

namespace json_fields {

    template <> struct field_list<ticket_report> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("state", object.state);
            visitor("sentence", object.sentence);
            visitor("certain", object.isCertain);
        }
    };

} // namespace json_fields

namespace {

    struct state_row {
        const char* state;
        const char* sentence;
        bool isCertain;
    };

    constexpr state_row stateTable[] = {
        { "unused", "The order has not run; it will run if it is sent with this ticket.", true },
        { "running", "The order is running; ask again.", true },
        { "answered", "The order ran once and was answered.", true },
        { "expired", "The order never ran with this ticket and never will.", true },
        { "mismatch", "The ticket was used with another request.", true },
        { "unknown", "The order may have run; check the records of the instance. It will not run again.",
            false },
    };

} // namespace

bool operator==(const ticket_report& a, const ticket_report& b)
{
    return std::tie(a.state, a.sentence, a.isCertain) == std::tie(b.state, b.sentence, b.isCertain);
}

std::optional<ticket_report> parseTicketReport(const std::string& text)
{
    ticket_report parsed;
    if (json_fields::parse(text, parsed)) {
        for (const auto& row : stateTable) {
            if (parsed.state == row.state)
                return ticket_report { row.state, row.sentence, row.isCertain };
        }
    }
    return fail(error_kind::BadPeerMessage, "expected a JSON object with a known ticket state");
}

std::string formatTicketReportAsJson(const ticket_report& report) { return json_fields::format(report); }

} // namespace fuchsiagauge
