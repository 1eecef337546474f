#pragma once

#include <string>
#include <string_view>

/// \file
/// Paths with a query, as they stand in a request line.

namespace bluebell {

/// \returns `text` with everything escaped that has a meaning in a path or query
[[nodiscard]] std::string percentEncode(std::string_view text);

/// \returns `text` with its escapes resolved; a malformed escape stays as it is
[[nodiscard]] std::string percentDecode(std::string_view text);

/// \returns the part of `path` before the query
[[nodiscard]] std::string_view pathOf(std::string_view path);

/// \returns the decoded query parameter `name`, or an empty text
[[nodiscard]] std::string queryOf(std::string_view path, std::string_view name);

} // namespace bluebell
