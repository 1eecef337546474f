#pragma once

#include "relay/digest.h"

#include <cstddef>
#include <cstdint>
#include <deque>

/// \file
/// Which changes a relay's next digest contains.

namespace bluebell {

/// Versions of what digests contain the changes of.
struct DigestVersions
{
    /// Epoch of the leader that numbers the placement.
    Epoch epoch = 0;
    std::uint64_t placement = 0;
    std::uint64_t targets = 0;
    std::uint64_t members = 0;
};

/// Remembers the versions of the last digests, so that each change is in several consecutive ones
/// and receivers tolerate lost digests.
class DigestHistory
{
public:
    /// Number of consecutive digests that contain a change.
    static constexpr std::size_t DigestsPerChange = 4;

    /// Notes that a digest with these versions is sent, or would be if anyone expected it.
    void note(const DigestVersions &versions);
    /// \returns the versions since which the next digest contains the changes
    ///
    /// \param current versions of the next digest, which are returned if it is the first one
    [[nodiscard]] DigestVersions base(const DigestVersions &current) const;

private:
    std::deque<DigestVersions> m_sent;
};

/// Largest number of changed rows of a table in a datagram.
inline constexpr std::size_t MaxRowsPerDigest = 150;

/// Leaves out the changes of tables that are too large for a datagram, so that receivers notice
/// that they miss changes and fetch a full digest.
void limitRows(FleetDigest &digest);

} // namespace bluebell
