#include "streams/eventsplitter.h"

#include <algorithm>

namespace bluebell {
namespace {

/// \returns the size of the complete events at the beginning of `text`
std::size_t completeEventsSize(std::string_view text)
{
    std::size_t end = 0;
    if (const auto n = text.rfind("\n\n"); n != std::string_view::npos)
        end = n + 2;
    if (const auto n = text.rfind("\r\n\r\n"); n != std::string_view::npos)
        end = std::max(end, n + 4);
    return end;
}

} // namespace

std::string EventSplitter::add(std::string_view chunk)
{
    m_partial += chunk;
    const auto n = completeEventsSize(m_partial);
    auto events = m_partial.substr(0, n);
    m_partial.erase(0, n);
    updateLastId(events);
    return events;
}

void EventSplitter::updateLastId(std::string_view events)
{
    constexpr std::string_view Field = "id:";
    for (std::size_t from = 0; from < events.size();) {
        const auto end = std::min(events.find('\n', from), events.size());
        auto line = events.substr(from, end - from);
        from = end + 1;
        if (!line.starts_with(Field))
            continue;
        line.remove_prefix(Field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        m_lastId = std::string(line);
    }
}

} // namespace bluebell
