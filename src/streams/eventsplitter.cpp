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
    m_isOutOfOrder = m_isOutOfOrder || !m_order.accept(events);
    return m_isOutOfOrder ? std::string() : events;
}

void EventSplitter::discardPartialEvent()
{
    m_partial.clear();
    m_isOutOfOrder = false;
    m_order.startResumption();
}

} // namespace bluebell
