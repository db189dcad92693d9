#include "mesh/replica_messages.h"

#include "core/error.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace fuchsiagauge {
namespace {

    using json = nlohmann::json;

    constexpr double maxWaitMs = 60000;

    json encodeItem(const stored_item& item)
    {
        const std::vector<std::uint8_t> bytes(item.value.begin(), item.value.end());
        return json::array({ item.key, item.revision, json::binary(bytes) });
    }

    std::optional<stored_item> decodeItem(const json& value)
    {
        constexpr std::size_t fieldCount = 3;
        if (!value.is_array() || value.size() != fieldCount || !value[0].is_string()
            || !value[1].is_number_unsigned() || !value[2].is_binary())
            return std::nullopt;
        const auto& bytes = value[2].get_binary();
        return stored_item { value[0].get<std::string>(), std::string(bytes.begin(), bytes.end()),
            value[1].get<std::uint64_t>() };
    }

    std::optional<removed_item> decodeRemoval(const json& value)
    {
        constexpr std::size_t fieldCount = 2;
        if (!value.is_array() || value.size() != fieldCount || !value[0].is_string()
            || !value[1].is_number_unsigned())
            return std::nullopt;
        return removed_item { value[0].get<std::string>(), value[1].get<std::uint64_t>() };
    }

    /// Decodes each element of an array.
    /// @return whether the field is an array of valid elements.
    template <typename element, typename decoder>
    bool decodeArray(
        const json& document, const char* key, const decoder& decode, std::vector<element>& elements)
    {
        const auto found = document.find(key);
        if (found == document.end() || !found->is_array())
            return false;
        for (const auto& value : *found) {
            auto decoded = decode(value);
            if (!decoded)
                return false;
            elements.push_back(std::move(*decoded));
        }
        return true;
    }

    std::optional<std::uint64_t> findNumber(const json& document, const char* key)
    {
        const auto found = document.find(key);
        if (found == document.end() || !found->is_number_unsigned())
            return std::nullopt;
        return found->get<std::uint64_t>();
    }

    bool getFlag(const json& document, const char* key)
    {
        const auto found = document.find(key);
        return found != document.end() && found->is_boolean() && found->get<bool>();
    }

} // namespace

std::string formatReplicaPoll(const replica_poll& poll)
{
    return std::to_string(poll.after) + ' ' + std::to_string(static_cast<long>(poll.wait.getCount())) + ' '
        + (poll.isOutdated ? "1 " : "0 ") + (poll.isConfirmation ? '1' : '0')
        + (poll.epoch ? ' ' + std::to_string(*poll.epoch) : std::string());
}

std::optional<replica_poll> parseReplicaPoll(const std::string& value)
{
    std::istringstream text(value);
    replica_poll poll;
    double waitMs = 0;
    int isOutdated = 0;
    int isConfirmation = 0;
    if (!(text >> poll.after >> waitMs >> isOutdated >> isConfirmation) || waitMs < 0)
        return fail(error_kind::BadPeerMessage, "invalid poll for published items: " + value);
    // Nodes of an earlier version don't send the field, and don't read it.
    std::uint64_t epoch = 0;
    if (text >> epoch)
        poll.epoch = epoch;
    poll.wait = milliseconds(std::min(waitMs, maxWaitMs));
    poll.isOutdated = isOutdated != 0;
    poll.isConfirmation = isConfirmation != 0;
    return poll;
}

std::string encodeReplicaAnswer(const replica_answer& answer)
{
    json document { { "reader", answer.isReader }, { "connected", answer.isConnected },
        { "connectedForMs", static_cast<std::uint64_t>(answer.connectedFor.getCount()) },
        { "confirmedAgoMs", static_cast<std::uint64_t>(answer.confirmedAgo.getCount()) },
        { "revision", answer.changes.revision }, { "complete", answer.changes.isComplete },
        { "items", json::array() }, { "removed", json::array() } };
    if (answer.changes.epoch > 0)
        document["epoch"] = answer.changes.epoch;
    if (answer.provenAgo) {
        // Rounded so that the asking node takes the items for older rather than newer than they are.
        document["provenAgoMs"] = static_cast<std::uint64_t>(std::ceil(answer.provenAgo->getCount()));
        document["heldMs"] = static_cast<std::uint64_t>(answer.heldFor.getCount());
    }
    for (const auto& item : answer.changes.items)
        document["items"].push_back(encodeItem(item));
    for (const auto& removal : answer.changes.removed)
        document["removed"].push_back(json::array({ removal.key, removal.revision }));
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

std::optional<replica_answer> decodeReplicaAnswer(const std::string& bytes)
{
    const auto document = json::from_cbor(bytes, true, false);
    const auto invalid
        = [] { return fail(error_kind::BadPeerMessage, "invalid answer to a poll for items"); };
    if (!document.is_object())
        return invalid();
    const auto revision = document.find("revision");
    const auto connectedFor = document.find("connectedForMs");
    if (revision == document.end() || !revision->is_number_unsigned() || connectedFor == document.end()
        || !connectedFor->is_number_unsigned())
        return invalid();
    replica_answer answer;
    answer.isReader = getFlag(document, "reader");
    answer.isConnected = getFlag(document, "connected");
    answer.connectedFor = milliseconds(connectedFor->get<double>());
    // Nodes of an earlier version don't send the field.
    const auto confirmedAgo = document.find("confirmedAgoMs");
    if (confirmedAgo != document.end() && confirmedAgo->is_number_unsigned())
        answer.confirmedAgo = milliseconds(confirmedAgo->get<double>());
    const auto provenAgo = findNumber(document, "provenAgoMs");
    const auto held = findNumber(document, "heldMs");
    if (provenAgo && held) {
        answer.provenAgo = milliseconds(static_cast<double>(*provenAgo));
        answer.heldFor = milliseconds(static_cast<double>(*held));
    }
    answer.changes.revision = revision->get<std::uint64_t>();
    answer.changes.epoch = findNumber(document, "epoch").value_or(0);
    answer.changes.isComplete = getFlag(document, "complete");
    if (!decodeArray(document, "items", decodeItem, answer.changes.items)
        || !decodeArray(document, "removed", decodeRemoval, answer.changes.removed))
        return invalid();
    return answer;
}

} // namespace fuchsiagauge
