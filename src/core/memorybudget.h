#pragma once

#include <cstddef>
#include <memory>

/// \file
/// Bounds the bytes that all requests of a process hold together.

namespace bluebell {

/// Divides a number of bytes among holders.
///
/// A holder may grow while it holds no more than what is free then. One that grows without end is
/// thus refused when it holds half of the budget, and several of them together leave a part for
/// small holders. Not thread-safe.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::size_t limit) noexcept : m_limit(limit) { }

    /// Changes the limit; holders keep what they have.
    void setLimit(std::size_t limit) noexcept { m_limit = limit; }
    [[nodiscard]] std::size_t limit() const noexcept { return m_limit; }

    /// \returns the bytes that are held now
    [[nodiscard]] std::size_t held() const noexcept { return m_held; }
    /// \returns the largest number of bytes that were held at the same time
    [[nodiscard]] std::size_t peak() const noexcept { return m_peak; }

private:
    friend class MemoryShare;

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::size_t m_peak = 0;
};

/// The bytes that one holder has taken from a budget; they are returned when it is destroyed.
class MemoryShare
{
public:
    /// \param budget null for an unlimited one
    explicit MemoryShare(std::shared_ptr<MemoryBudget> budget) noexcept;
    ~MemoryShare();
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /// Takes `n` more bytes.
    ///
    /// \returns false, without a change, if the budget does not allow it
    [[nodiscard]] bool grow(std::size_t n) noexcept { return resize(m_size + n); }
    /// Takes or returns bytes, so that `size` bytes are held.
    ///
    /// \returns false, without a change, if the budget does not allow it
    [[nodiscard]] bool resize(std::size_t size) noexcept;
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    std::shared_ptr<MemoryBudget> m_budget;
    std::size_t m_size = 0;
};

} // namespace bluebell
