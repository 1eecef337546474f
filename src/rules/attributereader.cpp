#include "rules/attributereader.h"

#include <charconv>
#include <limits>
#include <optional>

namespace bluebell::detail {
namespace {

constexpr auto MaxNumber = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 4);

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto [it, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc {} || it != end)
        return std::nullopt;
    return value;
}

} // namespace

AttributeReader::AttributeReader(const RawLine &line, ErrorList &errors)
    : m_line(line), m_errors(errors)
{
    checkDuplicates();
}

std::string AttributeReader::text(std::string_view name)
{
    const auto *word = find(name);
    if (word == nullptr)
        reportMissing(name);
    else if (word->text.empty())
        addError(*word, "the value of " + quoted(name) + " is empty");
    return word == nullptr ? std::string() : std::string(word->text);
}

std::string AttributeReader::textOr(std::string_view name, std::string_view fallback)
{
    return has(name) ? text(name) : std::string(fallback);
}

std::uint64_t AttributeReader::number(std::string_view name, std::uint64_t minimum,
                                      std::string_view suffix)
{
    const auto *word = find(name);
    if (word == nullptr) {
        reportMissing(name);
        return minimum;
    }
    auto digits = word->text;
    if (!suffix.empty() && digits.ends_with(suffix))
        digits.remove_suffix(suffix.size());
    const auto value = parseNumber(digits);
    if (value && *value >= minimum && *value <= MaxNumber)
        return *value;
    addError(*word,
             quoted(word->text) + " is not a whole number of at least " + std::to_string(minimum)
                     + (suffix.empty() ? std::string()
                                       : ", written like 100" + std::string(suffix)));
    return minimum;
}

std::uint64_t AttributeReader::numberOr(std::string_view name, std::uint64_t minimum,
                                        std::uint64_t fallback)
{
    return has(name) ? number(name, minimum) : fallback;
}

Bytes AttributeReader::bytes(std::string_view name)
{
    return scaled(name, ByteUnits, "a size such as 14GiB or 200MiB");
}

Duration AttributeReader::duration(std::string_view name)
{
    return std::chrono::nanoseconds(
            scaled(name, DurationUnits, "a time such as 500ms, 10s, 5min or 2h"));
}

Duration AttributeReader::durationOr(std::string_view name, Duration fallback)
{
    return has(name) ? duration(name) : fallback;
}

bool AttributeReader::yesOrNo(std::string_view name)
{
    return choice<bool>(name, { { "no", false }, { "yes", true } });
}

Endpoint AttributeReader::endpoint(std::string_view name)
{
    const auto *word = find(name);
    if (word == nullptr) {
        reportMissing(name);
        return {};
    }
    const auto it = parseEndpoint(word->text);
    if (it)
        return it.value();
    addError(*word, it.error().message);
    return {};
}

void AttributeReader::finish()
{
    std::vector<std::string_view> known(m_knownAttributes.begin(), m_knownAttributes.end());
    for (const auto &[name, value] : m_line.attributes)
        if (!m_knownAttributes.contains(name.text))
            addError(name,
                     quoted(m_line.kind.text) + " has no attribute " + quoted(name.text)
                             + suggestion(name.text, known));
    for (const auto &word : m_line.unexpectedWords)
        addError(word, quoted(word.text) + " is not of the form name=value");
}

void AttributeReader::checkDuplicates()
{
    std::set<std::string_view> seen;
    for (const auto &[name, value] : m_line.attributes)
        if (!seen.insert(name.text).second)
            addError(name, quoted(name.text) + " is given more than once");
}

const Word *AttributeReader::find(std::string_view name)
{
    m_knownAttributes.insert(name);
    for (const auto &it : m_line.attributes)
        if (it.name.text == name)
            return &it.value;
    return nullptr;
}

std::uint64_t AttributeReader::scaled(std::string_view name,
                                      const std::array<Unit, UnitCount> &units,
                                      std::string_view form)
{
    const auto *word = find(name);
    if (word == nullptr) {
        reportMissing(name);
        return 0;
    }
    for (const auto &[suffix, factor] : units) {
        if (!word->text.ends_with(suffix))
            continue;
        const auto value = parseNumber(word->text.substr(0, word->text.size() - suffix.size()));
        if (value && *value > 0 && *value <= MaxNumber / factor)
            return *value * factor;
    }
    addError(*word, quoted(word->text) + " is not " + std::string(form));
    return 0;
}

void AttributeReader::reportMissing(std::string_view name)
{
    addError(m_line.kind, quoted(m_line.kind.text) + " needs the attribute " + quoted(name));
}

void AttributeReader::addError(const Word &word, std::string message)
{
    m_errors.add(m_line.number, word.column, std::move(message));
}

} // namespace bluebell::detail
