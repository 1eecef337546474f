#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Splits a rule line into words.

namespace bluebell::detail {

/// A word and where it stands, counted from 1.
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

/// One rule line before its meaning is checked.
struct RawLine
{
    std::size_t number = 0;
    Word kind;
    Word name;
    std::vector<Attribute> attributes;
    /// Words that are neither the kind, the name nor an attribute.
    std::vector<Word> strays;
    std::string_view comment;
};

/// Splits `line`; the views in the result point into it.
[[nodiscard]] RawLine splitLine(std::size_t number, std::string_view line);

/// \returns `line` with its words parted by single spaces
[[nodiscard]] std::string canonicalLine(const RawLine &line);

/// \returns the candidate closest to `word`, or an empty view when none is close
[[nodiscard]] std::string_view nearestWord(std::string_view word,
                                           const std::vector<std::string_view> &candidates);

} // namespace bluebell::detail
