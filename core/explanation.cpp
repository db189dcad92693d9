#include "core/explanation.h"

#include "core/error.h"
#include "core/json_fields.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace fuchsiagauge {

namespace json_fields {

    template <> struct enum_names<explanation_kind> {
        static const char* getName(explanation_kind kind)
        {
            constexpr const char* words[] = { "nothing", "class", "service", "instance" };
            return words[static_cast<int>(kind)];
        }
        static std::array<explanation_kind, 4> getValues()
        {
            return { explanation_kind::Nothing, explanation_kind::Class, explanation_kind::Service,
                explanation_kind::Instance };
        }
    };

    template <> struct field_list<explanation> {
        template <typename Object, typename Visitor> static void visit(Object& object, Visitor& visitor)
        {
            visitor("instance", object.instance);
            visitor("name", object.name);
            visitor("kind", object.kind);
            visitor("sentences", object.sentences);
        }
    };

} // namespace json_fields

namespace {

    constexpr double ranksPerPriority = 65536;

    std::string quote(const std::string& name) { return '`' + name + '`'; }

    std::string formatCount(double value) { return std::to_string(std::llround(value)); }

    std::string join(const std::vector<std::string>& names)
    {
        std::string text;
        for (const auto& name : names)
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

    /// @return the share of the requests of a class that an admission level admits, 0 to 1.
    double getAdmittedShare(int priority, std::uint32_t level)
    {
        const auto ranksAbove = (priority + 1) * ranksPerPriority - static_cast<double>(level);
        return std::clamp(ranksAbove / ranksPerPriority, 0.0, 1.0);
    }

    std::string describeAdmission(const request_class& requestClass, const node_status& status)
    {
        const auto share = getAdmittedShare(requestClass.priority, status.target.admissionLevel);
        if (share >= 1)
            return "The target of " + status.instance + " admits it in full.";
        const auto load = std::to_string(status.target.inFlight) + " in flight, limit "
            + std::to_string(status.target.limit) + ", " + std::to_string(status.target.queued) + " queued";
        if (share <= 0)
            return "The target of " + status.instance + " refuses it because of overload (" + load + ").";
        return "The target of " + status.instance + " admits " + formatCount(100 * share)
            + " % of it because of overload (" + load + ").";
    }

    void addCounters(const node_status& status, const std::string& name, std::vector<std::string>& sentences)
    {
        for (const auto& counters : status.classes) {
            if (counters.name == name)
                sentences.push_back("Since the node's start: " + std::to_string(counters.offered)
                    + " offered, " + std::to_string(counters.answered) + " answered, "
                    + std::to_string(counters.shed) + " shed, " + std::to_string(counters.expired)
                    + " past their deadline.");
        }
    }

    void addClassRules(const request_class& requestClass, std::vector<std::string>& sentences)
    {
        if (requestClass.isAtMostOnce)
            sentences.emplace_back("Its requests need a ticket, run at most once and are never retried.");
        else if (!requestClass.isIdempotent)
            sentences.emplace_back("Its requests are not sent again after an unknown outcome.");
        if (!requestClass.mayCrossRegions)
            sentences.emplace_back("Its requests stay within their region.");
        if (requestClass.hasLargeResponses)
            sentences.emplace_back("Its answers give way to small ones on the link between regions.");
    }

    std::vector<std::string> explainClass(
        const node_status& status, const preset& rules, const request_class& requestClass)
    {
        std::vector<std::string> sentences;
        sentences.push_back("In preset " + quote(rules.name) + " (revision "
            + std::to_string(status.configuration.revision) + ") it has priority "
            + std::to_string(requestClass.priority) + " and a deadline of "
            + formatCount(requestClass.deadline.getCount()) + " ms.");
        addClassRules(requestClass, sentences);
        sentences.push_back(describeAdmission(requestClass, status));
        addCounters(status, requestClass.name, sentences);
        return sentences;
    }

    std::string describeInstance(const instance_status& instance)
    {
        auto text = instance.id + " (" + instance.region + '/' + instance.zone + ") is "
            + getInstanceStateName(instance.state);
        if (instance.isEjected)
            text += ", but ejected by this node" + (instance.reason.empty() ? "" : ": " + instance.reason);
        return text + "; " + std::to_string(instance.inFlight) + " calls of this node in flight there.";
    }

    void addReachability(const node_status& status, const std::string& region, const std::string& zone,
        std::vector<std::string>& sentences)
    {
        const auto contains = [](const std::vector<std::string>& names, const std::string& name) {
            return std::find(names.begin(), names.end(), name) != names.end();
        };
        if (contains(status.control.cutOffRegions, region))
            sentences.push_back("This node can reach nothing in region " + region + '.');
        else if (contains(status.control.cutOffZones, zone))
            sentences.push_back("This node can reach nothing in availability zone " + zone + '.');
    }

    std::vector<std::string> explainService(
        const node_status& status, const preset& rules, const std::string& name)
    {
        std::vector<std::string> sentences;
        const auto found = rules.services.find(name);
        if (found == rules.services.end())
            sentences.push_back("Preset " + quote(rules.name) + " has no rules for it: calls to it enter at "
                + "the lowest priority and are never retried.");
        else
            sentences.push_back("In preset " + quote(rules.name) + " its class is "
                + quote(found->second.defaultClass) + " and its limit between "
                + std::to_string(found->second.minLimit) + " and " + std::to_string(found->second.maxLimit)
                + " requests at one instance.");
        const auto usable = std::count_if(
            status.instances.begin(), status.instances.end(), [&](const instance_status& instance) {
                return instance.service == name && instance.state == instance_state::Live
                    && !instance.isEjected;
            });
        sentences.push_back("This node sends calls to " + std::to_string(usable) + " of its instances.");
        for (const auto& instance : status.instances) {
            if (instance.service == name)
                sentences.push_back(describeInstance(instance));
        }
        if (!status.control.cutOffRegions.empty())
            sentences.push_back("Cut off from region " + join(status.control.cutOffRegions) + '.');
        return sentences;
    }

    std::vector<std::string> explainInstance(const node_status& status, const instance_status& instance)
    {
        std::vector<std::string> sentences { describeInstance(instance) };
        addReachability(status, instance.region, instance.zone, sentences);
        return sentences;
    }

    bool isKnownService(const node_status& status, const preset& rules, const std::string& name)
    {
        if (rules.services.count(name) != 0 || status.service == name)
            return true;
        return std::any_of(status.instances.begin(), status.instances.end(),
            [&](const instance_status& instance) { return instance.service == name; });
    }

} // namespace

bool operator==(const explanation& a, const explanation& b)
{
    return std::tie(a.instance, a.name, a.kind, a.sentences)
        == std::tie(b.instance, b.name, b.kind, b.sentences);
}

explanation explain(const node_status& status, const preset& rules, const std::string& name)
{
    explanation result { status.instance, name, explanation_kind::Nothing, {} };
    const auto foundClass = rules.classes.find(name);
    if (foundClass != rules.classes.end()) {
        result.kind = explanation_kind::Class;
        result.sentences = explainClass(status, rules, foundClass->second);
        return result;
    }
    if (isKnownService(status, rules, name)) {
        result.kind = explanation_kind::Service;
        result.sentences = explainService(status, rules, name);
        return result;
    }
    for (const auto& instance : status.instances) {
        if (instance.id != name)
            continue;
        result.kind = explanation_kind::Instance;
        result.sentences = explainInstance(status, instance);
        return result;
    }
    result.sentences.emplace_back("This node knows no class, service or instance of this name.");
    return result;
}

std::string formatExplanation(const explanation& value) { return json_fields::format(value); }

std::optional<explanation> parseExplanation(const std::string& text)
{
    explanation value;
    if (!json_fields::parse(text, value))
        return fail(error_kind::BadPeerMessage, "expected an explanation as a JSON object");
    return value;
}

} // namespace fuchsiagauge
