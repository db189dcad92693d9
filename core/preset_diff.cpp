#include "core/preset_diff.h"

#include "core/json_fields.h"

#include <sstream>
#include <tuple>

namespace fuchsiagauge {

namespace json_fields {

    template <> struct field_list<preset_change> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("in_force", object.affectsActivePreset);
            visitor("path", object.path);
            visitor("before", object.before);
            visitor("after", object.after);
            visitor("sentence", object.sentence);
        }
    };

} // namespace json_fields

namespace {

    std::string formatValue(double value)
    {
        constexpr int significantDigits = 15;
        std::ostringstream out;
        out.precision(significantDigits);
        out << value;
        return out.str();
    }

    std::string quote(const std::string& name) { return '`' + name + '`'; }

    /// Collects the differences in one section of the documents.
    class change_collector {
    public:
        change_collector(std::vector<preset_change>& changes, std::string path, std::string subject)
            : m_changes(changes)
            , m_path(std::move(path))
            , m_subject(std::move(subject))
        {
        }

        /// Creates a collector for a nested section, such as a class.
        /// @param path path of the nested section below this one.
        /// @param subject name of the nested section in sentences.
        change_collector createNested(const std::string& path, const std::string& subject) const
        {
            change_collector nested(m_changes, m_path + '.' + path, m_subject + ", " + subject);
            nested.m_affectsActivePreset = m_affectsActivePreset;
            return nested;
        }

        void setAffectsActivePreset(bool affectsActivePreset) { m_affectsActivePreset = affectsActivePreset; }

        void compareNumber(
            const char* key, const char* name, const char* unit, double before, double after) const
        {
            if (before == after)
                return;
            const auto* verb = after > before ? " rises from " : " falls from ";
            add(key, formatValue(before), formatValue(after),
                std::string("the ") + name + verb + formatValue(before) + " to " + formatValue(after) + unit);
        }

        void compareFlag(
            const char* key, const char* whenSet, const char* whenClear, bool before, bool after) const
        {
            if (before != after)
                add(key, before ? "true" : "false", after ? "true" : "false", after ? whenSet : whenClear);
        }

        void compareText(
            const char* key, const char* name, const std::string& before, const std::string& after) const
        {
            if (before != after)
                add(key, before, after,
                    std::string("the ") + name + " changes from " + quote(before) + " to " + quote(after));
        }

        /// Adds a change.
        /// @param key path of the key below this section; empty for the section itself.
        /// @param before value in the first document; empty if absent.
        /// @param after value in the second document; empty if absent.
        /// @param description the change as a clause without a full stop.
        void add(const std::string& key, const std::string& before, const std::string& after,
            const std::string& description) const
        {
            m_changes.push_back({ m_affectsActivePreset, key.empty() ? m_path : m_path + '.' + key, before,
                after, m_subject + ": " + description + '.' });
        }

    private:
        std::vector<preset_change>& m_changes;
        std::string m_path;
        std::string m_subject;
        bool m_affectsActivePreset = false;
    };

    /// Compares two maps by key: reports removed and added items and compares the common ones.
    /// @param section path of the map below the section of `collector`.
    /// @param itemKind noun for an item in sentences, such as "class".
    /// @param collector receives the differences.
    /// @param compare called with both versions of an item that differs.
    template <typename Item, typename Compare>
    void compareByName(const std::map<std::string, Item>& before, const std::map<std::string, Item>& after,
        const std::string& section, const std::string& itemKind, const change_collector& collector,
        Compare compare)
    {
        for (const auto& [name, item] : before) {
            const auto found = after.find(name);
            if (found == after.end())
                collector.add(section + '.' + name, name, "", itemKind + ' ' + quote(name) + " is removed");
            else if (item != found->second)
                compare(item, found->second,
                    collector.createNested(section + '.' + name, itemKind + ' ' + quote(name)));
        }
        for (const auto& [name, item] : after) {
            if (before.count(name) == 0)
                collector.add(section + '.' + name, "", name, itemKind + ' ' + quote(name) + " is added");
        }
    }

    void compareClass(
        const request_class& before, const request_class& after, const change_collector& collector)
    {
        collector.compareNumber("priority", "priority", "", before.priority, after.priority);
        collector.compareNumber(
            "deadline_ms", "deadline", " ms", before.deadline.getCount(), after.deadline.getCount());
        collector.compareFlag("at_most_once", "requests now run at most once and need a ticket",
            "requests no longer need a ticket and may run more than once", before.isAtMostOnce,
            after.isAtMostOnce);
        collector.compareFlag("idempotent", "requests may now be sent again after an unknown outcome",
            "requests are no longer sent again after an unknown outcome", before.isIdempotent,
            after.isIdempotent);
        collector.compareFlag("may_cross_regions", "requests may now cross regions",
            "requests may no longer cross regions", before.mayCrossRegions, after.mayCrossRegions);
        collector.compareFlag("large", "answers now count as large and give way on the link between regions",
            "answers no longer count as large", before.hasLargeResponses, after.hasLargeResponses);
    }

    std::string formatRoutes(const std::vector<class_route>& routes)
    {
        std::string text;
        for (const auto& route : routes) {
            text += (text.empty() ? "" : "; ") + (route.method.empty() ? "any method" : route.method);
            text += ' ' + (route.pathPrefix.empty() ? "any path" : route.pathPrefix) + " is "
                + route.className;
        }
        return text.empty() ? "none" : text;
    }

    void compareService(
        const service_rules& before, const service_rules& after, const change_collector& collector)
    {
        collector.compareText("class", "class", before.defaultClass, after.defaultClass);
        if (before.routes != after.routes)
            collector.add("routes", formatRoutes(before.routes), formatRoutes(after.routes),
                "the routes change from (" + formatRoutes(before.routes) + ") to ("
                    + formatRoutes(after.routes) + ')');
        collector.compareNumber(
            "min_limit", "floor of the concurrency limit", " requests", before.minLimit, after.minLimit);
        collector.compareNumber(
            "max_limit", "ceiling of the concurrency limit", " requests", before.maxLimit, after.maxLimit);
        collector.compareNumber("queue_target_ms", "queueing delay that counts as overload", " ms",
            before.queueTarget.getCount(), after.queueTarget.getCount());
        collector.compareNumber(
            "max_queue", "longest queue at one instance", " requests", before.maxQueue, after.maxQueue);
    }

    void comparePreset(const preset& before, const preset& after, const change_collector& collector)
    {
        collector.compareNumber("retries.per_request", "number of retries for one request", "",
            before.retries.perRequest, after.retries.perRequest);
        collector.compareNumber("retries.fleet_ratio", "share of retries that a node may send", "",
            before.retries.fleetRatio, after.retries.fleetRatio);
        collector.compareNumber("link.bytes_per_second", "budget of the link between regions",
            " bytes a second", before.link.bytesPerSecond, after.link.bytesPerSecond);
        collector.compareNumber("link.small_answer_bytes", "size up to which answers go first", " bytes",
            before.link.smallAnswerBytes, after.link.smallAnswerBytes);
        compareByName(before.classes, after.classes, "classes", "class", collector, compareClass);
        compareByName(before.services, after.services, "services", "service", collector, compareService);
    }

    /// Compares the active preset of one document with that of the other, whatever their names are.
    void compareActivePresets(
        const preset_document& before, const preset_document& after, std::vector<preset_change>& changes)
    {
        if (before.activePreset != after.activePreset)
            changes.push_back({ true, "in_force", before.activePreset, after.activePreset,
                "The preset in force changes from " + quote(before.activePreset) + " to "
                    + quote(after.activePreset) + "." });
        change_collector collector(changes, "presets." + after.activePreset, "In force");
        collector.setAffectsActivePreset(true);
        comparePreset(before.getActivePreset(), after.getActivePreset(), collector);
    }

    /// Compares the presets by name, except a preset that is active in both documents, which
    /// compareActivePresets() has compared.
    void compareRemainingPresets(
        const preset_document& before, const preset_document& after, std::vector<preset_change>& changes)
    {
        for (const auto& [name, item] : before.presets) {
            const auto found = after.presets.find(name);
            const auto subject = "Preset " + quote(name);
            change_collector collector(changes, "presets." + name, subject);
            if (found == after.presets.end())
                collector.add("", name, "", "removed");
            else if (name != before.activePreset || name != after.activePreset)
                comparePreset(item, found->second, collector);
        }
        for (const auto& [name, item] : after.presets) {
            if (before.presets.count(name) == 0)
                change_collector(changes, "presets." + name, "Preset " + quote(name))
                    .add("", "", name, "added");
        }
    }

} // namespace

bool operator==(const preset_change& a, const preset_change& b)
{
    return std::tie(a.affectsActivePreset, a.path, a.before, a.after, a.sentence)
        == std::tie(b.affectsActivePreset, b.path, b.before, b.after, b.sentence);
}

std::vector<preset_change> comparePresetDocuments(const preset_document& before, const preset_document& after)
{
    std::vector<preset_change> changes;
    compareActivePresets(before, after, changes);
    compareRemainingPresets(before, after, changes);
    return changes;
}

std::string formatChangesAsJson(const std::vector<preset_change>& changes)
{
    return json_fields::format(changes);
}

} // namespace fuchsiagauge
