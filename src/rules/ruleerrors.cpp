#include "rules/ruleerrors.h"

#include "rules/lexer.h"

#include <algorithm>
#include <utility>

namespace bluebell::detail {

void ErrorList::add(std::size_t line, std::size_t column, std::string message)
{
    m_errors.push_back({ std::string(m_file), line, column, std::move(message) });
}

std::vector<RuleError> ErrorList::take()
{
    std::stable_sort(m_errors.begin(), m_errors.end(), [](const auto &a, const auto &b) {
        return std::pair(a.line, a.column) < std::pair(b.line, b.column);
    });
    return std::move(m_errors);
}

std::string quoted(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

std::string suggestion(std::string_view word, const std::vector<std::string_view> &candidates)
{
    const auto it = nearestWord(word, candidates);
    return it.empty() ? std::string() : "; did you mean " + quoted(it) + "?";
}

} // namespace bluebell::detail
