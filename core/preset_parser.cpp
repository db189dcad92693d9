#include "core/preset_parser.h"

#include "core/document_reader.h"
#include "core/error.h"
#include "core/json_text.h"
#include "core/preset_warnings.h"

#include <nlohmann/json.hpp>

namespace fuchsiagauge {
namespace {

    constexpr double maxDurationMs = 3600.0 * 1000;
    constexpr double maxBytesPerSecond = 1e12;
    constexpr int maxSmallAnswerBytes = 16 * 1024 * 1024;
    constexpr int maxPriority = 1000;
    constexpr int maxRequestCount = 100000;
    constexpr int maxRetries = 10;
    constexpr int documentFormatVersion = 1;

    request_class readClass(const std::string& name, document_reader& reader)
    {
        request_class result;
        result.name = name;
        result.priority = reader.getInteger("priority", result.priority, 0, maxPriority);
        result.deadline
            = milliseconds(reader.getNumber("deadline_ms", result.deadline.getCount(), 1, maxDurationMs));
        result.isAtMostOnce = reader.getFlag("at_most_once", result.isAtMostOnce);
        result.isIdempotent = reader.getFlag("idempotent", !result.isAtMostOnce);
        result.mayCrossRegions = reader.getFlag("may_cross_regions", result.mayCrossRegions);
        result.hasLargeResponses = reader.getFlag("large", result.hasLargeResponses);
        if (result.isAtMostOnce && result.isIdempotent)
            reader.addFault(
                "", "`at_most_once` and `idempotent` are both true", "at most one of them to be true");
        if (result.isAtMostOnce && !reader.hasKey("deadline_ms"))
            reader.addWarning("", "runs at most once, but has no `deadline_ms`",
                "a deadline, as callers ask again after it; it is 1000 ms now");
        return result;
    }

    class_route readRoute(document_reader& reader)
    {
        class_route result;
        result.method = reader.getText("method", "");
        result.pathPrefix = reader.getText("path_prefix", "");
        result.className = reader.getRequiredText("class");
        if (result.method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ") != std::string::npos)
            reader.addFault("method", "got `" + result.method + "`", "an HTTP method in capital letters");
        if (!result.pathPrefix.empty() && result.pathPrefix.front() != '/')
            reader.addFault("path_prefix", "got `" + result.pathPrefix + "`", "a path that begins with `/`");
        return result;
    }

    service_rules readService(const std::string& name, document_reader& reader)
    {
        service_rules result;
        result.name = name;
        result.defaultClass = reader.getRequiredText("class");
        reader.readEntries("routes", [&result](const std::string&, document_reader& route) {
            result.routes.push_back(readRoute(route));
        });
        result.minLimit = reader.getInteger("min_limit", result.minLimit, 1, maxRequestCount);
        result.maxLimit = reader.getInteger("max_limit", result.maxLimit, 1, maxRequestCount);
        result.queueTarget = milliseconds(
            reader.getNumber("queue_target_ms", result.queueTarget.getCount(), 1, maxDurationMs));
        result.maxQueue = reader.getInteger("max_queue", result.maxQueue, 0, maxRequestCount);
        if (result.minLimit > result.maxLimit)
            reader.addFault("min_limit",
                std::to_string(result.minLimit) + " is above `max_limit`, which is "
                    + std::to_string(result.maxLimit),
                "at most `max_limit`");
        return result;
    }

    retry_rules readRetries(document_reader& reader)
    {
        retry_rules result;
        result.perRequest = reader.getInteger("per_request", result.perRequest, 0, maxRetries);
        result.fleetRatio = reader.getNumber("fleet_ratio", result.fleetRatio, 0, 1);
        return result;
    }

    link_rules readLink(document_reader& reader)
    {
        link_rules result;
        result.bytesPerSecond
            = reader.getNumber("bytes_per_second", result.bytesPerSecond, 0, maxBytesPerSecond);
        result.smallAnswerBytes
            = reader.getInteger("small_answer_bytes", result.smallAnswerBytes, 0, maxSmallAnswerBytes);
        return result;
    }

    /// Records a fault if the class is not defined in the preset.
    void checkClassName(
        const preset& checked, const std::string& className, const std::string& key, document_reader& reader)
    {
        if (className.empty() || checked.classes.count(className) != 0)
            return;
        reader.addFault(key,
            "names the class `" + className + "`, which this preset does not have"
                + reader.suggest(className, checked.classes),
            "a class of the same preset");
    }

    /// Checks the classes that the services and their routes refer to.
    void checkClassNames(const preset& checked, document_reader& reader)
    {
        for (const auto& [name, service] : checked.services) {
            const auto servicePath = "services." + name;
            checkClassName(checked, service.defaultClass, servicePath + ".class", reader);
            for (std::size_t i = 0; i < service.routes.size(); ++i)
                checkClassName(checked, service.routes[i].className,
                    servicePath + ".routes[" + std::to_string(i) + "].class", reader);
        }
    }

    preset readPreset(const std::string& name, document_reader& reader)
    {
        preset result;
        result.name = name;
        reader.readObject("retries", [&result](const std::string&, document_reader& retries) {
            result.retries = readRetries(retries);
        });
        reader.readObject(
            "link", [&result](const std::string&, document_reader& link) { result.link = readLink(link); });
        reader.readMembers("classes", [&result](const std::string& className, document_reader& item) {
            result.classes[className] = readClass(className, item);
        });
        reader.readMembers("services", [&result](const std::string& serviceName, document_reader& item) {
            result.services[serviceName] = readService(serviceName, item);
        });
        checkClassNames(result, reader);
        return result;
    }

    void checkFormat(document_reader& reader)
    {
        if (!reader.hasKey("format"))
            reader.addFault("format", "missing", std::to_string(documentFormatVersion));
        reader.getInteger("format", documentFormatVersion, documentFormatVersion, documentFormatVersion);
    }

    preset_document readRootObject(document_reader& reader)
    {
        preset_document result;
        checkFormat(reader);
        result.activePreset = reader.getRequiredText("in_force");
        if (!reader.hasKey("presets"))
            reader.addFault("presets", "missing", "an object with at least one preset");
        reader.readMembers("presets", [&result](const std::string& name, document_reader& item) {
            result.presets[name] = readPreset(name, item);
        });
        if (!result.activePreset.empty() && result.presets.count(result.activePreset) == 0)
            reader.addFault("in_force",
                "names the preset `" + result.activePreset + "`, which the document does not have"
                    + reader.suggest(result.activePreset, result.presets),
                "a preset of the document");
        return result;
    }

    /// Parses a document, without the checks of addPresetWarnings(), which need a complete valid document.
    std::optional<preset_document> readPresetDocument(const std::string& text, document_findings& findings)
    {
        if (text.size() > maxPresetDocumentBytes) {
            findings.push_back({ finding_severity::Fault, "", std::to_string(text.size()) + " bytes",
                "at most " + std::to_string(maxPresetDocumentBytes) + " bytes" });
            return std::nullopt;
        }
        const auto value = parseJsonText(text, findings);
        if (!value)
            return std::nullopt;
        document_reader reader(*value, "", findings);
        if (!value->is_object())
            return std::nullopt;
        auto document = readRootObject(reader);
        reader.addUnknownKeyFaults();
        if (hasFault(findings))
            return std::nullopt;
        return document;
    }

} // namespace

preset_check_result checkPresetDocument(const std::string& text)
{
    preset_check_result result;
    result.document = readPresetDocument(text, result.findings);
    if (result.document)
        addPresetWarnings(*result.document, result.findings);
    return result;
}

std::optional<preset_document> parsePresetDocument(const std::string& text)
{
    document_findings findings;
    auto document = readPresetDocument(text, findings);
    if (!document)
        return fail(error_kind::BadDocument, formatFaults(findings, ""));
    return document;
}

} // namespace fuchsiagauge
