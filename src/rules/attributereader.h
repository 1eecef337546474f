#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "rules/lexer.h"
#include "rules/ruleerrors.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// Typed access to the attributes of one line of a rule file.

namespace bluebell::detail {

/// Reads the attributes of one line and records which attributes the kind of rule has.
///
/// The read functions report missing and malformed attributes and then return a placeholder.
class AttributeReader
{
public:
    AttributeReader(const RawLine &line, ErrorList &errors);

    [[nodiscard]] std::string text(std::string_view name);

    [[nodiscard]] std::string textOr(std::string_view name, std::string_view fallback);

    /// Reads a whole number of at least `minimum`, optionally followed by `suffix`.
    [[nodiscard]] std::uint64_t number(std::string_view name, std::uint64_t minimum,
                                       std::string_view suffix = {});

    [[nodiscard]] std::uint64_t numberOr(std::string_view name, std::uint64_t minimum,
                                         std::uint64_t fallback);

    [[nodiscard]] Bytes bytes(std::string_view name);

    [[nodiscard]] Duration duration(std::string_view name);

    [[nodiscard]] Duration durationOr(std::string_view name, Duration fallback);

    template<typename T>
    [[nodiscard]] T choice(std::string_view name,
                           const std::vector<std::pair<std::string_view, T>> &choices)
    {
        const auto *word = find(name);
        if (word == nullptr) {
            reportMissing(name);
            return choices.front().second;
        }
        std::vector<std::string_view> words;
        words.reserve(choices.size());
        for (const auto &[text, value] : choices) {
            if (text == word->text)
                return value;
            words.push_back(text);
        }
        addError(*word,
                 quoted(word->text) + " is not a valid value of " + quoted(name)
                         + suggestion(word->text, words));
        return choices.front().second;
    }

    template<typename T>
    [[nodiscard]] T choiceOr(std::string_view name, T fallback,
                             const std::vector<std::pair<std::string_view, T>> &choices)
    {
        return has(name) ? choice(name, choices) : fallback;
    }

    [[nodiscard]] bool yesOrNo(std::string_view name);

    [[nodiscard]] Endpoint endpoint(std::string_view name);

    /// Reports attributes that the kind of rule does not have, and words that are not attributes.
    void finish();

private:
    struct Unit
    {
        std::string_view suffix;
        std::uint64_t factor;
    };
    static constexpr std::size_t UnitCount = 4;
    static constexpr std::array<Unit, UnitCount> ByteUnits { {
            { "GiB", 1ULL << 30U },
            { "MiB", 1ULL << 20U },
            { "KiB", 1ULL << 10U },
            { "B", 1 },
    } };
    static constexpr std::array<Unit, UnitCount> DurationUnits { {
            { "ms", 1'000'000 },
            { "s", 1'000'000'000 },
            { "min", 60'000'000'000 },
            { "h", 3'600'000'000'000 },
    } };

    void checkDuplicates();

    [[nodiscard]] bool has(std::string_view name) { return find(name) != nullptr; }

    [[nodiscard]] const Word *find(std::string_view name);

    /// Reads a number followed by one of `units`.
    [[nodiscard]] std::uint64_t
    scaled(std::string_view name, const std::array<Unit, UnitCount> &units, std::string_view form);

    void reportMissing(std::string_view name);

    void addError(const Word &word, std::string message);

    const RawLine &m_line;
    ErrorList &m_errors;
    std::set<std::string_view> m_knownAttributes;
};

} // namespace bluebell::detail
