#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"

#include <string>

/// \file
/// Settings of a gateway daemon.

namespace bluebell::gateway {

struct GatewaySettings
{
    VmId vm;
    DataCentreId dataCentre;
    /// Where callers send requests.
    Endpoint callers;
    /// Where readiness is asked for.
    Endpoint readiness;
    /// Where callers ask which addresses to use.
    Endpoint directory;
    /// Where other daemons and operators ask: configuration and metrics.
    Endpoint control;
    /// Where statuses of other daemons arrive, over UDP.
    Endpoint peers;
    /// The platform's store.
    Endpoint store;
    /// From the request to stop until the process is killed.
    Duration stopTime = std::chrono::seconds(8);
    /// Time within which a draining target must get no more requests.
    Duration drainTime = std::chrono::seconds(2);
    /// Time that must pass between orders of two holders of the role that gives them.
    Duration leaseTime = std::chrono::seconds(3);
    /// The longest time that a caller is told to keep an answer about addresses.
    Duration longestHold = std::chrono::seconds(5);
};

} // namespace bluebell::gateway
