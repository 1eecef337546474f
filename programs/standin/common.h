#pragma once

#include "http/message.h"
#include "http/query.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

/// \file
/// Helpers that the stand-ins share.

namespace bluebell::standin {

/// \returns a response with an error's name as JSON
[[nodiscard]] HttpResponse errorText(unsigned status, std::string_view name);

[[nodiscard]] HttpResponse jsonResponse(unsigned status, const nlohmann::json &body);

} // namespace bluebell::standin
