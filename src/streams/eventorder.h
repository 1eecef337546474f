#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Checks that another target continues a stream where it broke off.

namespace bluebell {

/// Follows the ids of a stream's events.
///
/// Ids increase. Where they have increased by the same step from the beginning, a larger step at a
/// resumption means that events are missing.
class EventOrder
{
public:
    /// Notes that the next events come from another target.
    void startResumption() noexcept { m_isResuming = m_lastId.has_value(); }

    /// Checks complete events.
    ///
    /// \returns false if they do not continue the stream; they are then not taken into account
    [[nodiscard]] bool accept(std::string_view events);

    /// \returns the last event id, or nothing when no event had one
    [[nodiscard]] const std::optional<std::string> &lastId() const noexcept { return m_lastId; }
    /// \returns whether another target can continue after the events so far
    [[nodiscard]] bool canResume() const noexcept { return !m_hasEventWithoutId; }

private:
    /// \returns whether an event with this id follows the last one
    [[nodiscard]] bool isNext(const std::string &id) const;
    void noteId(std::string id);

    std::optional<std::string> m_lastId;
    /// Step between the ids so far; 0 while unknown.
    std::uint64_t m_step = 0;
    /// Number of steps, the one from 0 to the first id included.
    std::uint64_t m_steps = 0;
    bool m_isRegular = true;
    bool m_isResuming = false;
    bool m_hasEventWithoutId = false;
};

} // namespace bluebell
