#pragma once

#include <optional>
#include <string>
#include <string_view>

/// \file
/// Cuts the bytes of an event stream into whole events.

namespace bluebell {

/// Collects pieces of a `text/event-stream` and gives out whole events only, byte for byte.
class EventSplitter
{
public:
    /// Takes in a piece.
    ///
    /// \returns the whole events that are complete now, which may be empty
    [[nodiscard]] std::string add(std::string_view piece);

    /// \returns whether bytes of an unfinished event are left
    [[nodiscard]] bool hasRest() const noexcept { return !m_rest.empty(); }
    /// \returns the id of the last whole event, or nothing before the first
    [[nodiscard]] const std::optional<std::string> &lastId() const noexcept { return m_lastId; }
    /// Drops the bytes of an unfinished event, before the stream goes on at another target.
    void dropRest() { m_rest.clear(); }

private:
    void noteIds(std::string_view events);

    std::string m_rest;
    std::optional<std::string> m_lastId;
};

} // namespace bluebell
