#pragma once

#include "policy/replica_exchange.h"

#include <optional>
#include <string>

namespace fuchsiagauge {

/// Name of the HTTP header field that marks a request between nodes as a poll for published items.
constexpr const char* replicaPollField = "fg-poll";

/// @return the poll as a header value.
std::string formatReplicaPoll(const replica_poll& poll);

/// @return the poll parsed from a header value, or nothing with error_kind::BadPeerMessage.
std::optional<replica_poll> parseReplicaPoll(const std::string& value);

/// @return the answer in CBOR.
std::string encodeReplicaAnswer(const replica_answer& answer);

/// @return the answer decoded from CBOR, or nothing with error_kind::BadPeerMessage.
std::optional<replica_answer> decodeReplicaAnswer(const std::string& bytes);

} // namespace fuchsiagauge
