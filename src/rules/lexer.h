#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Lexer of rule lines.

namespace bluebell::detail {

/// A word and its column, counted in bytes from 1.
struct Word
{
    std::string_view text;
    std::size_t column = 0;
};

/// An attribute written `name=value`.
struct Attribute
{
    Word name;
    Word value;
};

/// A rule line that has been split, but not validated.
struct RawLine
{
    /// Line number, counted from 1.
    std::size_t number = 0;
    Word kind;
    Word name;
    std::vector<Attribute> attributes;
    /// Words that are neither the kind, the name nor an attribute.
    std::vector<Word> unexpectedWords;
    std::string_view comment;
};

/// Splits `line`; the views in the result point into it.
[[nodiscard]] RawLine splitLine(std::size_t number, std::string_view line);

/// \returns `line` with its words separated by single spaces
[[nodiscard]] std::string canonicalLine(const RawLine &line);

/// \returns the candidate with the smallest edit distance to `word`, or an empty view when all
///          distances exceed the smaller of 3 and half the length of `word` plus 1
[[nodiscard]] std::string_view nearestWord(std::string_view word,
                                           const std::vector<std::string_view> &candidates);

} // namespace bluebell::detail
