#pragma once

#include "membership/fleetmember.h"
#include "platform/storecodec.h"

#include <optional>
#include <string>

/// \file
/// The table of daemons in the platform's store.

namespace bluebell::gateway {

inline constexpr const char *MemberTable = "bluebell-members";

/// \returns the value of a daemon's row
[[nodiscard]] std::string encodeMember(const FleetMember &member);

/// \returns the daemon, or nothing if the row is malformed or removed, or has a port or a capacity
/// out of range
///
/// Rows of builds without relays lack the fields for them.
[[nodiscard]] std::optional<FleetMember> decodeMember(const platform::StoreRow &row);

} // namespace bluebell::gateway
