#include "rules/lexer.h"

#include <algorithm>
#include <numeric>

namespace bluebell::detail {
namespace {

constexpr std::string_view Whitespace = " \t\r";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(Whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Whitespace) - first + 1);
}

std::vector<Word> splitWords(std::string_view text)
{
    std::vector<Word> words;
    std::size_t position = 0;
    while ((position = text.find_first_not_of(Whitespace, position)) != std::string_view::npos) {
        const auto end = std::min(text.find_first_of(Whitespace, position), text.size());
        words.push_back({ text.substr(position, end - position), position + 1 });
        position = end;
    }
    return words;
}

Attribute toAttribute(const Word &word, std::size_t equals)
{
    return { { word.text.substr(0, equals), word.column },
             { word.text.substr(equals + 1), word.column + equals + 1 } };
}

/// \returns the Levenshtein distance
std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const auto above = row[j];
            const auto substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            row[j] = std::min({ above + 1, row[j - 1] + 1, substitution });
            diagonal = above;
        }
    }
    return row.back();
}

} // namespace

RawLine splitLine(std::size_t number, std::string_view line)
{
    RawLine it;
    it.number = number;
    const auto hash = line.find('#');
    if (hash != std::string_view::npos)
        it.comment = trimmed(line.substr(hash + 1));
    for (const auto &word : splitWords(line.substr(0, hash))) {
        if (it.kind.text.empty())
            it.kind = word;
        else if (const auto equals = word.text.find('='); equals != std::string_view::npos)
            it.attributes.push_back(toAttribute(word, equals));
        else if (it.name.text.empty() && it.attributes.empty())
            it.name = word;
        else
            it.unexpectedWords.push_back(word);
    }
    return it;
}

std::string canonicalLine(const RawLine &line)
{
    std::string it(line.kind.text);
    it.append(" ").append(line.name.text);
    for (const auto &[name, value] : line.attributes)
        it.append(" ").append(name.text).append("=").append(value.text);
    return it.append(" # ").append(line.comment);
}

std::string_view nearestWord(std::string_view word, const std::vector<std::string_view> &candidates)
{
    constexpr std::size_t MaxDistance = 3;
    std::string_view best;
    auto bestDistance = std::min(MaxDistance, word.size() / 2 + 1) + 1;
    for (const auto candidate : candidates) {
        if (const auto n = editDistance(word, candidate); n < bestDistance) {
            best = candidate;
            bestDistance = n;
        }
    }
    return best;
}

} // namespace bluebell::detail
