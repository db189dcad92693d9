#pragma once

#include "core/clock.h"
#include "transport/call.h"

#include <functional>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// Metadata that a client sends with its request.
struct client_request_info {
    std::string requestId; ///< Empty if the client sent none.
    std::optional<milliseconds> timeLeft; ///< How long the client waits for the response.
    std::string host; ///< Host name without a port.
    /// Id of the running request that an instance makes this call for; empty if the request names none.
    std::string parentId;
    /// The key that identifies the client's organisation; nothing if there is no key. Must not be logged.
    std::optional<std::string> organisationKey;
};

/// Metadata that the node sends to the local target with a request.
struct target_request_info {
    std::string expectedInstance; ///< Id of the instance; any other instance must refuse the request.
    milliseconds timeLeft; ///< Time after which the target stops working on the request.
    std::string callerService; ///< Service of the VM that the request was sent from.
    std::string organisation; ///< Name of the client's organisation; empty if it has none.
};

/// Metadata in a target's response, besides its status.
struct target_response_info {
    bool isRejected = false; ///< The target did not run the request; a retry there or elsewhere may succeed.
    bool isMisdirected = false; ///< The target is not the expected instance; it did not run the request.
    int slots = 0; ///< Number of requests that the target runs at the same time; 0 if not stated.
    bool isLeaving = false; ///< The target announces that it is about to stop.
    bool isFull = false; ///< The target reports that all its slots are in use.
    /// How much longer than usual work takes at the target at the moment, as a factor, if it states it.
    std::optional<double> slowdown;
    /// Requests per second that the target takes at most from all callers together, if it states a limit.
    std::optional<double> rateLimit;
};

/// Reads and writes the metadata in the messages of a deployment's clients and targets. The platform adapter
/// provides the functions.
struct target_protocol {
    /// Extracts the metadata of a client's request from its header fields.
    std::function<client_request_info(const header_fields&)> parseClientFields;
    /// Removes the header fields that only the node may set from a client's request.
    std::function<void(header_fields&)> sanitizeClientFields;
    /// Removes the header fields that identify the client's organisation.
    std::function<void(header_fields&)> removeOrganisationFields;
    /// Adds the metadata for the target to the header fields of a request.
    std::function<void(const target_request_info&, header_fields&)> addTargetFields;
    /// @return whether a response belongs to the request with that id.
    std::function<response_match(const response_head&, const std::string& requestId)> matchResponse;
    /// Extracts the metadata of a target's response.
    std::function<target_response_info(const response_head&)> parseResponse;
    /// Removes the header fields that are meant for the node only from a target's response.
    std::function<void(header_fields&)> sanitizeResponseFields;
};

} // namespace fuchsiagauge
