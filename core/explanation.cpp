#include "core/explanation.h"

#include "core/error.h"
#include "core/json_fields.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace fuchsiagauge {

namespace json_fields {

    template <> struct enum_names<explained_kind> {
        static const char* getName(explained_kind kind)
        {
            constexpr const char* words[] = { "nothing", "class", "service", "instance" };
            return words[static_cast<int>(kind)];
        }
        static std::array<explained_kind, 4> getValues()
        {
            return { explained_kind::Nothing, explained_kind::Class, explained_kind::Service,
                explained_kind::Instance };
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

    /// @return the share of a class's requests that an admission level lets in, 0 to 1.
    double getAdmittedShare(int priority, std::uint32_t level)
    {
        const auto ranksAbove = (priority + 1) * ranksPerPriority - static_cast<double>(level);
        return std::clamp(ranksAbove / ranksPerPriority, 0.0, 1.0);
    }

    std::string describeAdmission(const request_class& asked, const node_status& status)
    {
        const auto share = getAdmittedShare(asked.priority, status.target.admissionLevel);
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

    void addClassRules(const request_class& asked, std::vector<std::string>& sentences)
    {
        if (asked.isAtMostOnce)
            sentences.emplace_back("Its requests need a ticket, run at most once and are never retried.");
        else if (!asked.isIdempotent)
            sentences.emplace_back("Its requests are not sent again after an unknown outcome.");
        if (!asked.mayCrossRegions)
            sentences.emplace_back("Its requests stay within their region.");
        if (asked.hasLargeAnswers)
            sentences.emplace_back("Its answers give way to small ones on the link between regions.");
    }

    std::vector<std::string> explainClass(
        const node_status& status, const preset& rules, const request_class& asked)
    {
        std::vector<std::string> sentences;
        sentences.push_back("In preset " + quote(rules.name) + " (revision "
            + std::to_string(status.configuration.revision) + ") it has priority "
            + std::to_string(asked.priority) + " and a deadline of " + formatCount(asked.deadline.getCount())
            + " ms.");
        addClassRules(asked, sentences);
        sentences.push_back(describeAdmission(asked, status));
        addCounters(status, asked.name, sentences);
        return sentences;
    }

    std::string describeInstance(const instance_status& known)
    {
        auto text
            = known.id + " (" + known.region + '/' + known.zone + ") is " + getInstanceStateName(known.state);
        if (known.isEjected)
            text += ", but ejected by this node" + (known.reason.empty() ? "" : ": " + known.reason);
        return text + "; " + std::to_string(known.inFlight) + " calls of this node in flight there.";
    }

    void addCutOff(const node_status& status, const std::string& region, const std::string& zone,
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
            status.instances.begin(), status.instances.end(), [&](const instance_status& known) {
                return known.service == name && known.state == instance_state::Live && !known.isEjected;
            });
        sentences.push_back("This node sends calls to " + std::to_string(usable) + " of its instances.");
        for (const auto& known : status.instances) {
            if (known.service == name)
                sentences.push_back(describeInstance(known));
        }
        if (!status.control.cutOffRegions.empty())
            sentences.push_back("Cut off from region " + join(status.control.cutOffRegions) + '.');
        return sentences;
    }

    std::vector<std::string> explainInstance(const node_status& status, const instance_status& known)
    {
        std::vector<std::string> sentences { describeInstance(known) };
        addCutOff(status, known.region, known.zone, sentences);
        return sentences;
    }

    bool knowsService(const node_status& status, const preset& rules, const std::string& name)
    {
        if (rules.services.count(name) != 0 || status.service == name)
            return true;
        return std::any_of(status.instances.begin(), status.instances.end(),
            [&](const instance_status& known) { return known.service == name; });
    }

} // namespace

bool operator==(const explanation& a, const explanation& b)
{
    return std::tie(a.instance, a.name, a.kind, a.sentences)
        == std::tie(b.instance, b.name, b.kind, b.sentences);
}

explanation explain(const node_status& status, const preset& rules, const std::string& name)
{
    explanation result { status.instance, name, explained_kind::Nothing, {} };
    const auto asked = rules.classes.find(name);
    if (asked != rules.classes.end()) {
        result.kind = explained_kind::Class;
        result.sentences = explainClass(status, rules, asked->second);
        return result;
    }
    if (knowsService(status, rules, name)) {
        result.kind = explained_kind::Service;
        result.sentences = explainService(status, rules, name);
        return result;
    }
    for (const auto& known : status.instances) {
        if (known.id != name)
            continue;
        result.kind = explained_kind::Instance;
        result.sentences = explainInstance(status, known);
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
