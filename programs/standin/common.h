#pragma once

#include "http/message.h"
#include "http/query.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

/// \file
/// HTTP response helpers shared by the stand-in servers.

namespace bluebell::standin {

/// \returns a response with the body `{"error": name}`
[[nodiscard]] HttpResponse jsonErrorResponse(unsigned status, std::string_view name);

[[nodiscard]] HttpResponse jsonResponse(unsigned status, const nlohmann::json &body);

} // namespace bluebell::standin
