#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <string_view>
#include <vector>

/// \file
/// Selects the entry daemons that callers should use.

namespace bluebell {

/// The address at which callers reach an entry daemon.
struct EntryAddress
{
    VmId vm;
    Endpoint address;
    /// Whether the daemon is shutting down.
    bool isLeaving = false;
};

/// The addresses that a caller should use.
struct EntryList
{
    std::vector<EntryAddress> entries;
    /// How long a caller may cache the addresses.
    Duration maxAge {};
};

/// Selects entries so that an organisation's callers share few daemons.
///
/// Entries are ordered by rendezvous score. The rate home of an organisation is chosen by the same
/// score, so most grants are requested on the same VM. Leaving entries are returned only when there
/// is no other.
///
/// \param organisation the caller's organisation; empty on routes that allow anonymous callers
/// \param count the largest number of addresses to return
/// \param maxAge how long the caller may cache them
[[nodiscard]] EntryList selectEntries(std::string_view organisation,
                                      std::vector<EntryAddress> entries, std::size_t count,
                                      Duration maxAge);

} // namespace bluebell
