#include "streams/eventorder.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace bluebell {
namespace {

/// Equal steps after which the ids are taken as regular.
constexpr std::uint64_t MinRegularSteps = 2;

/// What the fields of one event say about its place in the stream.
struct EventFields
{
    std::optional<std::string> id;
    /// Whether the event has other lines than comments.
    bool hasContent = false;
};

/// Removes the first line from `text`.
///
/// \returns the line without its end
std::string_view takeLine(std::string_view &text)
{
    const auto end = std::min(text.find('\n'), text.size());
    auto line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

/// Removes the first event from `text`.
EventFields takeEvent(std::string_view &text)
{
    constexpr std::string_view IdField = "id:";
    EventFields fields;
    while (!text.empty()) {
        auto line = takeLine(text);
        if (line.empty())
            break;
        fields.hasContent = fields.hasContent || !line.starts_with(':');
        if (!line.starts_with(IdField))
            continue;
        line.remove_prefix(IdField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        fields.id = std::string(line);
    }
    return fields;
}

std::optional<std::uint64_t> toNumber(std::string_view text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

} // namespace

bool EventOrder::accept(std::string_view events)
{
    while (!events.empty()) {
        auto fields = takeEvent(events);
        if (!fields.hasContent)
            continue;
        if (m_isResuming && !(fields.id && isNext(*fields.id)))
            return false;
        m_isResuming = false;
        m_hasEventWithoutId = m_hasEventWithoutId || !fields.id;
        if (fields.id)
            noteId(std::move(*fields.id));
    }
    return true;
}

bool EventOrder::isNext(const std::string &id) const
{
    const auto last = toNumber(*m_lastId);
    const auto next = toNumber(id);
    if (!last || !next)
        return id != *m_lastId;
    if (*next <= *last)
        return false;
    const bool isRegular = m_isRegular && m_steps >= MinRegularSteps;
    return !isRegular || *next - *last <= m_step;
}

void EventOrder::noteId(std::string id)
{
    const auto last = m_lastId ? toNumber(*m_lastId) : 0;
    const auto next = toNumber(id);
    const auto step = last && next && *next > *last ? *next - *last : 0;
    m_isRegular = m_isRegular && step > 0 && (m_steps == 0 || step == m_step);
    m_step = step;
    ++m_steps;
    m_lastId = std::move(id);
}

} // namespace bluebell
