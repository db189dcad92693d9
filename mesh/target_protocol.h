#pragma once

#include "core/clock.h"
#include "transport/call.h"

#include <functional>
#include <optional>
#include <string>

namespace fuchsiagauge {

/// What a client states along with its request.
struct client_request_info {
    std::string requestId; ///< Empty: none.
    std::optional<milliseconds> timeLeft; ///< How long the client waits.
    std::string host; ///< Without a port.
    std::string parentId; ///< Id of the request that an instance runs and calls for; empty: none is stated.
};

/// What the local target is told along with a request.
struct target_request_info {
    std::string expectedInstance; ///< Any other instance must refuse the request.
    milliseconds timeLeft; ///< The target stops work after it.
    std::string callerService; ///< Service of the VM where the request began.
};

/// What a target's answer says besides its status.
struct target_response_info {
    bool isRejected = false; ///< The target did not run the request, but another time or target may.
    bool isMisdirected = false; ///< The target is not the expected instance; it did not run the request.
    int slots = 0; ///< Requests that it runs at once; 0: not stated.
    bool isFull = false; ///< It states that all its slots are in use.
};

/// How the deployment's clients and targets say what the product needs to know; given by the adapter.
struct target_protocol {
    std::function<client_request_info(const call_fields&)> parseClientFields;
    /// Removes from a client's fields what only the node may state.
    std::function<void(call_fields&)> sanitizeClientFields;
    std::function<void(const target_request_info&, call_fields&)> addTargetFields;
    /// Whether an answer belongs to the request of that id.
    std::function<bool(const answer_head&, const std::string& requestId)> isMatchingResponse;
    std::function<target_response_info(const answer_head&)> parseResponse;
    /// Removes from a target's answer what clients must not take for their own.
    std::function<void(call_fields&)> sanitizeResponseFields;
};

} // namespace fuchsiagauge
