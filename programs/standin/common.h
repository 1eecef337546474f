#pragma once

#include "http/message.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

/// \file
/// Helpers that the stand-ins share.

namespace bluebell::standin {

/// \returns the part of `path` before the query
[[nodiscard]] std::string_view pathOf(std::string_view path);

/// \returns the decoded query parameter `name`, or an empty text
[[nodiscard]] std::string queryOf(std::string_view path, std::string_view name);

/// \returns a response with an error's name as JSON
[[nodiscard]] HttpResponse errorText(unsigned status, std::string_view name);

[[nodiscard]] HttpResponse jsonResponse(unsigned status, const nlohmann::json &body);

} // namespace bluebell::standin
