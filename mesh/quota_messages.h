#pragma once

#include "policy/quota_report.h"

#include <optional>
#include <string>

namespace fuchsiagauge {

/// @return the report in CBOR. Loans of the most common size take one bit each.
std::string encodeQuotaReport(const quota_report& report);

/// @return the report decoded from CBOR, or nothing with error_kind::BadPeerMessage.
std::optional<quota_report> decodeQuotaReport(const std::string& bytes);

/// @return the answer or call in CBOR.
std::string encodeQuotaAnswer(const quota_answer& answer);

/// @return the answer or call decoded from CBOR, or nothing with error_kind::BadPeerMessage.
std::optional<quota_answer> decodeQuotaAnswer(const std::string& bytes);

} // namespace fuchsiagauge
