#pragma once

#include "streams/eventorder.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Splits the bytes of a server-sent event stream at event boundaries.

namespace bluebell {

/// Buffers a `text/event-stream` and returns only complete events, with their bytes unchanged.
class EventSplitter
{
public:
    /// Larger events are taken as a fault of the target.
    static constexpr std::size_t MaxEventBytes = 256U << 10U;

    /// Appends a chunk of the stream.
    ///
    /// \returns the events that are complete now, which may be none
    [[nodiscard]] std::string add(std::string_view chunk);

    /// \returns whether bytes of an incomplete event are buffered
    [[nodiscard]] bool hasPartialEvent() const noexcept { return !m_partial.empty(); }
    /// \returns the size of the incomplete event in bytes
    [[nodiscard]] std::size_t partialSize() const noexcept { return m_partial.size(); }
    /// \returns whether the incomplete event is larger than MaxEventBytes
    [[nodiscard]] bool isTooLarge() const noexcept { return m_partial.size() > MaxEventBytes; }
    /// \returns whether the stream was resumed with events that do not follow the last one; they
    /// are not returned
    [[nodiscard]] bool isOutOfOrder() const noexcept { return m_isOutOfOrder; }
    /// \returns the last event id of the complete events, or nothing when none had an id
    [[nodiscard]] const std::optional<std::string> &lastId() const noexcept
    {
        return m_order.lastId();
    }
    /// \returns whether another target can continue the stream
    [[nodiscard]] bool canResume() const noexcept { return m_order.canResume(); }
    /// Discards the bytes of an incomplete event, before the stream resumes at another target.
    void discardPartialEvent();

private:
    std::string m_partial;
    EventOrder m_order;
    bool m_isOutOfOrder = false;
};

} // namespace bluebell
