#pragma once

#include "rules/parser.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Errors found while a rule file is parsed.

namespace bluebell::detail {

/// Collects the errors of one file.
class ErrorList
{
public:
    explicit ErrorList(std::string_view file) : m_file(file) { }

    void add(std::size_t line, std::size_t column, std::string message);

    [[nodiscard]] bool isEmpty() const noexcept { return m_errors.empty(); }

    /// \returns the errors, sorted by line and column
    [[nodiscard]] std::vector<RuleError> take();

private:
    std::string_view m_file;
    std::vector<RuleError> m_errors;
};

/// \returns `text` in single quotes
[[nodiscard]] std::string quoted(std::string_view text);

/// \returns a suggestion to append to a message, or an empty text when no candidate is close
[[nodiscard]] std::string suggestion(std::string_view word,
                                     const std::vector<std::string_view> &candidates);

} // namespace bluebell::detail
