#pragma once

#include "core/document_reader.h"
#include "tests/stand_ins/http_server.h"

#include <functional>
#include <nlohmann/json_fwd.hpp>

namespace fuchsiagauge::stand_in {

/// Sends a response with a JSON value as its body.
void sendJson(http_exchange& exchange, int status, const nlohmann::json& value,
    const boost::asio::yield_context& yield);

/// Parses the request body as a JSON object and responds with 200 and `{}`, or with 400 and the errors.
/// @param read reads the keys; keys that it does not read are rejected.
/// @param apply called before the response is sent, if the body is valid.
void applyJson(http_exchange& exchange, const std::function<void(document_reader&)>& read,
    const std::function<void()>& apply, const boost::asio::yield_context& yield);

} // namespace fuchsiagauge::stand_in
