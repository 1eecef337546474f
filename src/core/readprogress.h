#pragma once

#include "core/time.h"

#include <cstddef>
#include <optional>
#include <vector>

/// \file
/// Chooses which request that is being read is given up when memory or descriptors run out.

namespace bluebell {

/// How far a request that is being read has come.
struct ReadProgress
{
    /// When its latest bytes arrived.
    TimePoint lastBytesAt;
    /// Bytes of the memory budget that it holds.
    std::size_t heldBytes = 0;
};

/// Time without a byte after which a request makes no progress. Requests are closed by it only
/// when memory or descriptors are scarce.
inline constexpr Duration StallTime = std::chrono::seconds(1);

/// \returns the index of the request that has been without progress for longest, if there is one
[[nodiscard]] std::optional<std::size_t> chooseStalled(const std::vector<ReadProgress> &requests,
                                                       TimePoint now) noexcept;

/// Chooses a request whose memory is given to another one.
///
/// \param heldBytes bytes that the other request holds
/// \returns the index of a request without progress, or of the largest one if it is much larger
/// than the other request, so that small requests are read beside large ones
[[nodiscard]] std::optional<std::size_t> chooseForMemory(const std::vector<ReadProgress> &requests,
                                                         std::size_t heldBytes,
                                                         TimePoint now) noexcept;

} // namespace bluebell
