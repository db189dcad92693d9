#include "core/node_status.h"

#include "core/error.h"
#include "core/json_fields.h"

#include <array>
#include <tuple>

namespace fuchsiagauge {

const char* getNodeStateName(node_state state)
{
    return state == node_state::Serving ? "serving" : "leaving";
}

const char* getInstanceStateName(instance_state state)
{
    switch (state) {
    case instance_state::Live:
        return "live";
    case instance_state::Leaving:
        return "leaving";
    case instance_state::Gone:
        break;
    }
    return "gone";
}

namespace json_fields {

    template <> struct enum_names<node_state> {
        static const char* getName(node_state state) { return getNodeStateName(state); }
        static std::array<node_state, 2> getValues() { return { node_state::Serving, node_state::Leaving }; }
    };

    template <> struct enum_names<instance_state> {
        static const char* getName(instance_state state) { return getInstanceStateName(state); }
        static std::array<instance_state, 3> getValues()
        {
            return { instance_state::Live, instance_state::Leaving, instance_state::Gone };
        }
    };

    template <> struct field_list<configuration_status> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("preset", object.preset);
            visitor("revision", object.revision);
            visitor("digest", object.digest);
            visitor("document_alarm", object.hasDocumentConflict);
            visitor("last_refusal", object.lastRefusal);
        }
    };

    template <> struct field_list<target_load> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("in_flight", object.inFlight);
            visitor("limit", object.limit);
            visitor("queued", object.queued);
            visitor("admission_level", object.admissionLevel);
        }
    };

    template <> struct field_list<class_counters> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("name", object.name);
            visitor("offered", object.offered);
            visitor("answered", object.answered);
            visitor("shed", object.shed);
            visitor("expired", object.expired);
        }
    };

    template <> struct field_list<instance_status> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("id", object.id);
            visitor("service", object.service);
            visitor("region", object.region);
            visitor("zone", object.zone);
            visitor("state", object.state);
            visitor("ejected", object.isEjected);
            visitor("reason", object.reason);
            visitor("in_flight", object.inFlight);
        }
    };

    template <> struct field_list<control_status> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("peers", object.peers);
            visitor("cut_off_regions", object.cutOffRegions);
            visitor("cut_off_zones", object.cutOffZones);
            visitor("is_reader", object.isReader);
            visitor("readers", object.readers);
            visitor("platform_reachable", object.isPlatformReachable);
            visitor("platform_calls", object.platformCalls);
            visitor("bytes_per_second", object.bytesPerSecond);
        }
    };

    template <> struct field_list<link_status> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("used_bytes_per_second", object.usedBytesPerSecond);
            visitor("budget_bytes_per_second", object.budgetBytesPerSecond);
        }
    };

    template <> struct field_list<node_status> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("instance", object.instance);
            visitor("service", object.service);
            visitor("region", object.region);
            visitor("zone", object.zone);
            visitor("start_number", object.startNumber);
            visitor("uptime_ms", object.uptime);
            visitor("state", object.state);
            visitor("configuration", object.configuration);
            visitor("target", object.target);
            visitor("classes", object.classes);
            visitor("instances", object.instances);
            visitor("control", object.control);
            visitor("link", object.link);
        }
    };

} // namespace json_fields

namespace {

    auto tie(const configuration_status& s)
    {
        return std::tie(s.preset, s.revision, s.digest, s.hasDocumentConflict, s.lastRefusal);
    }

    auto tie(const target_load& s) { return std::tie(s.inFlight, s.limit, s.queued, s.admissionLevel); }

    auto tie(const class_counters& s) { return std::tie(s.name, s.offered, s.answered, s.shed, s.expired); }

    auto tie(const instance_status& s)
    {
        return std::tie(s.id, s.service, s.region, s.zone, s.state, s.isEjected, s.reason, s.inFlight);
    }

    auto tie(const control_status& s)
    {
        return std::tie(s.peers, s.cutOffRegions, s.cutOffZones, s.isReader, s.readers, s.isPlatformReachable,
            s.platformCalls, s.bytesPerSecond);
    }

    auto tie(const link_status& s) { return std::tie(s.usedBytesPerSecond, s.budgetBytesPerSecond); }

    auto tie(const node_status& s)
    {
        return std::tie(s.instance, s.service, s.region, s.zone, s.startNumber, s.uptime, s.state,
            s.configuration, s.target, s.classes, s.instances, s.control, s.link);
    }

} // namespace

bool operator==(const configuration_status& a, const configuration_status& b) { return tie(a) == tie(b); }
bool operator==(const target_load& a, const target_load& b) { return tie(a) == tie(b); }
bool operator==(const class_counters& a, const class_counters& b) { return tie(a) == tie(b); }
bool operator==(const instance_status& a, const instance_status& b) { return tie(a) == tie(b); }
bool operator==(const control_status& a, const control_status& b) { return tie(a) == tie(b); }
bool operator==(const link_status& a, const link_status& b) { return tie(a) == tie(b); }
bool operator==(const node_status& a, const node_status& b) { return tie(a) == tie(b); }

std::string formatNodeStatus(const node_status& status) { return json_fields::format(status); }

std::optional<node_status> parseNodeStatus(const std::string& text)
{
    node_status status;
    if (!json_fields::parse(text, status))
        return fail(error_kind::BadPeerMessage, "expected a node's status as a JSON object");
    return status;
}

} // namespace fuchsiagauge
