#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "rate/sharedrate.h"

#include <cstdint>
#include <string>

/// \file
/// Settings of a gateway daemon.

namespace bluebell {

struct GatewaySettings
{
    VmId vm;
    DataCentreId dataCentre;
    /// Address for callers' requests.
    Endpoint callers;
    /// Address of the readiness endpoint.
    Endpoint readiness;
    /// Address where callers look up which gateways to use.
    Endpoint directory;
    /// Address where other daemons fetch the configuration, the target entries and the placement,
    /// and where operators read metrics.
    Endpoint control;
    /// UDP address that receives the statuses of other daemons.
    Endpoint peers;
    /// UDP address for reports to this daemon as a relay, and for digests.
    Endpoint relay;
    /// Processor share of the VM in thousandths of a core; 0 if unknown.
    std::uint32_t capacity = 0;
    /// Maximum number of file descriptors of the process; 0 if unknown.
    std::uint32_t maxDescriptors = 0;
    /// Maximum memory of the process in bytes; 0 if unknown.
    std::uint64_t memoryLimit = 0;
    /// Address of the platform's store.
    Endpoint store;
    /// Whether all daemons of the site start for the first time, at the same moment.
    bool isFirstStart = false;
    /// Time between the request to stop and the kill of the process.
    Duration stopTimeout = std::chrono::seconds(8);
    /// Time within which a draining target must stop receiving requests.
    Duration drainTimeout = std::chrono::seconds(2);
    /// Minimum time between the last order of one leader and the first order of the next.
    Duration minTakeoverDelay = std::chrono::seconds(3);
    /// Upper bound on the time that callers may cache an address lookup.
    Duration maxAddressTtl = std::chrono::seconds(5);
    /// By how much all daemons together may exceed an organisation's limit.
    QuotaBound quota { 0.1, 17000, std::chrono::seconds(8) };
};

} // namespace bluebell
