#pragma once

#include "core/endpoint.h"
#include "core/ids.h"

#include <cstdint>

/// \file
/// The row of a daemon in the platform's store.

namespace bluebell {

/// The row of a daemon in the platform's store.
struct FleetMember
{
    VmId vm;
    IncarnationId incarnation;
    DataCentreId dataCentre;
    /// Address for callers' requests.
    Endpoint callers;
    /// Address for status messages of other daemons.
    Endpoint peers;
    /// Address where other daemons fetch data that they cannot read from the store.
    Endpoint control;
    /// Address for reports and digests; port 0 if the daemon's build has no relays.
    Endpoint relay {};
    /// Processor share of the VM in thousandths of a core; 0 if unknown.
    std::uint32_t capacity = 0;

    [[nodiscard]] bool supportsRelays() const noexcept { return relay.port != 0; }

    friend bool operator==(const FleetMember &, const FleetMember &) = default;
};

/// \returns a hash of all fields
[[nodiscard]] std::uint64_t contentHash(const VmId &vm, const FleetMember &member);

} // namespace bluebell
