#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <string_view>
#include <vector>

/// \file
/// Which entry addresses callers should use.

namespace bluebell {

/// One entry daemon as callers reach it.
struct EntryAddress
{
    VmId vm;
    Endpoint address;
    bool isLeaving = false;
};

/// An answer to a caller that asks which addresses to use.
struct EntryAdvice
{
    std::vector<EntryAddress> entries;
    /// How long the answer may be kept.
    Duration holdFor {};
};

/// Chooses entries so that an organisation's callers meet on few daemons.
///
/// The order is by rendezvous score, and the home of an organisation's rate is chosen by the same
/// score, so that most grants are asked for on the same VM. Leaving entries are left out unless
/// nothing else is there.
///
/// \param organisation the caller's organisation; empty on open routes
/// \param count how many addresses to name
[[nodiscard]] EntryAdvice adviseEntries(std::string_view organisation,
                                        std::vector<EntryAddress> entries, std::size_t count,
                                        Duration holdFor);

} // namespace bluebell
