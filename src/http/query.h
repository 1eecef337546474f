#pragma once

#include <string>
#include <string_view>

/// \file
/// Percent-encoding and query strings of request paths.

namespace bluebell {

/// \returns `text` with all characters percent-encoded except letters, digits and `-_.~`
[[nodiscard]] std::string percentEncode(std::string_view text);

/// \returns `text` with percent-escapes decoded; a malformed escape is left unchanged
[[nodiscard]] std::string percentDecode(std::string_view text);

/// \returns the part of `path` before the `?`
[[nodiscard]] std::string_view pathWithoutQuery(std::string_view path);

/// \returns the decoded value of the first query parameter `name`, or an empty string
[[nodiscard]] std::string queryParameter(std::string_view path, std::string_view name);

} // namespace bluebell
