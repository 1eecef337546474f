#include "rules/parser.h"

#include "rules/lexer.h"
#include "rules/rulechecks.h"
#include "rules/rulereader.h"

#include <algorithm>
#include <utility>

namespace bluebell {
namespace {

constexpr std::size_t MaxLineLength = 4096;

} // namespace

RuleResult<ParsedRules> parseRules(std::string_view file, std::string_view text)
{
    detail::ErrorList errors(file);
    std::vector<detail::LocatedRule> located;
    ParsedRules parsed;
    std::size_t number = 0;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
        if (line.size() > MaxLineLength) {
            errors.add(number, MaxLineLength, "the line is longer than 4096 bytes");
            continue;
        }
        const auto raw = detail::splitLine(number, line);
        if (raw.kind.text.empty())
            continue;
        if (auto it = detail::readLine(raw, errors)) {
            parsed.lines.push_back(detail::canonicalLine(raw));
            located.push_back(std::move(*it));
        }
    }
    parsed.rules = detail::collectRules(located, errors);
    detail::checkReferences(located, parsed.rules, errors);
    if (!errors.isEmpty())
        return errors.take();
    return parsed;
}

std::string toString(const RuleError &error)
{
    return error.file + ':' + std::to_string(error.line) + ':' + std::to_string(error.column) + ": "
            + error.message;
}

} // namespace bluebell
